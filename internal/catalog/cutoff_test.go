package catalog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// watchCutter answers watches with the head of the response at once and can cut off those that wait.
type watchCutter struct {
	next http.Handler

	mu  sync.Mutex
	cut chan struct{}
}

func (c *watchCutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		c.next.ServeHTTP(w, r)
		return
	}
	c.mu.Lock()
	cut := c.cut
	c.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer := make(chan []byte, 1)
	go func() {
		recorder := httptest.NewRecorder()
		c.next.ServeHTTP(recorder, r.WithContext(ctx))
		answer <- recorder.Body.Bytes()
	}()
	select {
	case body := <-answer:
		_, _ = w.Write(body)
	case <-cut:
		panic(http.ErrAbortHandler)
	}
}

// cutWatches cuts off the watches that wait.
func (c *watchCutter) cutWatches() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.cut)
	c.cut = make(chan struct{})
}

// TestCutWatchesKeepNoRemovedServer removes the entry of a server while the store cuts off watches, and
// that of another one while the store is out. The store is available in the first case, so that the entry
// has not merely expired.
func TestCutWatchesKeepNoRemovedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		s.SetRaw("servers/s-1", []byte(serverEntry))
		s.SetRaw("servers/s-2", []byte(serverEntry))
		cutter := &watchCutter{next: s.Handler(), cut: make(chan struct{})}
		var mu sync.Mutex
		beliefs := map[string]string{}
		vm, stop := runCatalog(t, cutter, catalog.Options{OnServers: func(changes []catalog.ServerChange) {
			mu.Lock()
			defer mu.Unlock()
			for _, change := range changes {
				beliefs[change.ID] = map[bool]string{true: "used", false: "gone"}[change.InUse()]
			}
		}})
		defer stop()
		vm.SetLeader(time.Now().Add(time.Hour), 1)
		expect := func(when, first, second string) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			if diff := cmp.Diff(map[string]string{"s-1": first, "s-2": second}, beliefs); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		time.Sleep(2 * time.Second)
		expect("at the start", "used", "used")
		for range 2 {
			for range 30 {
				cutter.cutWatches()
				time.Sleep(5 * time.Millisecond)
			}
			s.Delete("servers/s-1")
			time.Sleep(1650 * time.Millisecond)
		}
		expect("after two cuts", "gone", "used")
		s.SetFaults(store.Faults{Outage: true})
		time.Sleep(3 * time.Second)
		s.Delete("servers/s-2")
		s.SetFaults(store.Faults{})
		time.Sleep(500 * time.Millisecond)
		expect("after the outage", "gone", "used")
		time.Sleep(5 * time.Second)
		expect("after the grace", "gone", "gone")
	})
}
