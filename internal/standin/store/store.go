// Package store is a small stand-in for the platform's object service, with
// its rate limits and with faults on demand.
package store

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/internal/platform"
)

// Rates of the object service.
const (
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	maxWatch        = 60 * time.Second
)

// Faults selects what goes wrong. The zero value is a healthy service.
type Faults struct {
	// Outage refuses every call without effect.
	Outage bool `json:"outage"`
	// DelayMs is added before each call takes effect, in milliseconds.
	DelayMs int `json:"delayMs"`
	// LoseAnswers is how many further writes take effect but lose their answer.
	LoseAnswers int `json:"loseAnswers"`
	// StaleBefore, when not 0, makes reads show the store as of this version.
	StaleBefore int64 `json:"staleBefore"`
}

// Counts is the number of calls since the start.
type Counts struct {
	// Reads counts reads; each watch counts as one.
	Reads int `json:"reads"`
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
	mu      sync.Mutex
	objects map[string][]entry // versions in ascending order
	version int64
	faults  Faults
	counts  Counts
	changed chan struct{} // closed and replaced at each change
	writes  *rate.Limiter
	reads   *rate.Limiter
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
	r.Get("/objects", s.list)
	r.Get("/objects/*", s.get)
	r.Put("/objects/*", s.put)
	r.Delete("/objects/*", s.remove)
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

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.enter(r.Context(), w, false) {
		return
	}
	s.mu.Lock()
	e, ok := newestAt(s.objects[chi.URLParam(r, "*")], s.faults.StaleBefore)
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", quote(e.version))
	_, _ = w.Write(e.value)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes || !json.Valid(value) {
		http.Error(w, "value must be JSON of at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	s.change(w, r, entry{value: value})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.change(w, r, entry{deleted: true})
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, e entry) {
	if !s.enter(r.Context(), w, true) {
		return
	}
	key := chi.URLParam(r, "*")
	s.mu.Lock()
	old, exists := s.newest(key)
	if !holds(r.Header, old.version, exists) {
		s.mu.Unlock()
		http.Error(w, "condition does not hold", http.StatusPreconditionFailed)
		return
	}
	v := s.write(key, e)
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		// The connection breaks after the write took effect.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", quote(v))
}

func holds(h http.Header, version int64, exists bool) bool {
	if h.Get("If-None-Match") == "*" && exists {
		return false
	}
	m := h.Get("If-Match")
	return m == "" || (exists && m == quote(version))
}

func quote(v int64) string { return `"` + strconv.FormatInt(v, 10) + `"` }

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if !s.enter(r.Context(), w, false) {
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	watch := err == nil
	deadline := watchDeadline(q.Get("deadlineUnixMs"))
	for {
		l, changed := s.listing(q.Get("prefix"), after, watch)
		if !watch || len(l.Objects) > 0 || !time.Now().Before(deadline) {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		if !s.awaitChange(r.Context(), changed, deadline) {
			return
		}
		if s.out() {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Store) out() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Outage
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

func watchDeadline(text string) time.Time {
	limit := time.Now().Add(maxWatch)
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Now()
	}
	if t := time.UnixMilli(ms); t.Before(limit) {
		return t
	}
	return limit
}

func (s *Store) listing(prefix string, after int64, watch bool) (platform.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.Listing{Version: s.version, Objects: []platform.Object{}}
	stale := s.faults.StaleBefore
	if stale != 0 {
		l.Version = stale
	}
	for k, list := range s.objects {
		if !strings.HasPrefix(k, prefix) || len(list) == 0 {
			continue
		}
		e, exists := newestAt(list, stale)
		if e.version == 0 || (watch && e.version <= after) || (!watch && !exists) {
			continue
		}
		l.Objects = append(l.Objects, platform.Object{Key: k, Version: e.version, Value: e.value, Deleted: e.deleted})
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Key < l.Objects[j].Key })
	return l, s.changed
}
