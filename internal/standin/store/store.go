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
	maxWatch        = 30 * time.Second
	pageObjects     = 500
	objectsPath     = "/v1/objects/"
)

// Faults selects what goes wrong. The zero value is a healthy service.
type Faults struct {
	// Outage refuses every call without effect.
	Outage bool `json:"outage"`
	// Silent leaves every call without an answer and without effect, also after
	// the silence has ended.
	Silent bool `json:"silent"`
	// DelayMs is added before each call takes effect, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is how many further writes take effect but lose their answer.
	LoseAnswers int `json:"loseAnswers"`
	// StaleBefore, when not 0, makes reads show the store as of this version.
	StaleBefore int64 `json:"staleBefore"`
	// FrozenBefore is the same for the reads that allow it alone.
	FrozenBefore int64 `json:"frozenBefore"`
}

// Counts is the number of calls since the start.
type Counts struct {
	// Reads counts reads; each watch counts as one. Cheap counts those of them
	// that may be answered from the past.
	Reads int `json:"reads"`
	Cheap int `json:"cheap"`
	// Writes counts writes, also refused ones.
	Writes int `json:"writes"`
}

type entry struct {
	version int64
	value   []byte
	deleted bool
}

// Store is the object service. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	objects   map[string][]entry // versions in ascending order
	version   int64
	faults    Faults
	counts    Counts
	forgotten int64         // changes up to this version cannot be watched
	changed   chan struct{} // closed and replaced at each change
	writes    *rate.Limiter
	reads     *rate.Limiter
}

// New returns an empty store with the rates of the object service.
func New() *Store {
	return &Store{
		objects: map[string][]entry{},
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
	s.write(key, entry{value: b})
}

// Read returns the newest value of an object, past limits and faults.
func (s *Store) Read(key string) (value []byte, version int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.newest(key)
	return e.value, e.version, ok
}

// Keys returns the keys of the existing objects that have the prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.objects {
		if _, ok := s.newest(k); ok && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) write(key string, e entry) int64 {
	s.version++
	e.version = s.version
	s.objects[key] = append(s.objects[key], e)
	close(s.changed)
	s.changed = make(chan struct{})
	return e.version
}

func (s *Store) newest(key string) (entry, bool) { return newestAt(s.objects[key], 0) }

