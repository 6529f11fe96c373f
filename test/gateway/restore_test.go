package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestVMFollowsARestoredStore lets the store come back from an older copy. What the VM wrote is
// written again, and changes are followed although their revisions were given out before.
func TestVMFollowsARestoredStore(t *testing.T) {
	for _, lost := range []int{1, 20} {
		t.Run(fmt.Sprint("lost", lost), func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				env.vm.Kill()
				env.evacuationMs = 5000
				env.store.Delete("vms/vm-1")
				env.store.Delete("fleet/peer-key")
				env.startReplica("p-a", "plain", "a", nil, nil)
				env.startReplica("p-b", "plain", "b", nil, nil)
				copied := env.store.Version()
				env.startVM()
				// Changes that the copy lacks. The operator writes the evacuation again.
				env.store.Set("evacuations/a", object{})
				for i := range lost {
					env.store.Set("other/o", i)
				}
				time.Sleep(3 * time.Second)
				env.store.Restore(copied)
				env.store.Set("evacuations/a", object{})
				time.Sleep(5 * time.Second)
				if diff := cmp.Diff([]string{"fleet/peer-key", "vms/vm-1"}, append(env.store.Keys("fleet/"), env.store.Keys("vms/")...)); diff != "" {
					t.Errorf("objects of the VM (-want +got):\n%s", diff)
				}
				ranAt := func(attempt string) string {
					resp := env.call(t.Context(), http.MethodGet, "/safe/x", attempt, nil)
					runs := env.upstreams.Runs(attempt)
					if resp.status != http.StatusOK || len(runs) != 1 {
						return fmt.Sprintf("status %d, %d runs", resp.status, len(runs))
					}
					return runs[0].Replica
				}
				if got := ranAt("evacuated"); got != "p-b" {
					t.Errorf("a request during the evacuation ran at %s", got)
				}
				env.store.Delete("evacuations/a")
				time.Sleep(5 * time.Second)
				if got := ranAt("taken-back"); got != "p-a" {
					t.Errorf("a request after the evacuation ran at %s", got)
				}
				env.store.Delete("servers/p-a")
				env.configure(9, object{
					"name": "r-new", "host": "acme.example", "pathPrefix": "/new/", "kind": "safe", "service": "plain",
					"maxAttempts": 1, "timeoutMs": 1500, "goalMs": 200, "priority": 1,
				})
				time.Sleep(5 * time.Second)
				if got := ranAt("removed"); got != "p-b" {
					t.Errorf("a request after the removal of a server ran at %s", got)
				}
				if resp := env.call(t.Context(), http.MethodGet, "/new/x", "new", nil); resp.status != http.StatusOK {
					t.Errorf("status %d on a route that was added after the restoration", resp.status)
				}
				if env.logs.count("event=storeRestored") == 0 {
					t.Error("the log does not show the restoration")
				}
			})
		})
	}
}

// TestVMsAgreeOnAKeyAfterARestoration restores the store to before the key of the VMs was created.
// They must still exchange their ledgers.
func TestVMsAgreeOnAKeyAfterARestoration(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.vm.Kill()
		env.store.Delete("fleet/peer-key")
		env.store.Delete("vms/vm-1")
		copied := env.store.Version()
		env.startVM()
		second := env.newVM("vm-2", "10.1.0.2")
		defer second.Kill()
		time.Sleep(6 * time.Second)
		env.store.Restore(copied)
		// A VM that starts now creates another key if it comes first.
		third := env.newVM("vm-3", "10.1.0.3")
		defer third.Kill()
		time.Sleep(15 * time.Second)
		if diff := cmp.Diff([]string{"vms/vm-1", "vms/vm-2", "vms/vm-3"}, env.store.Keys("vms/")); diff != "" {
			t.Errorf("entries (-want +got):\n%s", diff)
		}
		before := env.logs.count("event=peerLost")
		time.Sleep(10 * time.Second)
		if after := env.logs.count("event=peerLost"); after > before {
			t.Errorf("%d links were refused", after-before)
		}
	})
}
