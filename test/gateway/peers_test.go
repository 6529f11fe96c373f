package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPlacementUsesPeerLedgers places one stream at each of two VMs on two idle engines.
// They must run on different engines, as each VM receives the other's ledger.
func TestPlacementUsesPeerLedgers(t *testing.T) {
	runTest(t, func(t *testing.T, env *testEnv) {
		other := env.newVM("vm-2", "10.1.0.2")
		defer other.Kill()
		env.startEngine("e-1", "a")
		env.startEngine("e-2", "a")
		time.Sleep(3 * time.Second)
		first := env.startStreams(1, 100, 500*time.Millisecond)
		second := env.via("10.1.0.2:8000").stream(env.t.Context(), "second", 20)
		env.requireComplete(second, 20)
		env.requireComplete(first()[0], 100)
		if one, two := env.upstreams.Runs("s0")[0].Replica, env.upstreams.Runs("second")[0].Replica; one == two {
			t.Errorf("both streams ran on %s", one)
		}
	})
}

// TestPartitionedVMsKeepServing cuts the links between two VMs. Both must keep serving.
func TestPartitionedVMsKeepServing(t *testing.T) {
	runTest(t, func(_ *testing.T, env *testEnv) {
		other := env.newVM("vm-2", "10.1.0.2")
		defer other.Kill()
		env.startEngine("e-1", "a")
		time.Sleep(3 * time.Second)
		env.network.Cut(vmHost, "10.1.0.2")
		env.network.Cut("10.1.0.2", vmHost)
		time.Sleep(5 * time.Second)
		env.requireComplete(env.stream(env.t.Context(), "s0", 20), 20)
		env.requireComplete(env.via("10.1.0.2:8000").stream(env.t.Context(), "s1", 20), 20)
	})
}

// TestAnotherVMGathersAfterAFailure kills the gatherer of a data centre, or stalls its
// links so that it falls silent. The other VMs must still spread their streams: eight
// streams placed at two VMs in turn must run on two engines in equal numbers.
func TestAnotherVMGathersAfterAFailure(t *testing.T) {
	for name, fail := range map[string]func(*fleet){
		"none":   func(*fleet) {},
		"killed": func(f *fleet) { f.vm.Kill() },
		"silent": func(f *fleet) {
			for _, host := range f.hosts[1:] {
				f.network.Cut(vmHost, host)
				f.network.Cut(host, vmHost)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, func(t *testing.T, env *testEnv) {
				f := env.newFleet(3)
				defer f.killOthers()
				env.startEngine("e-1", "a")
				env.startEngine("e-2", "a")
				fail(f)
				defer env.network.HealAll()
				time.Sleep(3 * time.Second)
				var wg sync.WaitGroup
				for i := range 8 {
					via := env.via(f.hosts[1+i%2] + ":8000")
					wg.Go(func() { via.requireComplete(via.stream(t.Context(), fmt.Sprintf("s%d", i), 100), 100) })
					time.Sleep(250 * time.Millisecond)
				}
				wg.Wait()
				count := map[string]int{}
				for i := range 8 {
					count[env.upstreams.Runs(fmt.Sprintf("s%d", i))[0].Replica]++
				}
				if diff := cmp.Diff(map[string]int{"e-1": 4, "e-2": 4}, count); diff != "" {
					t.Errorf("streams by engine (-want +got):\n%s", diff)
				}
			})
		})
	}
}