// newestAt returns the newest entry, or the newest up to version when not 0.
func newestAt(list []entry, version int64) (entry, bool) {
	for i := len(list) - 1; i >= 0; i-- {
		if version == 0 || list[i].version <= version {
			return list[i], !list[i].deleted
		}
	}
	return entry{}, false
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

// enter counts a call and applies outage, delay and rate. It reports whether
// the call may go on.
func (s *Store) enter(ctx context.Context, w http.ResponseWriter, write bool) bool {
	s.mu.Lock()
	f := s.faults
	limiter := s.reads
	s.counts.Reads++
	if write {
		limiter = s.writes
		s.counts.Reads--
		s.counts.Writes++
	}
	s.mu.Unlock()
	if f.DelayMs > 0 && !pause.For(ctx, time.Duration(f.DelayMs)*time.Millisecond) {
		return false
	}
	if f.Silent {
		<-ctx.Done()
		return false
	}
	if f.Outage {
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

func objectOf(key string, e entry) object {
	_, name, _ := strings.Cut(key, "/")
	return object{Meta: meta{Name: name, Rev: e.version}, Spec: e.value}
}

func answer(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}

// keyOf returns the key that the path of a call names.
func keyOf(r *http.Request) string {
	name, err := url.PathUnescape(chi.URLParam(r, "*"))
	if err != nil {
		name = chi.URLParam(r, "*")
	}
	return chi.URLParam(r, "kind") + "/" + name
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.enter(r.Context(), w, false) {
		return
	}
	key := keyOf(r)
	s.mu.Lock()
	e, ok := newestAt(s.objects[key], s.faults.StaleBefore)
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, objectOf(key, e))
}

func readBody(w http.ResponseWriter, r *http.Request) (object, bool) {
	var o object
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes || json.Unmarshal(value, &o) != nil {
		http.Error(w, "object must be JSON of at most 1 MB", http.StatusRequestEntityTooLarge)
		return o, false
	}
	return o, true
}

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	if o, ok := readBody(w, r); ok {
		key := chi.URLParam(r, "kind") + "/" + o.Meta.Name
		s.change(w, r, key, entry{value: o.Spec}, func(_ entry, exists bool) int {
			if exists {
				return http.StatusConflict
			}
			return 0
		})
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	if o, ok := readBody(w, r); ok {
		s.change(w, r, keyOf(r), entry{value: o.Spec}, holds(o.Meta.Rev))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	rev, _ := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	s.change(w, r, keyOf(r), entry{deleted: true}, holds(rev))
}

// holds returns a check that an object exists and, unless rev is 0, has this
// version. It answers with the status of the failure, 0 for none.
func holds(rev int64) func(entry, bool) int {
	return func(old entry, exists bool) int {
		switch {
		case !exists:
			return http.StatusNotFound
		case rev != 0 && rev != old.version:
			return http.StatusConflict
		}
		return 0
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, key string, e entry, check func(entry, bool) int) {
	if !s.enter(r.Context(), w, true) {
		return
	}
	s.mu.Lock()
	old, exists := s.newest(key)
	if code := check(old, exists); code != 0 {
		s.mu.Unlock()
		if code == http.StatusConflict {
			answer(w, code, objectOf(key, old))
			return
		}
		http.Error(w, "condition does not hold", code)
		return
	}
	e.version = s.write(key, e)
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		// The connection breaks after the write took effect.
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, objectOf(key, e))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.enter(r.Context(), w, false) {
		return
	}
	q := r.URL.Query()
	kind := chi.URLParam(r, "kind") + "/"
	cheap := q.Get("serializable") == "1"
	if cheap {
		s.countCheap()
	}
	after, err := strconv.ParseInt(q.Get("watch"), 10, 64)
	if err != nil {
		answer(w, http.StatusOK, s.items(kind, q.Get("after"), cheap))
		return
	}
	deadline := watchDeadline(q.Get("waitMs"))
	for {
		p, gone, changed := s.events(kind, after, cheap)
		if gone {
			http.Error(w, "history is gone", http.StatusGone)
			return
		}
		if len(p.Events) > 0 || !time.Now().Before(deadline) {
			answer(w, http.StatusOK, p)
			return
		}
		if !s.awaitChange(r.Context(), changed, deadline) {
			return
		}
		switch f := s.inForce(); {
		case f.Silent:
			<-r.Context().Done()
			return
		case f.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Store) countCheap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cheap++
}

// before returns the version as of which a read is answered, 0 for the newest.
// s.mu is held.
func (s *Store) before(cheap bool) int64 {
	if cheap && s.faults.FrozenBefore != 0 {
		return s.faults.FrozenBefore
	}
	return s.faults.StaleBefore
}

func (s *Store) inForce() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) awaitChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
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
	return time.Now().Add(min(time.Duration(ms)*time.Millisecond, maxWatch))
}

// items returns one page of the objects of a kind, those after a name.
func (s *Store) items(kind, after string, cheap bool) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Revision: s.version, Items: []object{}}
	before := s.before(cheap)
	if before != 0 {
		p.Revision = before
	}
	var keys []string
	for k := range s.objects {
		if strings.HasPrefix(k, kind) && k > kind+after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		e, ok := newestAt(s.objects[k], before)
		if !ok {
			continue
		}
		if len(p.Items) == pageObjects {
			p.Truncated = true
			break
		}
		p.Items = append(p.Items, objectOf(k, e))
	}
	return p
}

// events returns the newest change of each object of a kind since a version.
func (s *Store) events(kind string, after int64, cheap bool) (p page, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p = page{Revision: s.version, Events: []event{}}
	before := s.before(cheap)
	if before != 0 {
		p.Revision = before
	}
	for k, list := range s.objects {
		e, _ := newestAt(list, before)
		if strings.HasPrefix(k, kind) && e.version > after {
			p.Events = append(p.Events, event{Deleted: e.deleted, Object: objectOf(k, e)})
		}
	}
	sort.Slice(p.Events, func(i, j int) bool { return p.Events[i].Object.Meta.Rev < p.Events[j].Object.Meta.Rev })
	return p, after < s.forgotten, s.changed
}

// Forget drops the history so far: watches from before it are told so.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}
