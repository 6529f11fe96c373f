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
	*world
	vms   []*ingress.Server
	hosts []string
}

// newFleet adds VMs until there are n.
func (w *world) newFleet(n int) *fleet {
	f := &fleet{world: w, hosts: []string{vmHost}}
	for i := 2; i <= n; i++ {
		host := fmt.Sprintf("10.1.0.%d", i)
		f.vms = append(f.vms, w.newVM(fmt.Sprintf("vm-%d", i), host))
		f.hosts = append(f.hosts, host)
	}
	time.Sleep(12 * time.Second)
	return f
}

func (f *fleet) kill() {
	for _, vm := range f.vms {
		vm.Kill()
	}
}

// statuses asks every VM for a path of the plain service.
func (f *fleet) statuses(path, attempt string) []int {
	var out []int
	for i, host := range f.hosts {
		a := f.at(host+":8000").call(f.t.Context(), http.MethodGet, path, fmt.Sprintf("%s-%d", attempt, i), nil)
		out = append(out, a.status)
	}
	return out
}

func (f *fleet) all(path, attempt string, want int) {
	f.t.Helper()
	for i, got := range f.statuses(path, attempt) {
		if got != want {
			f.t.Errorf("%s at VM %d: status %d, want %d", attempt, i+1, got, want)
		}
	}
}

// churn changes the list of servers for a while.
func (f *fleet) churn(d time.Duration) {
	for i := 0; time.Duration(i)*150*time.Millisecond < d; i++ {
		state := "ready"
		if i%2 == 1 {
			state = "draining"
		}
		f.announce("p-churn", "plain", "10.1.64.99:80", "a", state)
		time.Sleep(150 * time.Millisecond)
	}
}

// TestCallsToTheStoreStayFlat replays the load pattern of the day "store" on
// klepsydra-serwis-grown: servers that come and go, before and after the store
// was away. Twice the VMs make no more calls, but for the list of VMs that each
// reads every ten seconds.
func TestCallsToTheStoreStayFlat(t *testing.T) {
	const span = 10 * time.Second
	calls := func(t *testing.T, vms int, outage bool) int {
		made := 0
		run(t, func(_ *testing.T, w *world) {
			f := w.newFleet(vms)
			defer f.kill()
			if outage {
				w.store.SetFaults(store.Faults{Unresponsive: true})
				time.Sleep(3 * time.Second)
				w.store.SetFaults(store.Faults{})
				time.Sleep(4 * time.Second)
			}
			before := w.store.Counts()
			f.churn(span)
			made = w.store.Counts().Reads - before.Reads
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

// TestEveryVMHearsOfServers starts a server and takes it away again: VMs that
// are told of it use it, and stop, without reading the store themselves.
func TestEveryVMHearsOfServers(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		f := w.newFleet(6)
		defer f.kill()
		f.all("/safe/x", "before", http.StatusServiceUnavailable)
		w.plain("p-1", nil)
		time.Sleep(300 * time.Millisecond)
		f.all("/safe/x", "there", http.StatusOK)
		w.announce("p-1", "plain", w.up["p-1"].Address(), "a", "draining")
		time.Sleep(300 * time.Millisecond)
		f.all("/safe/x", "after", http.StatusServiceUnavailable)
	})
}

// TestEveryVMHearsOfConfigurations changes the configuration, which is not sent
// between VMs: each is told that there is one and reads it.
func TestEveryVMHearsOfConfigurations(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		f := w.newFleet(6)
		defer f.kill()
		w.plain("p-1", nil)
		f.all("/new/x", "before", http.StatusNotFound)
		w.configure(5, added)
		time.Sleep(600 * time.Millisecond)
		f.all("/new/x", "after", http.StatusOK)
	})
}

// TestOldReadsAreNotBelieved freezes the reads that may be old: a VM that is
// told of a change, reads it and sees none has it in force within the bound.
func TestOldReadsAreNotBelieved(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		f := w.newFleet(3)
		defer f.kill()
		w.plain("p-1", nil)
		w.store.SetFaults(store.Faults{SerializableStaleVersion: w.store.Version()})
		w.configure(9, added)
		time.Sleep(3 * time.Second)
		f.all("/new/x", "after", http.StatusOK)
	})
}

// TestNoticeBehindOldReads gives an engine's notice while the store answers
// reads that may be old from the past: streams are moved in time all the same,
// at a VM that is alone as at one that is told by another.
func TestNoticeBehindOldReads(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			run(t, func(_ *testing.T, w *world) {
				f := w.newFleet(vms)
				defer f.kill()
				w.engine("e-1", "a")
				last := f.at(f.hosts[vms-1] + ":8000")
				done := last.reports(5, 200, 300*time.Millisecond)
				w.engine("e-2", "a")
				time.Sleep(time.Second)
				w.store.SetFaults(store.Faults{SerializableStaleVersion: w.store.Version()})
				w.leave("e-1")
				time.Sleep(1540 * time.Millisecond)
				w.up["e-1"].Stop()
				w.smooth(done(), 200)
			})
		})
	}
}

// TestManyServersChangeAtOnce changes more servers than one VM may send to the
// others: they read the rest by themselves, and calls stay few.
func TestManyServersChangeAtOnce(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		f := w.newFleet(6)
		defer f.kill()
		before := w.store.Counts()
		for i := range 900 {
			w.announce(fmt.Sprintf("p-%03d", i), "plain", fmt.Sprintf("10.2.%d.%d:80", i/200, i%200), "a", "draining")
			if i%10 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		w.plain("p-1", nil)
		time.Sleep(time.Second)
		f.all("/safe/x", "after", http.StatusOK)
		reads := w.store.Counts()
		exact := reads.Reads - before.Reads - (reads.Serializable - before.Serializable)
		if exact > 5*6 {
			t.Errorf("%d exact reads", exact)
		}
	})
}

// TestTheVMThatReadsForOthersFalls takes away, in several ways, the VM that the
// others rely on: changes are in force within the bound all the same.
func TestTheVMThatReadsForOthersFalls(t *testing.T) {
	for name, fall := range map[string]func(*fleet){
		"killed":             func(f *fleet) { f.vm.Kill() },
		"cut from the store": func(f *fleet) { f.net.Cut(vmHost, storeHost); f.net.Cut(storeHost, vmHost) },
		"cut from its peers": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.net.Cut(vmHost, host)
			}
		},
		"stuck connections": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.net.Stall(vmHost, host)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(_ *testing.T, w *world) {
				f := w.newFleet(6)
				defer f.kill()
				fall(f)
				defer w.net.HealAll()
				w.configure(9, added)
				w.plain("p-1", nil)
				time.Sleep(3 * time.Second)
				f.hosts = f.hosts[1:]
				f.all("/new/x", "after", http.StatusOK)
			})
		})
	}
}
