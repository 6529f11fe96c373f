package catalog_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/catalog"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// TestEvacuationsAreFollowed writes and removes entries, also while the history of the store is
// lost and while the store is out.
func TestEvacuationsAreFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		var latest atomic.Pointer[map[string]bool]
		_, stop := runCatalog(t, s.Handler(), catalog.Options{
			OnEvacuations: func(dataCentres map[string]bool) { latest.Store(&dataCentres) },
		})
		defer stop()
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
	})
}
