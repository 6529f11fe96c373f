package faults_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// acceptedOrders returns the number of orders that engines have accepted.
func (env *testEnv) acceptedOrders() int {
	n := 0
	for _, e := range env.Engines {
		n += len(e.Orders())
	}
	return n
}

// changeModel submits a release note that changes the model of the reports
// service, and waits until it is in force on every VM.
func (env *testEnv) changeModel(name string) {
	result := env.VMs[0].Release(env.ctx, wire.ReleaseNote{Id: "model-" + name, Changed: &wire.Objects{
		Services: []wire.Service{{Name: fleet.ServiceReports, Kind: configchain.KindModel, Model: name}},
	}})
	if err := env.AwaitRevision(env.ctx, result.Revision); err != nil {
		env.fatalf("%v", err)
	}
}

// slowModelLoads makes engines check fencing tokens and take 5 s to load a model.
func slowModelLoads(o *fleet.Options) {
	o.Engine = func(e *llm.Options) {
		e.LoadTime = 5 * time.Second
		e.ChecksFencing = true
	}
}

// TestOrdersFollowModelChanges checks the orders that VMs send to engines to load
// models: there are none without a change of configuration, and a model change is
// carried out even after the failure of a VM, and without interrupting a report in
// progress.
func TestOrdersFollowModelChanges(t *testing.T) {
	for _, s := range orderScenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			runTest(t, s.setOptions, s.run)
		})
	}
}

var orderScenarios = []scenario{
	{"noneInSteadyState", slowModelLoads, func(env *testEnv) {
		time.Sleep(10 * time.Minute)
		if n := env.acceptedOrders(); n != 0 {
			env.errorf("engines accepted %d orders in ten minutes without a change", n)
		}
	}},
	{"newModelIsLoaded", slowModelLoads, func(env *testEnv) {
		env.changeModel("report-writer-9b")
		time.Sleep(45 * time.Second)
		if result := env.stream(10, 0); result.err != nil {
			env.errorf("%v", result.err)
		}
		if n := env.acceptedOrders(); n != len(env.Engines) {
			env.errorf("%d orders were accepted by %d engines", n, len(env.Engines))
		}
	}},
	{"orderGiverDies", slowModelLoads, orderGiverDies},
	{"busyEngineIsDrained", slowModelLoads, func(env *testEnv) {
		time.Sleep(20 * time.Second)
		done := make(chan streamResult)
		go func() { done <- env.stream(600, 0, 1) }()
		time.Sleep(time.Second)
		env.changeModel("report-writer-9b")
		if result := <-done; result.err != nil || result.Tokens != 600 {
			env.errorf("the report in progress ended after %d tokens: %v", result.Tokens, result.err)
		}
		time.Sleep(time.Minute)
		if result := env.stream(10, 0); result.err != nil {
			env.errorf("%v", result.err)
		}
	}},
}

// orderGiver returns the index of the VM that holds the lease for the orders of a data
// centre, or -1 when there is none.
func (env *testEnv) orderGiver(dataCentre string) int {
	value, _, _ := env.Store.Read("leases/orders-" + dataCentre)
	var found wire.Lease
	if json.Unmarshal(value, &found) != nil {
		return -1
	}
	return slices.IndexFunc(env.VMs, func(vm *fleet.VM) bool { return vm.Self().Name == found.Holder })
}

// orderGiverDies kills the VM that holds the lease for orders before the model changes.
// The other VM of its data centre must take over and give the orders.
func orderGiverDies(env *testEnv) {
	time.Sleep(20 * time.Second)
	first := env.orderGiver("walsall-a-1")
	if first < 0 {
		env.fatalf("no VM holds the lease for orders")
	}
	env.VMs[first].Kill()
	env.network.Crash(env.VMs[first].Host)
	time.Sleep(time.Second)
	survivors := slices.DeleteFunc([]int{0, 1, 2, 3}, func(vm int) bool { return vm == first })
	release := env.VMs[survivors[0]].Release(env.ctx, wire.ReleaseNote{Id: "m", Changed: &wire.Objects{
		Services: []wire.Service{{Name: fleet.ServiceReports, Kind: configchain.KindModel, Model: "report-writer-9b"}},
	}})
	if release.Status != "accepted" {
		env.fatalf("%v", release)
	}
	time.Sleep(90 * time.Second)
	if second := env.orderGiver("walsall-a-1"); second < 0 || second == first {
		env.errorf("the lease is held by VM %d after VM %d was killed", second, first)
	}
	for _, engine := range env.Engines[:2] {
		if len(engine.Orders()) == 0 {
			env.errorf("%s got no order after the holder of the lease was killed", engine.Backend.Name)
		}
	}
	for _, vm := range survivors {
		if result := env.stream(10, vm); result.err != nil {
			env.errorf("VM %d: %v", vm, result.err)
		}
	}
}
