package catalog_test

import (
	"context"
	"net/http"
	"sync/atomic"
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

// TestEvacuationsAreFollowed writes and removes entries, also while the history of the store is
// lost and while the store is out.
func TestEvacuationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := pipenet.New()
		defer fabric.Close()
		s := store.New()
		ln, err := fabric.Host("10.0.0.1").Listen("10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: s.Handler()}
		go func() { _ = server.Serve(ln) }()
		var latest atomic.Pointer[map[string]bool]
		ctx, cancel := context.WithCancel(t.Context())
		vm := catalog.New(catalog.Options{
			Store: platform.New("http://10.0.0.1:80", network.Client(fabric.Host("10.0.0.2"))), Log: logline.New(discard{}, "error"),
			PropagationBound: 3 * time.Second, EvacuationBound: 5 * time.Second,
			OnState: func(*routing.State) {}, OnServers: func([]catalog.ServerChange) {},
			OnEvacuations: func(dataCentres map[string]bool) { latest.Store(&dataCentres) },
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			vm.Run(ctx)
		}()
		expect := func(when string, want ...string) {
			t.Helper()
			time.Sleep(5 * time.Second)
			set := map[string]bool{}
			for _, name := range want {
				set[name] = true
			}
			got := map[string]bool{}
			if set := latest.Load(); set != nil {
				got = *set
			}
			if diff := cmp.Diff(set, got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		expect("at the start")
		s.Set("evacuations/a", map[string]any{})
		s.SetRaw("evacuations/b", []byte(`"text"`))
		expect("after two entries", "a", "b")
		s.Delete("evacuations/a")
		s.Compact()
		s.Set("evacuations/c", map[string]any{})
		expect("after the loss of the history", "b", "c")
		s.SetFaults(store.Faults{Outage: true})
		expect("while the store is out", "b", "c")
		s.SetFaults(store.Faults{})
		s.Delete("evacuations/b")
		expect("after the outage", "c")
		cancel()
		<-done
		_ = server.Close()
		time.Sleep(time.Second)
	})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
