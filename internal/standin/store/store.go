// Package store implements the platform's object service in memory, for tests and
// demos. It applies the rate limits of the real service and injects faults.
package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Limits of the object service.
const (
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	maxWatchTime    = 30 * time.Second
	pageSize        = 500
	pageBytes       = 1 << 20
	objectsPath     = "/v1/objects/"
)

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// Outage rejects every call with status 503 and without effect.
	Outage bool `json:"outage"`
	// Unresponsive leaves every call without a response and without effect, even
	// after the fault is cleared.
	Unresponsive bool `json:"silent"`
	// DelayMs is added before each call takes effect, in milliseconds.
	DelayMs int `json:"delayMs"`
	// DropResponses is the number of further writes that take effect but whose
	// connection is closed without a response.
	DropResponses int `json:"loseAnswers"`
	// StaleVersion, when not 0, makes reads return the store as of this version.
	StaleVersion int64 `json:"staleBefore"`
	// SerializableStaleVersion, when not 0, does the same for serializable reads
	// only, and takes precedence over StaleVersion for them.
	SerializableStaleVersion int64 `json:"frozenBefore"`
}

// Counts is the number of calls since the start.
type Counts struct {
	// Reads counts all reads; each watch counts as one. Serializable counts the
	// reads among them that allow stale data.
	Reads        int `json:"reads"`
	Serializable int `json:"cheap"`
	// Writes counts all writes, including rejected ones.
	Writes int `json:"writes"`
}

// objectVersion is the value of an object, or its deletion, at one store version.
type objectVersion struct {
	version int64
	value   []byte
	deleted bool
}

// Store is the object service. It is safe for concurrent use.
type Store struct {
	mu               sync.Mutex
	objects          map[string][]objectVersion // versions in ascending order
	version          int64
	faults           Faults
	counts           Counts
	compactedVersion int64         // watches from before this version fail
	era              int64         // number of restorations plus 1
	changed          chan struct{} // closed and replaced at each change
	writes           *rate.Limiter
	reads            *rate.Limiter
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[string][]objectVersion{}, era: 1,
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Version returns the store's version, which each write increments.
func (s *Store) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Set writes an object unconditionally, bypassing rate limits and faults.
func (s *Store) Set(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic("store: marshal value: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendVersion(key, objectVersion{value: b})
}

// SetRaw is Set with bytes that need not be valid JSON, as another writer may leave them.
func (s *Store) SetRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendVersion(key, objectVersion{value: value})
}

// Delete removes an object, bypassing rate limits and faults.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.latest(key); exists {
		s.appendVersion(key, objectVersion{deleted: true})
	}
}

// Read returns the latest value of an object, bypassing rate limits and faults.
func (s *Store) Read(key string) (value []byte, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.latest(key)
	return v.value, v.version, ok
}

// Keys returns the sorted keys of the existing objects with the given prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.objects {
		if _, ok := s.latest(k); ok && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// appendVersion assigns the next store version to v, appends it and wakes the
// watches. s.mu must be held.
func (s *Store) appendVersion(key string, v objectVersion) int64 {
	s.version++
	v.version = s.version
	s.objects[key] = append(s.objects[key], v)
	close(s.changed)
	s.changed = make(chan struct{})
	return v.version
}

func (s *Store) latest(key string) (objectVersion, bool) { return latestAt(s.objects[key], 0) }

// latestAt returns the latest of versions, or the latest not after version if that
// is not 0. The result is false if there is none or if it is a deletion.
func latestAt(versions []objectVersion, version int64) (objectVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if version == 0 || versions[i].version <= version {
			return versions[i], !versions[i].deleted
		}
	}
	return objectVersion{}, false
}

