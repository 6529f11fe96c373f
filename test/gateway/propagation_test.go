package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// fleet is a test environment with several VMs in one data centre.
type fleet struct {
	*testEnv
	others []*ingress.Server // all VMs but testEnv.vm
	hosts  []string          // addresses of all VMs
}

// newFleet adds VMs until there are n. It waits until each has the others in its list of
// VMs, which is read every ten seconds.
func (env *testEnv) newFleet(n int) *fleet {
	f := &fleet{testEnv: env, hosts: []string{vmHost}}
	for i := 2; i <= n; i++ {
		host := fmt.Sprintf("10.1.0.%d", i)
		f.others = append(f.others, env.newVM(fmt.Sprintf("vm-%d", i), host))
		f.hosts = append(f.hosts, host)
	}
	time.Sleep(12 * time.Second)
	return f
}

func (f *fleet) killOthers() {
	for _, vm := range f.others {
		vm.Kill()
	}
}

// statuses requests a path at every VM and returns the statuses.
func (f *fleet) statuses(path, attempt string) []int {
	var out []int
	for i, host := range f.hosts {
		resp := f.via(host+":8000").call(f.t.Context(), http.MethodGet, path, fmt.Sprintf("%s-%d", attempt, i), nil)
		out = append(out, resp.status)
	}
	return out
}

func (f *fleet) checkStatuses(path, attempt string, want int) {
	f.t.Helper()
	for i, got := range f.statuses(path, attempt) {
		if got != want {
			f.t.Errorf("%s at VM %d: status %d, want %d", attempt, i+1, got, want)
		}
	}
}

// toggleServer changes the state of a server in the server list every 150 ms for d.
func (f *fleet) toggleServer(d time.Duration) {
	for i := 0; time.Duration(i)*150*time.Millisecond < d; i++ {
		state := "ready"
		if i%2 == 1 {
			state = "draining"
		}
		f.announce("p-churn", "plain", "10.1.64.99:80", "a", state)
		time.Sleep(150 * time.Millisecond)
	}
}

// TestStoreReadsDoNotGrowWithFleet replays the load pattern of the day "store" on
// klepsydra-serwis-grown: servers are added and removed, without and after a store
// outage. Twice the VMs must not make more reads, apart from those of the list of VMs,
// which each VM reads every ten seconds.
func TestStoreReadsDoNotGrowWithFleet(t *testing.T) {
	const span = 10 * time.Second
	countReads := func(t *testing.T, vms int, outage bool) int {
		reads := 0
		runTest(t, func(_ *testing.T, env *testEnv) {
			f := env.newFleet(vms)
			defer f.killOthers()
			if outage {
				env.store.SetFaults(store.Faults{Unresponsive: true})
				time.Sleep(3 * time.Second)
				env.store.SetFaults(store.Faults{})
				time.Sleep(4 * time.Second)
			}
			before := env.store.Counts()
			f.toggleServer(span)
			reads = env.store.Counts().Reads - before.Reads
		})
		return reads
	}
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			reads := map[int]int{}
			t.Run("measure", func(t *testing.T) {
				for _, vms := range []int{6, 12} {
					t.Run(fmt.Sprint(vms), func(t *testing.T) { reads[vms] = countReads(t, vms, outage) })
				}
			})
			if more := reads[12] - reads[6]; more > 2*6 {
				t.Errorf("12 VMs made %d reads in %v, 6 made %d", reads[12], span, reads[6])
			}
		})
	}
}

// TestServerChangesReachEveryVM adds a server and then marks it as leaving. VMs that do
// not read the store themselves must start and then stop sending requests to it.
func TestServerChangesReachEveryVM(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		f := env.newFleet(6)
		defer f.killOthers()
		f.checkStatuses("/safe/x", "before", http.StatusServiceUnavailable)
		env.startPlain("p-1", nil)
		time.Sleep(300 * time.Millisecond)
		f.checkStatuses("/safe/x", "there", http.StatusOK)
		env.announce("p-1", "plain", env.replicas["p-1"].Address(), "a", "draining")
		time.Sleep(300 * time.Millisecond)
		f.checkStatuses("/safe/x", "after", http.StatusServiceUnavailable)
	})
}

