// Package store is a small stand-in for the platform's object service, with
// its rate limits and with faults on demand.
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

	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/platform"
)

// Rates of the object service.
const (
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	maxWatchTime    = 30 * time.Second
	pageSize        = 500
	objectsPath     = "/v1/objects/"
)

// Faults selects what goes wrong. The zero value is a healthy service.
type Faults struct {
	// Outage refuses every call without effect.
	Outage bool `json:"outage"`
	// Unresponsive leaves every call without an answer and without effect, also after
	// the silence has ended.
	Unresponsive bool `json:"silent"`
	// DelayMs is added before each call takes effect, in milliseconds.
	DelayMs int `json:"delayMs"`
	// DropResponses is how many further writes take effect but lose their answer.
	DropResponses int `json:"loseAnswers"`
	// StaleVersion, when not 0, makes reads show the store as of this version.
	StaleVersion int64 `json:"staleBefore"`
	// SerializableStaleVersion is the same for the reads that allow it alone.
	SerializableStaleVersion int64 `json:"frozenBefore"`
}

// Counts is the number of calls since the start.
type Counts struct {
	// Reads counts reads; each watch counts as one. Cheap counts those of them
	// that may be answered from the past.
	Reads        int `json:"reads"`
	Serializable int `json:"cheap"`
	// Writes counts writes, also refused ones.
	Writes int `json:"writes"`
}

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
	compactedVersion int64         // changes up to this version cannot be watched
	changed          chan struct{} // closed and replaced at each change
	writes           *rate.Limiter
	reads            *rate.Limiter
}

// New returns an empty store with the rates of the object service.
func New() *Store {
	return &Store{
		objects: map[string][]objectVersion{},
		changed: make(chan struct{}),
		writes:  rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:   rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Version returns the newest version of any object.
func (s *Store) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Counts returns the number of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Set writes an object unconditionally, past limits and faults.
func (s *Store) Set(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic("store: value does not marshal: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendVersion(key, objectVersion{value: b})
}

// Read returns the newest value of an object, past limits and faults.
func (s *Store) Read(key string) (value []byte, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.latest(key)
	return e.value, e.version, ok
}

// Keys returns the keys of the existing objects that have the prefix, sorted.
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

func (s *Store) appendVersion(key string, e objectVersion) int64 {
	s.version++
	e.version = s.version
	s.objects[key] = append(s.objects[key], e)
	close(s.changed)
	s.changed = make(chan struct{})
	return e.version
}

func (s *Store) latest(key string) (objectVersion, bool) { return latestAt(s.objects[key], 0) }

// latestAt returns the newest entry, or the newest up to version when not 0.
func latestAt(versions []objectVersion, version int64) (objectVersion, bool) {
	for i := len(versions) - 1; i >= 0; i-- {
		if version == 0 || versions[i].version <= version {
			return versions[i], !versions[i].deleted
		}
	}
	return objectVersion{}, false
}

// Handler serves the object interface and, under /standin/, its faults.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
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

// admit counts a call and applies outage, delay and rate. It reports whether
// the call may go on.
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
	if faults.DelayMs > 0 && !pause.For(ctx, time.Duration(faults.DelayMs)*time.Millisecond) {
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

// meta, object, event and page are the objects as they stand on the wire.
type meta struct {
	Name string `json:"name"`
	Rev  int64  `json:"rev"`
}

type object struct {
	Meta meta            `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
}

type page struct {
	Items     []object `json:"items,omitempty"`
	Events    []event  `json:"events,omitempty"`
	Truncated bool     `json:"truncated"`
	Revision  int64    `json:"storeRevision"`
}

func newObject(key string, e objectVersion) object {
	_, name, _ := strings.Cut(key, "/")
	return object{Meta: meta{Name: name, Rev: e.version}, Spec: e.value}
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// objectKey returns the key that the path of a call names.
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
	e, ok := latestAt(s.objects[key], s.faults.StaleVersion)
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, newObject(key, e))
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

// requireRevision returns a check that an object exists and, unless rev is 0, has this
// version. It answers with the status of the failure, 0 for none.
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

func (s *Store) applyWrite(w http.ResponseWriter, r *http.Request, key string, next objectVersion, check func(objectVersion, bool) int) {
	if !s.admit(r.Context(), w, true) {
		return
	}
	s.mu.Lock()
	old, exists := s.latest(key)
	if code := check(old, exists); code != 0 {
		s.mu.Unlock()
		if code == http.StatusConflict {
			writeJSON(w, code, newObject(key, old))
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
		// The connection breaks after the write took effect.
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, newObject(key, next))
}

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
		writeJSON(w, http.StatusOK, s.items(kind, query.Get("after"), serializable))
		return
	}
	deadline := watchDeadline(query.Get("waitMs"))
	for {
		reply, compacted, changed := s.events(kind, after, serializable)
		if compacted {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(reply.Events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, reply)
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

// readVersion returns the version as of which a read is answered, 0 for the newest.
// s.mu is held.
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

// items returns one page of the objects of a kind, those after a name.
func (s *Store) items(kind, after string, serializable bool) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := page{Revision: s.version, Items: []object{}}
	version := s.readVersion(serializable)
	if version != 0 {
		reply.Revision = version
	}
	var keys []string
	for k := range s.objects {
		if strings.HasPrefix(k, kind) && k > kind+after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		object, ok := latestAt(s.objects[k], version)
		if !ok {
			continue
		}
		if len(reply.Items) == pageSize {
			reply.Truncated = true
			break
		}
		reply.Items = append(reply.Items, newObject(k, object))
	}
	return reply
}

// events returns the newest change of each object of a kind since a version.
func (s *Store) events(kind string, after int64, serializable bool) (reply page, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply = page{Revision: s.version, Events: []event{}}
	version := s.readVersion(serializable)
	if version != 0 {
		reply.Revision = version
	}
	for k, versions := range s.objects {
		latest, _ := latestAt(versions, version)
		if strings.HasPrefix(k, kind) && latest.version > after {
			reply.Events = append(reply.Events, event{Deleted: latest.deleted, Object: newObject(k, latest)})
		}
	}
	sort.Slice(reply.Events, func(i, j int) bool { return reply.Events[i].Object.Meta.Rev < reply.Events[j].Object.Meta.Rev })
	return reply, after < s.compactedVersion, s.changed
}

// Compact drops the history so far: watches from before it are told so.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}
