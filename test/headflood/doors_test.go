package headflood_test

import "testing"

// internalDoors are the crowds at the listeners that are not for callers.
var internalDoors = []struct {
	name string
	plan crowdPlan
}{
	{"ready", crowdPlan{addr: ready, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"peers", crowdPlan{addr: peers, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"metrics", crowdPlan{addr: metricsAddr, size: crowdSize, rounds: crowdRounds, write: heldHead}},
	{"readySent", crowdPlan{addr: ready, size: crowdSize, rounds: crowdRounds, write: wholeHead}},
}

// TestCrowdsAtInternalListeners guards against clients at the listeners for readiness checks, other
// VMs and metrics that take a process beyond the memory or the descriptors of its machine.
func TestCrowdsAtInternalListeners(t *testing.T) {
	program := build(t)
	for _, door := range internalDoors {
		t.Run(door.name, func(t *testing.T) {
			v := startVM(t, program, maxDescriptors)
			crowd := door.plan.run()
			checkServes(t, door.name)
			crowd.end()
			v.checkAndKill(machine)
		})
	}
}
