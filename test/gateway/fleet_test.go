package gateway_test

import (
	"testing"
	"time"
)

// TestVMsPlaceByEachOthersLedgers lets two VMs place one report each on two
// engines that are alike.
func TestVMsPlaceByEachOthersLedgers(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		other := w.newVM("vm-2", "10.1.0.2")
		defer other.Kill()
		w.engine("e-1", "a")
		w.engine("e-2", "a")
		time.Sleep(3 * time.Second)
		first := w.reports(1, 100, 500*time.Millisecond)
		second := w.at("10.1.0.2:8000").report(w.t.Context(), "second", 20)
		w.whole(second, 20)
		w.whole(first()[0], 100)
		if a, b := w.grid.Runs("s0")[0].Replica, w.grid.Runs("second")[0].Replica; a == b {
			t.Errorf("both reports ran on %s", a)
		}
	})
}

// TestLostLinksCostNoPromise cuts two VMs off from each other: both go on.
func TestLostLinksCostNoPromise(t *testing.T) {
	run(t, func(_ *testing.T, w *world) {
		other := w.newVM("vm-2", "10.1.0.2")
		defer other.Kill()
		w.engine("e-1", "a")
		time.Sleep(3 * time.Second)
		w.net.Cut(vmHost, "10.1.0.2")
		w.net.Cut("10.1.0.2", vmHost)
		time.Sleep(5 * time.Second)
		w.whole(w.report(w.t.Context(), "s0", 20), 20)
		w.whole(w.at("10.1.0.2:8000").report(w.t.Context(), "s1", 20), 20)
	})
}