// Handler serves the object API and, under /standin/, fault injection.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.withEra)
	r.Get(objectsPath+"{kind}", s.list)
	r.Post(objectsPath+"{kind}", s.create)
	r.Get(objectsPath+"{kind}/*", s.get)
	r.Put(objectsPath+"{kind}/*", s.put)
	r.Delete(objectsPath+"{kind}/*", s.remove)
	r.Put("/standin/faults", s.putFaults)
	return r
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// admit counts a call and applies the delay, the faults Unresponsive and Outage, and
// the rate limits. It reports whether the call may proceed; if not, it has written
// the response, if any.
func (s *Store) admit(ctx context.Context, w http.ResponseWriter, write bool) bool {
	s.mu.Lock()
	faults := s.faults
	limiter := s.reads
	s.counts.Reads++
	if write {
		limiter = s.writes
		s.counts.Reads--
		s.counts.Writes++
	}
	s.mu.Unlock()
	if faults.DelayMs > 0 && !sleep.For(ctx, time.Duration(faults.DelayMs)*time.Millisecond) {
		return false
	}
	if faults.Unresponsive {
		<-ctx.Done()
		return false
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !limiter.Allow() {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// objectKey returns the key of the object in the request path.
func objectKey(r *http.Request) string {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		name = chi.URLParam(r, "*")
	}
	return chi.URLParam(r, "kind") + "/" + name
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r.Context(), w, false) {
		return
	}
	key := objectKey(r)
	s.mu.Lock()
	v, ok := latestAt(s.objects[key], s.faults.StaleVersion)
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeBody(w, http.StatusOK, newObject(key, v).encode())
}

func decodeObject(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes || json.Unmarshal(value, &o) != nil {
		http.Error(w, "object must be JSON of at most 1 MB", http.StatusRequestEntityTooLarge)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	if o, ok := decodeObject(w, r); ok {
		key := chi.URLParam(r, "kind") + "/" + o.Meta.Name
		s.applyWrite(w, r, key, objectVersion{value: o.Spec}, func(_ objectVersion, exists bool) int {
			if exists {
				return http.StatusConflict
			}
			return 0
		})
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if o, ok := decodeObject(w, r); ok {
		s.applyWrite(w, r, objectKey(r), objectVersion{value: o.Spec}, requireRevision(o.Meta.Rev))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	rev, _ := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	s.applyWrite(w, r, objectKey(r), objectVersion{deleted: true}, requireRevision(rev))
}

// requireRevision returns a check that an object exists and, unless rev is 0, has
// that version. The check returns the HTTP status of its failure, or 0.
func requireRevision(rev int64) func(objectVersion, bool) int {
	return func(old objectVersion, exists bool) int {
		switch {
		case !exists:
			return http.StatusNotFound
		case rev != 0 && rev != old.version:
			return http.StatusConflict
		}
		return 0
	}
}

// applyWrite appends next if check returns 0 for the latest version of the object.
// On a conflict it responds with that latest version.
func (s *Store) applyWrite(w http.ResponseWriter, r *http.Request, key string, next objectVersion, check func(objectVersion, bool) int) {
	if !s.admit(r.Context(), w, true) {
		return
	}
	s.mu.Lock()
	old, exists := s.latest(key)
	if code := check(old, exists); code != 0 {
		s.mu.Unlock()
		if code == http.StatusConflict {
			writeBody(w, code, newObject(key, old).encode())
			return
		}
		http.Error(w, "condition does not hold", code)
		return
	}
	next.version = s.appendVersion(key, next)
	drop := s.faults.DropResponses > 0
	if drop {
		s.faults.DropResponses--
	}
	s.mu.Unlock()
	if drop {
		// Closes the connection without a response after the write took effect.
		panic(http.ErrAbortHandler)
	}
	writeBody(w, http.StatusOK, newObject(key, next).encode())
}

// list serves one page of the objects of a kind or, with the parameter watch, the
// changes after that version, waiting up to waitMs for the first.
func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(r.Context(), w, false) {
		return
	}
	query := r.URL.Query()
	kind := chi.URLParam(r, "kind") + "/"
	serializable := query.Get("serializable") == "1"
	if serializable {
		s.countSerializable()
	}
	after, err := strconv.ParseInt(query.Get("watch"), 10, 64)
	if err != nil {
		writeBody(w, http.StatusOK, s.items(kind, query.Get("after"), serializable).encode())
		return
	}
	deadline := watchDeadline(query.Get("waitMs"))
	for {
		response, compacted, changed := s.events(kind, after, serializable)
		if compacted {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(response.Events) > 0 || !time.Now().Before(deadline) {
			writeBody(w, http.StatusOK, response.encode())
			return
		}
		if !s.waitForChange(r.Context(), changed, deadline) {
			return
		}
		switch faults := s.currentFaults(); {
		case faults.Unresponsive:
			<-r.Context().Done()
			return
		case faults.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Store) countSerializable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Serializable++
}

// readVersion returns the version at which a read is served, 0 for the latest.
// s.mu must be held.
func (s *Store) readVersion(serializable bool) int64 {
	if serializable && s.faults.SerializableStaleVersion != 0 {
		return s.faults.SerializableStaleVersion
	}
	return s.faults.StaleVersion
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// waitForChange waits for a change or the deadline. It reports false if ctx is done.
func (s *Store) waitForChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}
	return true
}

func watchDeadline(waitMs string) time.Time {
	ms, err := strconv.ParseInt(waitMs, 10, 64)
	if err != nil {
		return time.Now()
	}
	return time.Now().Add(min(time.Duration(ms)*time.Millisecond, maxWatchTime))
}

// items returns one page of the objects of a kind whose names sort after a name.
func (s *Store) items(kind, after string, serializable bool) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := page{Revision: s.version, Items: []object{}}
	version := s.readVersion(serializable)
	if version != 0 {
		response.Revision = version
	}
	var keys []string
	size := 0
	for k := range s.objects {
		if strings.HasPrefix(k, kind) && k > kind+after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		v, ok := latestAt(s.objects[k], version)
		if !ok {
			continue
		}
		size += len(v.value)
		if len(response.Items) == pageSize || (len(response.Items) > 0 && size > pageBytes) {
			response.Truncated = true
			break
		}
		response.Items = append(response.Items, newObject(k, v))
	}
	return response
}

// events returns the latest change of each object of a kind after a version, and a
// channel that is closed at the next change. compacted is true if the history since
// that version is not available.
func (s *Store) events(kind string, after int64, serializable bool) (response page, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = page{Revision: s.version, Events: []event{}}
	version := s.readVersion(serializable)
	if version != 0 {
		response.Revision = version
	}
	for k, versions := range s.objects {
		latest, _ := latestAt(versions, version)
		if strings.HasPrefix(k, kind) && latest.version > after {
			response.Events = append(response.Events, event{Deleted: latest.deleted, Object: newObject(k, latest)})
		}
	}
	sort.Slice(response.Events, func(i, j int) bool { return response.Events[i].Object.Meta.Rev < response.Events[j].Object.Meta.Rev })
	return response, after < s.compactedVersion || after > s.version, s.changed
}

// Compact drops the history so far: watches from earlier versions fail with status
// 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}
