package gateway_test

import (
	"testing"
	"time"
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
