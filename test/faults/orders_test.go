package faults_test

import (
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/standin/fleet"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// acceptedOrders counts the orders that engines accepted.
func (env *testEnv) acceptedOrders() int {
	n := 0
	for _, e := range env.Engines {
		n += len(e.Orders())
	}
	return n
}

// changeModel gives the report service another model by a release note.
func (env *testEnv) changeModel(name string) {
	result := env.VMs[0].Release(env.ctx, wire.ReleaseNote{Id: "model-" + name, Changed: &wire.Objects{
		Services: []wire.Service{{Name: fleet.ServiceReports, Kind: chain.KindModel, Model: name}},
	}})
	if err := env.AwaitRevision(env.ctx, result.Revision); err != nil {
		env.fatalf("%v", err)
	}
}

func slowModelLoads(o *fleet.Options) {
	o.Engine = func(e *llm.Options) {
		e.LoadTime = 5 * time.Second
		e.ChecksFencing = true
	}
}

func TestOrders(t *testing.T) {
	for _, s := range []scenario{
		{"noneInSteadyState", slowModelLoads, func(env *testEnv) {
			time.Sleep(10 * time.Minute)
			if n := env.acceptedOrders(); n != 0 {
				env.errorf("%d orders in ten quiet minutes", n)
			}
		}},
		{"newModelIsLoaded", slowModelLoads, func(env *testEnv) {
			env.changeModel("report-writer-9b")
			time.Sleep(45 * time.Second)
			if a := env.stream(10, 0); a.err != nil {
				env.errorf("%v", a.err)
			}
			if n := env.acceptedOrders(); n != len(env.Engines) {
				env.errorf("%d orders for %d engines", n, len(env.Engines))
			}
		}},
		{"orderGiverDies", slowModelLoads, func(env *testEnv) {
			time.Sleep(20 * time.Second)
			env.VMs[0].Kill()
			env.network.Crash(env.VMs[0].Host)
			time.Sleep(time.Second)
			r := env.VMs[1].Release(env.ctx, wire.ReleaseNote{Id: "m", Changed: &wire.Objects{
				Services: []wire.Service{{Name: fleet.ServiceReports, Kind: chain.KindModel, Model: "report-writer-9b"}},
			}})
			if r.Status != "accepted" {
				env.fatalf("%v", r)
			}
			time.Sleep(90 * time.Second)
			for _, v := range []int{1, 2, 3} {
				if a := env.stream(10, v); a.err != nil {
					env.errorf("VM %d: %v", v, a.err)
				}
			}
		}},
		{"busyEngineIsDrained", slowModelLoads, func(env *testEnv) {
			time.Sleep(20 * time.Second)
			done := make(chan streamResult)
			go func() { done <- env.stream(600, 0, 1) }()
			time.Sleep(time.Second)
			env.changeModel("report-writer-9b")
			if a := <-done; a.err != nil || a.Tokens != 600 {
				env.errorf("the running report got %d tokens: %v", a.Tokens, a.err)
			}
			time.Sleep(time.Minute)
			if a := env.stream(10, 0); a.err != nil {
				env.errorf("%v", a.err)
			}
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			runTest(t, s.setOptions, s.run)
		})
	}
}
