package faults_test

import (
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
	for _, s := range []scenario{
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
		{"orderGiverDies", slowModelLoads, func(env *testEnv) {
			time.Sleep(20 * time.Second)
			env.VMs[0].Kill()
			env.network.Crash(env.VMs[0].Host)
			time.Sleep(time.Second)
			release := env.VMs[1].Release(env.ctx, wire.ReleaseNote{Id: "m", Changed: &wire.Objects{
				Services: []wire.Service{{Name: fleet.ServiceReports, Kind: configchain.KindModel, Model: "report-writer-9b"}},
			}})
			if release.Status != "accepted" {
				env.fatalf("%v", release)
			}
			time.Sleep(90 * time.Second)
			for _, vm := range []int{1, 2, 3} {
				if result := env.stream(10, vm); result.err != nil {
					env.errorf("VM %d: %v", vm, result.err)
				}
			}
		}},
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
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			runTest(t, s.setOptions, s.run)
		})
	}
}
