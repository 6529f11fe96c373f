package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// getStatus returns the status of a GET request, or 0 if it failed.
func (env *testEnv) getStatus(address, path string) int {
	client := network.Client(env.network.Host("10.3.0.2"))
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// newRoute is a route that a later version of the configuration adds.
var newRoute = object{
	"name": "r-new", "host": "acme.example", "pathPrefix": "/new/", "kind": "safe", "service": "plain",
	"maxAttempts": 2, "timeoutMs": 1500, "goalMs": 200,
}

// callStatus sends a GET request as a caller and returns the status of the response.
func (env *testEnv) callStatus(path string) int {
	return env.call(env.t.Context(), http.MethodGet, path, "c", nil).status
}

// TestConfigurationChangeTakesEffect changes the configuration without any fault. The
// change must take effect within 100 ms.
func TestConfigurationChangeTakesEffect(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		if got := env.callStatus("/new/x"); got != 404 {
			t.Fatalf("status %d, want 404", got)
		}
		env.configure(5, newRoute)
		time.Sleep(100 * time.Millisecond)
		if got := env.callStatus("/new/x"); got != 200 {
			t.Errorf("status %d, want 200", got)
		}
		// An older version that is written later has no effect.
		env.configure(3, nil)
		time.Sleep(100 * time.Millisecond)
		if got := env.callStatus("/new/x"); got != 200 {
			t.Errorf("status %d after an older version was written", got)
		}
	})
}

// TestConfigurationChangeAfterUnresponsiveStore guards against finding CONFIG of
// klepsydra-serwis, trouble-3. The store does not respond for some time, and the
// configuration changes as soon as it responds again. The change must take effect within
// the bound of 3 s, whichever call was open at that time.
func TestConfigurationChangeAfterUnresponsiveStore(t *testing.T) {
	for _, ms := range []int{6000, 7300, 8000, 8400, 8800, 9100} {
		unresponsive := time.Duration(ms) * time.Millisecond
		t.Run(unresponsive.String(), func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				env.startPlain("p-1", nil)
				env.store.SetFaults(store.Faults{Unresponsive: true})
				time.Sleep(unresponsive)
				env.store.SetFaults(store.Faults{})
				env.configure(9, newRoute)
				time.Sleep(3 * time.Second)
				if got := env.callStatus("/new/x"); got != 200 {
					t.Errorf("status %d, want 200", got)
				}
			})
		})
	}
}

// TestStaleReadsAreConfirmed first checks that most reads are stale reads, which are
// cheap, while nothing changes. It then makes stale reads return an old version. A change
// must still take effect within the bound of 3 s.
func TestStaleReadsAreConfirmed(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		time.Sleep(10 * time.Second)
		before := env.store.Counts()
		time.Sleep(30 * time.Second)
		after := env.store.Counts()
		if linearizable := after.Reads - before.Reads - (after.Serializable - before.Serializable); linearizable > 40 {
			t.Errorf("%d linearizable reads in 30 s without changes", linearizable)
		}
		env.store.SetFaults(store.Faults{SerializableStaleVersion: env.store.Version()})
		env.configure(9, newRoute)
		time.Sleep(3 * time.Second)
		if got := env.callStatus("/new/x"); got != 200 {
			t.Errorf("status %d, want 200", got)
		}
	})
}

// TestConfigurationChangeAfterStalledConnection stalls the connections to the store: they
// stay open but deliver no more data. A change must still take effect within the bound of
// 3 s.
func TestConfigurationChangeAfterStalledConnection(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		env.network.Stall(vmHost, storeHost)
		// A VM counts as disconnected for 4 s after such a fault. The bound applies
		// from then on.
		time.Sleep(4 * time.Second)
		env.configure(9, newRoute)
		time.Sleep(3 * time.Second)
		if got := env.callStatus("/new/x"); got != 200 {
			t.Errorf("status %d, want 200", got)
		}
	})
}

// TestConfigurationChangeAfterHistoryLoss changes the configuration during an outage
// after which the store no longer has the history that a watch continues from.
func TestConfigurationChangeAfterHistoryLoss(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		env.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(2 * time.Second)
		env.configure(9, newRoute)
		env.store.Compact()
		env.store.SetFaults(store.Faults{})
		time.Sleep(2 * time.Second)
		if got := env.callStatus("/new/x"); got != 200 {
			t.Errorf("status %d, want 200", got)
		}
	})
}

