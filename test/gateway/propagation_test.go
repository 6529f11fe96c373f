package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/ingress"
	"github.com/pimentohinge/pimentohinge/internal/standin/store"
)

// fleet is a world with several VMs in one data centre.
type fleet struct {
	*testEnv
	others []*ingress.Server
	hosts  []string
}

// newFleet adds VMs until there are n.
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

// statuses asks every VM for a path of the plain service.
func (f *fleet) statuses(path, attempt string) []int {
	var out []int
	for i, host := range f.hosts {
		a := f.via(host+":8000").call(f.t.Context(), http.MethodGet, path, fmt.Sprintf("%s-%d", attempt, i), nil)
		out = append(out, a.status)
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

// toggleServer changes the list of servers for a while.
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
// klepsydra-serwis-grown: servers that come and go, before and after the store
// was away. Twice the VMs make no more calls, but for the list of VMs that each
// reads every ten seconds.
func TestStoreReadsDoNotGrowWithFleet(t *testing.T) {
	const span = 10 * time.Second
	calls := func(t *testing.T, vms int, outage bool) int {
		made := 0
		runTest(t, func(_ *testing.T, env *testEnv) {
			f := env.newFleet(vms)
			defer f.killOthers()
			if outage {
				env.store.SetFaults(store.Faults{Silent: true})
				time.Sleep(3 * time.Second)
				env.store.SetFaults(store.Faults{})
				time.Sleep(4 * time.Second)
			}
			before := env.store.Counts()
			f.toggleServer(span)
			made = env.store.Counts().Reads - before.Reads
		})
		return made
	}
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			made := map[int]int{}
			t.Run("measure", func(t *testing.T) {
				for _, vms := range []int{6, 12} {
					t.Run(fmt.Sprint(vms), func(t *testing.T) { made[vms] = calls(t, vms, outage) })
				}
			})
			if more := made[12] - made[6]; more > 2*6 {
				t.Errorf("12 VMs made %d reads in %v, 6 made %d", made[12], span, made[6])
			}
		})
	}
}

// TestServerChangesReachEveryVM starts a server and takes it away again: VMs that
// are told of it use it, and stop, without reading the store themselves.
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

// TestConfigurationChangesReachEveryVM changes the configuration, which is not sent
// between VMs: each is told that there is one and reads it.
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

// TestConfigurationChangeDespiteStaleReads freezes the reads that may be old: a VM that is
// told of a change, reads it and sees none has it in force within the bound.
func TestConfigurationChangeDespiteStaleReads(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		f := env.newFleet(3)
		defer f.killOthers()
		env.startPlain("p-1", nil)
		env.store.SetFaults(store.Faults{FrozenBefore: env.store.Version()})
		env.configure(9, newRoute)
		time.Sleep(3 * time.Second)
		f.checkStatuses("/new/x", "after", http.StatusOK)
	})
}

// TestLeaveNoticeDespiteStaleReads gives an engine's notice while the store answers
// reads that may be old from the past: streams are moved in time all the same,
// at a VM that is alone as at one that is told by another.
func TestLeaveNoticeDespiteStaleReads(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				f := env.newFleet(vms)
				defer f.killOthers()
				env.startEngine("e-1", "a")
				last := f.via(f.hosts[vms-1] + ":8000")
				done := last.startStreams(5, 200, 300*time.Millisecond)
				env.startEngine("e-2", "a")
				time.Sleep(time.Second)
				env.store.SetFaults(store.Faults{FrozenBefore: env.store.Version()})
				env.announceLeaving("e-1")
				time.Sleep(1540 * time.Millisecond)
				env.replicas["e-1"].Stop()
				env.checkUninterrupted(done(), 200)
			})
		})
	}
}

// TestMassServerChangeNeedsFewReads changes more servers than one VM may send to the
// others: they read the rest by themselves, and calls stay few.
func TestMassServerChangeNeedsFewReads(t *testing.T) {
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
		exact := reads.Reads - before.Reads - (reads.Cheap - before.Cheap)
		if exact > 5*6 {
			t.Errorf("%d exact reads", exact)
		}
	})
}

// TestFailoverOfVMThatReadsForOthers takes away, in several ways, the VM that the
// others rely on: changes are in force within the bound all the same.
func TestFailoverOfVMThatReadsForOthers(t *testing.T) {
	for name, fall := range map[string]func(*fleet){
		"killed":             func(f *fleet) { f.vm.Kill() },
		"cut from the store": func(f *fleet) { f.network.Cut(vmHost, storeHost); f.network.Cut(storeHost, vmHost) },
		"cut from its peers": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.network.Cut(vmHost, host)
			}
		},
		"stuck connections": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.network.Stick(vmHost, host)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(_ *testing.T, env *testEnv) {
				f := env.newFleet(6)
				defer f.killOthers()
				fall(f)
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
