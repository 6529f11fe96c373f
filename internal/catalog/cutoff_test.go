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
	"github.com/pimentohinge/pimentohinge/internal/logline"
	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/routing"
	"github.com/pimentohinge/pimentohinge/internal/standin/pipenet"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/platform"
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
		fabric := pipenet.New()
		defer fabric.Close()
		s := store.New()
		ln, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		cutter := &watchCutter{next: s.Handler(), cut: make(chan struct{})}
		server := &http.Server{Handler: cutter}
		go func() { _ = server.Serve(ln) }()
		s.SetRaw("servers/s-1", []byte(serverEntry))
		s.SetRaw("servers/s-2", []byte(serverEntry))
		var mu sync.Mutex
		beliefs := map[string]string{}
		ctx, cancel := context.WithCancel(t.Context())
		vm := catalog.New(catalog.Options{
			Store: platform.New("http://10.0.0.1:80", network.Client(fabric.Host("10.0.0.2"))), Log: logline.New(discard{}, "error"),
			PropagationBound: 3 * time.Second, EvacuationBound: 5 * time.Second, OnState: func(*routing.State) {},
			OnServers: func(changes []catalog.ServerChange) {
				mu.Lock()
				defer mu.Unlock()
				for _, change := range changes {
					beliefs[change.ID] = map[bool]string{true: "used", false: "gone"}[change.InUse()]
				}
			},
		})
		vm.SetLeader(time.Now().Add(time.Hour), 1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			vm.Run(ctx)
		}()
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
		cancel()
		<-done
		_ = server.Close()
		time.Sleep(5 * time.Second)
	})
}