// TestServesDuringStoreOutage checks that a VM keeps serving with the state that it last
// read from the store.
func TestServesDuringStoreOutage(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		env.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(20 * time.Second)
		if got := env.callStatus("/safe/x"); got != 200 {
			t.Errorf("status %d, want 200", got)
		}
		if got := env.getStatus(readyAddr, "/v1/ready"); got != 200 {
			t.Errorf("ready endpoint returned status %d", got)
		}
	})
}

// TestLeavingServerGetsNoRequests checks that no request is sent to a server that is
// marked as leaving.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		env.startPlain("p-2", nil)
		env.announce("p-1", "plain", env.replicas["p-1"].Address(), "a", "draining")
		time.Sleep(20 * time.Millisecond)
		for range 20 {
			env.callStatus("/safe/x")
		}
		for _, r := range env.upstreams.Runs("c") {
			if r.Replica == "p-1" {
				t.Fatal("a leaving server got a request")
			}
		}
	})
}

// TestInvalidServerEntriesAreIgnored adds invalid entries to the server list. They must
// be logged and not used.
func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		for name, spec := range map[string]any{
			"x-1": object{"service": "plain"},
			"x-2": object{"service": "plain", "addr": 7, "zone": "a", "slots": 6, "state": "ready"},
			"x-3": object{"service": "plain", "addr": "10.1.64.99:80", "zone": "a", "slots": 6, "state": "odd"},
			"x-4": "text",
			"x-5": []int{1},
			"x-6": object{"service": "plain", "addr": "10.1.64.99", "zone": "a", "slots": 6, "state": "ready"},
		} {
			env.store.Set("servers/"+name, spec)
		}
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			if got := env.callStatus("/safe/x"); got != 200 {
				t.Fatalf("status %d, want 200", got)
			}
		}
		if n := env.logs.count("belief=unread"); n != 6 {
			t.Errorf("%d entries were logged as unread, want 6", n)
		}
	})
}

// TestServerListIsUsedPageByPage starts a VM while the store is slow and has many
// servers, as when all VMs of a large fleet start at once. The VM must serve as soon as
// it has the first page of the list.
func TestServerListIsUsedPageByPage(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("a-1", nil)
		for i := range 2000 {
			env.announce(fmt.Sprintf("p-%04d", i), "plain", fmt.Sprintf("10.2.%d.%d:80", i/200, i%200), "a", "draining")
		}
		env.store.SetFaults(store.Faults{DelayMs: 900})
		late := env.newVM("vm-2", "10.1.0.2")
		defer late.Kill()
		time.Sleep(2 * time.Second)
		if got := env.via("10.1.0.2:8000").callStatus("/safe/x"); got != http.StatusOK {
			t.Errorf("status %d, want 200", got)
		}
	})
}

// TestRestartUsesNothingWithdrawn restarts a VM while stale reads of the store still return
// the state before a key was withdrawn and a server left. Neither may be in use again.
func TestRestartUsesNothingWithdrawn(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		env.startPlain("p-1", nil)
		env.startPlain("p-2", nil)
		before := env.store.Version()
		env.announce("p-1", "plain", env.replicas["p-1"].Address(), "a", "draining")
		value, _, _ := env.store.Read("config/main")
		var config object
		if err := json.Unmarshal(value, &config); err != nil {
			t.Fatal(err)
		}
		config["version"], config["tenants"] = 9, []object{{"name": "acme", "apiKeys": []string{"key-of-others"}}}
		env.store.Set("config/main", config)
		time.Sleep(3 * time.Second)
		env.store.SetFaults(store.Faults{SerializableStaleVersion: before})
		for restart := range 5 {
			env.vm.Kill()
			env.startVM()
			for i := range 20 {
				if got := env.callStatus("/safe/x"); got != http.StatusUnauthorized && got != http.StatusServiceUnavailable {
					t.Errorf("restart %d: status %d with a withdrawn key", restart, got)
				}
				attempt := fmt.Sprintf("r%d-%d", restart, i)
				env.call(t.Context(), http.MethodGet, "/safe/x", attempt, http.Header{"Authorization": {"Token key-of-others"}})
				for _, run := range env.upstreams.Runs(attempt) {
					if run.Replica == "p-1" {
						t.Errorf("restart %d: a request ran on the server that is leaving", restart)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}