// TestConfigurationChangesReachEveryVM changes the configuration. VMs only notify each
// other of the change, and each must read the new configuration from the store.
func TestConfigurationChangesReachEveryVM(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		f := env.newFleet(6)
		defer f.killOthers()
		env.startPlain("p-1", nil)
		f.checkStatuses("/new/x", "before", http.StatusNotFound)
		env.configure(5, newRoute)
		time.Sleep(600 * time.Millisecond)
		f.checkStatuses("/new/x", "after", http.StatusOK)
	})
}

// TestConfigurationChangeDespiteStaleReads makes stale reads return an old version. VMs
// that are notified of a change and do not find it with a stale read must still apply it
// within the bound of 3 s.
func TestConfigurationChangeDespiteStaleReads(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		f := env.newFleet(3)
		defer f.killOthers()
		env.startPlain("p-1", nil)
		env.store.SetFaults(store.Faults{SerializableStaleVersion: env.store.Version()})
		env.configure(9, newRoute)
		time.Sleep(3 * time.Second)
		f.checkStatuses("/new/x", "after", http.StatusOK)
	})
}

// TestLeaveNoticeDespiteStaleReads marks an engine as leaving while stale reads return an
// old version. Streams must still migrate in time, both on a single VM and on one that
// is notified by another VM.
func TestLeaveNoticeDespiteStaleReads(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				f := env.newFleet(vms)
				defer f.killOthers()
				env.startEngine("e-1", "a")
				lastVM := f.via(f.hosts[vms-1] + ":8000")
				wait := lastVM.startStreams(5, 200, 300*time.Millisecond)
				env.startEngine("e-2", "a")
				time.Sleep(time.Second)
				env.store.SetFaults(store.Faults{SerializableStaleVersion: env.store.Version()})
				env.announceLeaving("e-1")
				time.Sleep(1540 * time.Millisecond)
				env.replicas["e-1"].Stop()
				env.checkUninterrupted(wait(), 200)
			})
		})
	}
}

// TestMassServerChangeNeedsFewLinearizableReads changes more servers than the leader may
// send to its followers. They must read the rest from the store, with few linearizable
// reads.
func TestMassServerChangeNeedsFewLinearizableReads(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		f := env.newFleet(6)
		defer f.killOthers()
		before := env.store.Counts()
		for i := range 900 {
			env.announce(fmt.Sprintf("p-%03d", i), "plain", fmt.Sprintf("10.2.%d.%d:80", i/200, i%200), "a", "draining")
			if i%10 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		env.startPlain("p-1", nil)
		time.Sleep(time.Second)
		f.checkStatuses("/safe/x", "after", http.StatusOK)
		reads := env.store.Counts()
		linearizable := reads.Reads - before.Reads - (reads.Serializable - before.Serializable)
		if linearizable > 5*6 {
			t.Errorf("%d linearizable reads", linearizable)
		}
	})
}

// TestLeaderFailover kills or disconnects the leader, which reads the store for its
// followers. Changes must still take effect within the bound of 3 s.
func TestLeaderFailover(t *testing.T) {
	for name, fail := range map[string]func(*fleet){
		"killed":             func(f *fleet) { f.vm.Kill() },
		"cut from the store": func(f *fleet) { f.network.Cut(vmHost, storeHost); f.network.Cut(storeHost, vmHost) },
		"cut from its peers": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.network.Cut(vmHost, host)
			}
		},
		"stuck connections": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.network.Stall(vmHost, host)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				f := env.newFleet(6)
				defer f.killOthers()
				fail(f)
				defer env.network.HealAll()
				env.configure(9, newRoute)
				env.startPlain("p-1", nil)
				time.Sleep(3 * time.Second)
				f.hosts = f.hosts[1:]
				f.checkStatuses("/new/x", "after", http.StatusOK)
			})
		})
	}
}
