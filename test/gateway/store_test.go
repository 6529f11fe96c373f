package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// get returns the status of a plain GET.
func (w *world) get(address, path string) int {
	client := network.Client(w.net.Host("10.3.0.2"))
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// added is a route that a later version has.
var added = object{
	"name": "r-new", "host": "acme.example", "pathPrefix": "/new/", "kind": "safe", "service": "plain",
	"maxAttempts": 2, "timeoutMs": 1500, "goalMs": 200,
}

func (w *world) serves(path string) int {
	return w.call(w.t.Context(), http.MethodGet, path, "c", nil).status
}

// TestConfigurationIsInForceAtOnce changes the configuration while all is well.
func TestConfigurationIsInForceAtOnce(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		if got := w.serves("/new/x"); got != 404 {
			t.Fatalf("status %d", got)
		}
		w.configure(5, added)
		time.Sleep(100 * time.Millisecond)
		if got := w.serves("/new/x"); got != 200 {
			t.Errorf("status %d", got)
		}
		// An older version that is written later changes nothing.
		w.configure(3, nil)
		time.Sleep(100 * time.Millisecond)
		if got := w.serves("/new/x"); got != 200 {
			t.Errorf("status %d after an older version was written", got)
		}
	})
}

// TestSilentStoreReturns is the finding CONFIG of klepsydra-serwis, trouble-3: a
// change that is made right after the store was silent is in force within the
// bound of 3 s, whichever call was open when it returned.
func TestSilentStoreReturns(t *testing.T) {
	for _, ms := range []int{6000, 7300, 8000, 8400, 8800, 9100} {
		silent := time.Duration(ms) * time.Millisecond
		t.Run(silent.String(), func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				w.plain("p-1", nil)
				w.store.SetFaults(store.Faults{Unresponsive: true})
				time.Sleep(silent)
				w.store.SetFaults(store.Faults{})
				w.configure(9, added)
				time.Sleep(3 * time.Second)
				if got := w.serves("/new/x"); got != 200 {
					t.Errorf("status %d", got)
				}
			})
		})
	}
}

// TestReadsFromThePastAreConfirmed freezes the reads that may be old: a change is
// in force within the bound all the same, and most reads are of the cheap kind.
func TestReadsFromThePastAreConfirmed(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		time.Sleep(10 * time.Second)
		before := w.store.Counts()
		time.Sleep(30 * time.Second)
		after := w.store.Counts()
		if exact := after.Reads - before.Reads - (after.Serializable - before.Serializable); exact > 40 {
			t.Errorf("%d exact reads in 30 calm seconds", exact)
		}
		w.store.SetFaults(store.Faults{SerializableStaleVersion: w.store.Version()})
		w.configure(9, added)
		time.Sleep(3 * time.Second)
		if got := w.serves("/new/x"); got != 200 {
			t.Errorf("status %d", got)
		}
	})
}

// TestStuckConnectionToStore leaves the watches on connections that stay open
// and carry nothing any more.
func TestStuckConnectionToStore(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		w.net.Stall(vmHost, storeHost)
		// Machines count as out of touch for 4 s after such a fault.
		time.Sleep(4 * time.Second)
		w.configure(9, added)
		time.Sleep(3 * time.Second)
		if got := w.serves("/new/x"); got != 200 {
			t.Errorf("status %d", got)
		}
	})
}

// TestStoreForgetsHistory drops the history behind a watch.
func TestStoreForgetsHistory(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		w.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(2 * time.Second)
		w.configure(9, added)
		w.store.Compact()
		w.store.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		if got := w.serves("/new/x"); got != 200 {
			t.Errorf("status %d", got)
		}
	})
}

// TestServesWhileTheStoreIsAway keeps what is known in use.
func TestServesWhileTheStoreIsAway(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		w.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(20 * time.Second)
		if got := w.serves("/safe/x"); got != 200 {
			t.Errorf("status %d", got)
		}
		if got := w.get(readyAddr, "/v1/ready"); got != 200 {
			t.Errorf("ready answers %d", got)
		}
	})
}

// TestLeavingServerGetsNothing checks that no request is sent to a server that
// announced that it leaves.
func TestLeavingServerGetsNothing(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		w.plain("p-2", nil)
		w.announce("p-1", "plain", w.up["p-1"].Address(), "a", "draining")
		time.Sleep(20 * time.Millisecond)
		for range 20 {
			w.serves("/safe/x")
		}
		for _, r := range w.grid.Runs("c") {
			if r.Replica == "p-1" {
				t.Fatal("a leaving server got a request")
			}
		}
	})
}

// TestEntriesOfOthers puts entries into the list that name no server to use.
func TestEntriesOfOthers(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("p-1", nil)
		for name, spec := range map[string]any{
			"x-1": object{"service": "plain"},
			"x-2": object{"service": "plain", "addr": 7, "zone": "a", "slots": 6, "state": "ready"},
			"x-3": object{"service": "plain", "addr": "10.1.64.99:80", "zone": "a", "slots": 6, "state": "odd"},
			"x-4": "text",
			"x-5": []int{1},
			"x-6": object{"service": "plain", "addr": "10.1.64.99", "zone": "a", "slots": 6, "state": "ready"},
		} {
			w.store.Set("servers/"+name, spec)
		}
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			if got := w.serves("/safe/x"); got != 200 {
				t.Fatalf("status %d", got)
			}
		}
		if n := w.log.count("belief=unread"); n != 6 {
			t.Errorf("%d entries were logged as unread", n)
		}
	})
}

// TestLongListIsUsedAsItComes starts a VM while the store is slow and has many
// servers, as when all VMs of a large fleet start at once: it serves from the
// first page of the list.
func TestLongListIsUsedAsItComes(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		w.plain("a-1", nil)
		for i := range 2000 {
			w.announce(fmt.Sprintf("p-%04d", i), "plain", fmt.Sprintf("10.2.%d.%d:80", i/200, i%200), "a", "draining")
		}
		w.store.SetFaults(store.Faults{DelayMs: 900})
		late := w.newVM("vm-2", "10.1.0.2")
		defer late.Kill()
		time.Sleep(2 * time.Second)
		if got := w.at("10.1.0.2:8000").serves("/safe/x"); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
	})
}
