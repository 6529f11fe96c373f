package store

import (
	"net/http"
	"slices"
	"strconv"
)

// Restore replaces the store by its copy as of a version: later changes are lost and their versions
// are given out again.
func (s *Store) Restore(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, versions := range s.objects {
		s.objects[key] = slices.DeleteFunc(versions, func(v objectVersion) bool { return v.version > version })
		if len(s.objects[key]) == 0 {
			delete(s.objects, key)
		}
	}
	s.version = version
	s.compactedVersion = min(s.compactedVersion, version)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// withEra names the era in each response. A watch that waits is answered in the era in which its
// response begins.
func (s *Store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader adds the era.
func (w *eraWriter) WriteHeader(status int) {
	w.store.mu.Lock()
	era := w.store.era
	w.store.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.ResponseWriter.WriteHeader(status)
}
