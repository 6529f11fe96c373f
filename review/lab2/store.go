package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: objects by kind and name, one counter of
// revisions, watches, and reads that may be stale. Each change is applied at once and is never
// lost.
type store struct {
	address string
	server  *http.Server
	// staleBy is how old the data of reads with serializable = 1 may be.
	staleBy time.Duration

	mu       sync.Mutex
	revision int64
	history  map[string][]storedVersion // by kind and name
	changed  chan struct{}
	// cut is closed and replaced when the watches that wait are cut off.
	cut chan struct{}
	// waiting is the number of watches of replicas' entries that wait.
	waiting int
}

// storedVersion is an object after one change.
type storedVersion struct {
	revision int64
	at       time.Time
	spec     json.RawMessage
	deleted  bool
}

func (l *lab) startStore(staleBy time.Duration) error {
	ln, err := listen()
	if err != nil {
		return err
	}
	s := &store{address: ln.Addr().String(), staleBy: staleBy, revision: 1, history: map[string][]storedVersion{}, changed: make(chan struct{}), cut: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	l.store = s
	l.onClose(func() { _ = s.server.Close() })
	return nil
}

// set is a write of the operator or of a replica. It returns when the store has accepted it.
func (s *store) set(key string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic("lab2: encode object: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(key, storedVersion{spec: text})
}

// remove removes an object. It returns the time at which the store has done so.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(key, storedVersion{deleted: true})
	return time.Now()
}

// cutWatches closes the channels of the watches of replicas' entries that wait, or begin to wait
// within cutTime.
func (s *store) cutWatches() {
	for until := time.Now().Add(cutTime); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		if s.waiting > 0 {
			close(s.cut)
			s.cut = make(chan struct{})
		}
		s.mu.Unlock()
	}
}

// cutTime is how long the store takes to cut off the watches: a machine asks again after 0.1 s at
// least.
const cutTime = 150 * time.Millisecond

// await waits for one of the channels or for a time. It reports false if the watch was cut off.
func (s *store) await(kind string, changed, cut, gone <-chan struct{}, wait time.Duration) bool {
	if kind != "servers" {
		cut = nil
	} else {
		s.addWaiting(1)
		defer s.addWaiting(-1)
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-gone:
	case <-cut:
		return false
	}
	return true
}

func (s *store) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += n
}

// add applies a change. s.mu must be held.
func (s *store) add(key string, v storedVersion) int64 {
	s.revision++
	v.revision, v.at = s.revision, time.Now()
	s.history[key] = append(s.history[key], v)
	close(s.changed)
	s.changed = make(chan struct{})
	return v.revision
}

// latest returns the newest version of an object that is at least as old as by. s.mu must be held.
func (s *store) latest(key string, by time.Duration) (storedVersion, bool) {
	versions := s.history[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if time.Since(versions[i].at) >= by {
			return versions[i], !versions[i].deleted
		}
	}
	return storedVersion{}, false
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, one := strings.Cut(path, "/")
	age := time.Duration(0)
	if r.URL.Query().Get("serializable") == "1" {
		age = s.staleBy
	}
	switch {
	case r.Method == http.MethodGet && one:
		s.get(w, kind+"/"+name, age)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, age)
	case r.Method == http.MethodGet:
		s.list(w, kind, age)
	default:
		s.write(w, r, kind, name)
	}
}

func object(key string, v storedVersion) map[string]any {
	_, name, _ := strings.Cut(key, "/")
	return map[string]any{"metadata": map[string]any{"name": name, "rev": v.revision, "created": 1, "finalizers": []string{}, "deleting": false}, "spec": v.spec, "status": nil}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, key string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.latest(key, age)
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, object(key, v))
}

// revisionAt is the revision of data of an age. s.mu must be held.
func (s *store) revisionAt(age time.Duration) int64 {
	if age == 0 {
		return s.revision
	}
	newest := int64(1)
	for _, versions := range s.history {
		for _, v := range versions {
			if time.Since(v.at) >= age {
				newest = max(newest, v.revision)
			}
		}
	}
	return newest
}

func (s *store) list(w http.ResponseWriter, kind string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []map[string]any{}
	for _, key := range s.keys(kind) {
		if v, ok := s.latest(key, age); ok {
			items = append(items, object(key, v))
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "storeRevision": s.revisionAt(age)})
}

// keys returns the keys of a kind, sorted. s.mu must be held.
func (s *store) keys(kind string) []string {
	var keys []string
	for key := range s.history {
		if strings.HasPrefix(key, kind+"/") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, age time.Duration) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	until := time.Now().Add(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	if waitMs > 0 {
		// The head of the answer goes first, so that a cut leaves an answer without its body.
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	for {
		s.mu.Lock()
		events, revision, changed, cut := s.events(kind, after, age), s.revisionAt(age), s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(until) {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": max(revision, after)})
			return
		}
		wait := time.Until(until)
		if age > 0 {
			wait = min(wait, 20*time.Millisecond)
		}
		if !s.await(kind, changed, cut, r.Context().Done(), wait) {
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// events returns the changes of a kind after a revision, oldest first. s.mu must be held.
func (s *store) events(kind string, after int64, age time.Duration) []map[string]any {
	type change struct {
		key string
		v   storedVersion
	}
	var changes []change
	for _, key := range s.keys(kind) {
		for _, v := range s.history[key] {
			if v.revision > after && time.Since(v.at) >= age {
				changes = append(changes, change{key, v})
			}
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].v.revision < changes[j].v.revision })
	events := []map[string]any{}
	for _, c := range changes {
		events = append(events, map[string]any{"object": object(c.key, c.v), "deleted": c.v.deleted})
	}
	return events
}

// write serves the writes of the system.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name string `json:"name"`
			Rev  int64  `json:"rev"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
	} else {
		body.Metadata.Rev, _ = strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	key := kind + "/" + name
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.latest(key, 0)
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, object(key, old))
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method != http.MethodPost && body.Metadata.Rev != 0 && body.Metadata.Rev != old.revision:
		reply(w, http.StatusConflict, object(key, old))
	default:
		next := storedVersion{spec: body.Spec, deleted: r.Method == http.MethodDelete}
		next.revision = s.add(key, next)
		reply(w, http.StatusOK, object(key, next))
	}
}
