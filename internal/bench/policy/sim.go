// Package policy measures admission and placement policies. It runs the real decision
// core of each entry VM against simulated engines on a virtual clock, without a
// network: messages and actions of the cores are exchanged directly.
package policy

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/bench/simclock"
	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	tickInterval     = 10 * time.Millisecond
	reportInterval   = 50 * time.Millisecond
	pollInterval     = 250 * time.Millisecond
	reportLag        = 300 * time.Millisecond
	sameRegionDelay  = 300 * time.Microsecond
	crossRegionDelay = 20 * time.Millisecond
	maxReports       = 64
	serviceName      = "report-writer"
	modelName        = "report-writer-8b"
	maxTokens        = 32768
	maxAttempts      = 4
	// queueTimeout is the longest wait for an engine, so long that no request is
	// refused because of it.
	queueTimeout = time.Hour
	warmUp       = 5 * time.Second
)

// simVM is an entry VM, represented by its decision core.
type simVM struct {
	self   wire.VM
	core   *control.Core
	failed bool
}

// simEngine is a simulated engine with its recent load reports.
type simEngine struct {
	backend   wire.Backend
	model     *enginesim.Engine
	stepping  bool
	reclaimed bool
	reports   []wire.LoadReport // oldest first
	sequence  int
}

// simRequest is a request and its progress.
type simRequest struct {
	workload.Request
	id          string
	vm          *simVM
	engine      *simEngine
	attempt     int
	accepted    time.Time
	lastTokenAt time.Time // time of the last token, or of acceptance before the first
	tokens      int
	stall       time.Duration
	class       string
	excluded    []string
	ended       bool
}

// sim is the simulation of one policy.
type sim struct {
	opts     Options
	clock    *simclock.Clock
	begin    time.Time
	vms      []*simVM
	engines  []*simEngine
	requests map[string]*simRequest
	arrivals []*simRequest // all requests so far, in the order of arrival
	metrics  *metrics
	reserves bool // the policy admits by reservation
}

func newSim(opts Options, name string) (*sim, error) {
	factory, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("policy %q is not one of %v", name, Policies())
	}
	start := time.Unix(1_700_000_000, 0)
	s := &sim{
		opts: opts, clock: simclock.New(start), begin: start.Add(warmUp), requests: map[string]*simRequest{},
		metrics: newMetrics(), reserves: factory.make().Reserves(),
	}
	layout := layouts[opts.Deployment]
	s.addEngines(layout)
	s.addVMs(layout, factory)
	s.configure(layout)
	return s, nil
}

func (s *sim) after(d time.Duration, run func()) { s.clock.After(d, run) }

func (s *sim) now() time.Time { return s.clock.Now() }

func (s *sim) addEngines(deployment layout) {
	for _, region := range deployment.regions {
		for range region.engines {
			engine := &simEngine{model: enginesim.New(deployment.engine)}
			engine.backend = wire.Backend{
				Name: fmt.Sprintf("engine-%02d", len(s.engines)), Service: serviceName, Kind: "engine",
				Region: region.name, DataCentre: region.name + "-1", State: "live",
			}
			s.engines = append(s.engines, engine)
			s.takeReport(engine)
		}
	}
}

func (s *sim) addVMs(deployment layout, factory policyFactory) {
	for _, region := range deployment.regions {
		for i := range region.vms {
			vm := &simVM{self: wire.VM{Name: fmt.Sprintf("%s-entry-%d", region.name, i+1), Region: region.name, DataCentre: region.name + "-1"}}
			opts := control.Options{
				Self: vm.self, Incarnation: 1, Policy: factory.make(), Confidence: control.ConfidenceFor(deployment.minimizePreemptions),
				RetryPercent: 100, QueueLength: 1 << 30, ProbeInterval: 500 * time.Millisecond,
				Suspicion: 2 * time.Second, Seed: s.opts.Seed + uint64(len(s.vms)),
			}
			if s.opts.Confidence != 0 {
				opts.Confidence = admit.Confidence(s.opts.Confidence)
			}
			if factory.oracle {
				opts.Oracle = s.trueLength
			}
			vm.core = control.New(opts)
			s.vms = append(s.vms, vm)
		}
	}
}

// exactLength is the length distribution of the oracle policy: the actual output
// length.
type exactLength int

// ContinueProbability returns 1 if the output has at least generated+more tokens, otherwise 0.
func (n exactLength) ContinueProbability(generated, more int) float64 {
	// The estimate of the generated tokens may be ahead of the engine.
	generated = min(generated, int(n)-1)
	if generated+more <= int(n) {
		return 1
	}
	return 0
}

func (s *sim) trueLength(id string) admit.LengthModel { return exactLength(s.requests[id].Output) }

// configure passes the configuration and the platform's lists to every core and starts
// their ticks.
func (s *sim) configure(deployment layout) {
	note := wire.ReleaseNote{Id: "bench", Added: &wire.Objects{
		Services: []wire.Service{{Name: serviceName, Kind: configchain.KindModel, Model: modelName}},
	}}
	for _, workspace := range s.opts.Workload.Workspaces {
		note.Added.Workspaces = append(note.Added.Workspaces, wire.Workspace{Name: workspace.Name, Services: []string{serviceName}})
	}
	for _, from := range deployment.regions {
		for _, to := range deployment.regions {
			if from.name != to.name {
				note.Added.Routes = append(note.Added.Routes, wire.Route{
					Name: from.name + "-to-" + to.name, Service: serviceName, From: from.name, To: to.name, WaitPriceMs: deployment.waitPriceMs,
				})
			}
		}
	}
	list := control.PlatformListed{Version: 1}
	for _, engine := range s.engines {
		list.Backends = append(list.Backends, engine.backend)
	}
	for _, vm := range s.vms {
		list.VMs = append(list.VMs, vm.self)
	}
	revision := configchain.Empty().Next(note, 0)
	for i, vm := range s.vms {
		s.step(vm, control.RevisionsRead{Revisions: []wire.Revision{revision}})
		s.step(vm, list)
		s.clock.At(s.now().Add(time.Duration(i)*time.Millisecond), func() { s.tick(vm) })
	}
	if !s.reserves {
		s.pollBaselines()
	}
}

func (s *sim) tick(vm *simVM) {
	if vm.failed {
		return
	}
	s.step(vm, control.Tick{})
	s.after(tickInterval, func() { s.tick(vm) })
}

// pollBaselines passes the load reports of a region's engines to every VM of the
// region. Under the baseline policies each VM reads the reports itself, as a load
// balancer would, with the same lag as under the other policies.
func (s *sim) pollBaselines() {
	for _, vm := range s.vms {
		for _, engine := range s.engines {
			if engine.backend.Region == vm.self.Region {
				s.step(vm, control.LoadReported{Engine: engine.backend.Name, Reachable: !engine.reclaimed, Report: s.laggedReport(engine)})
			}
		}
	}
	s.after(pollInterval, s.pollBaselines)
}

func regionDelay(a, b string) time.Duration {
	if a == b {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// step passes a message to a core and executes the actions that it returns. The
// actions are copied, as one of them may lead to another step of the same core.
func (s *sim) step(vm *simVM, message control.Message) {
	if vm.failed {
		return
	}
	for _, action := range append([]control.Action(nil), vm.core.Step(s.now(), message)...) {
		switch action := action.(type) {
		case control.Send:
			s.send(vm, action)
		case control.PollEngine:
			s.poll(vm, action.Engine.Name)
		case control.Placed:
			s.handlePlaced(vm, action)
		case control.Refused:
			s.handleRefused(action)
		}
	}
}

func (s *sim) send(vm *simVM, action control.Send) {
	for _, to := range s.vms {
		if to.self.Name == action.To.Name {
			s.after(regionDelay(vm.self.Region, to.self.Region), func() {
				s.step(to, control.FrameReceived{From: vm.self, Frame: action.Frame})
			})
			return
		}
	}
}

func (s *sim) engine(name string) *simEngine {
	for _, engine := range s.engines {
		if engine.backend.Name == name {
			return engine
		}
	}
	return nil
}

func (s *sim) poll(vm *simVM, name string) {
	engine := s.engine(name)
	s.after(sameRegionDelay, func() {
		s.step(vm, control.LoadReported{Engine: name, Reachable: !engine.reclaimed, Report: s.laggedReport(engine)})
	})
}

// takeReport records a load report of an engine, at most one per reportInterval.
func (s *sim) takeReport(engine *simEngine) {
	ms := int(s.now().UnixMilli())
	if n := len(engine.reports); n > 0 && ms-engine.reports[n-1].MeasuredUnixMs < int(reportInterval.Milliseconds()) {
		return
	}
	engine.sequence++
	hardware := engine.model.Options()
	engine.reports = append(engine.reports, wire.LoadReport{
		Engine: engine.backend.Name, Sequence: engine.sequence, MeasuredUnixMs: ms, Models: []string{modelName},
		CapacityBlocks: hardware.CapacityBlocks, UsedBlocks: engine.model.UsedBlocks(), BlockTokens: hardware.BlockTokens, Slots: hardware.Slots,
		Running: engine.model.Running(), Waiting: engine.model.Waiting(), Preemptions: engine.model.Preemptions(),
		StepMicros: int(engine.model.LastStep().Microseconds()), Leaving: engine.reclaimed,
	})
	if len(engine.reports) > maxReports {
		engine.reports = engine.reports[1:]
	}
}

// laggedReport returns the latest report that is at least reportLag old, or the oldest
// one.
func (s *sim) laggedReport(engine *simEngine) wire.LoadReport {
	if !engine.stepping {
		s.takeReport(engine)
	}
	limit := int(s.now().Add(-reportLag).UnixMilli())
	for i := len(engine.reports) - 1; i > 0; i-- {
		if engine.reports[i].MeasuredUnixMs <= limit {
			return engine.reports[i]
		}
	}
	return engine.reports[0]
}

// arrive starts a request at its VM.
func (s *sim) arrive(request *simRequest) {
	request.accepted, request.lastTokenAt = s.now(), s.now()
	s.requests[request.id] = request
	s.arrivals = append(s.arrivals, request)
	s.place(request, false)
}

func (s *sim) place(request *simRequest, retry bool) {
	request.attempt++
	workspace := s.opts.Workload.Workspaces[request.Workspace]
	s.step(request.vm, control.Place{
		ID: request.id, Workspace: workspace.Name, Service: serviceName, Class: request.class, PromptTokens: request.Prompt,
		MaxTokens: maxTokens, Excluded: request.excluded, Retry: retry, Deadline: s.now().Add(queueTimeout),
	})
}

func (s *sim) handlePlaced(vm *simVM, action control.Placed) {
	request, engine := s.requests[action.ID], s.engine(action.Backend.Name)
	request.engine = engine
	s.after(regionDelay(vm.self.Region, engine.backend.Region), func() { s.submit(request, engine) })
}

func (s *sim) submit(request *simRequest, engine *simEngine) {
	if engine.reclaimed {
		s.handleEngineLoss(request)
		return
	}
	priority := 1
	if request.class == control.ClassBatch {
		priority = 0
	}
	prefixTokens := min(request.Prompt, s.opts.Workload.Workspaces[request.Workspace].PrefixTokens)
	engine.model.Submit(enginesim.Sequence{
		ID: request.id, Prompt: request.Prompt, Output: request.Output, Priority: priority, Prefix: request.Prefix, PrefixTokens: prefixTokens,
	})
	if !engine.stepping {
		engine.stepping = true
		s.stepEngine(engine)
	}
}

// stepEngine runs steps of an engine until it is idle or reclaimed.
func (s *sim) stepEngine(engine *simEngine) {
	if engine.model.Idle() || engine.reclaimed {
		engine.stepping = false
		return
	}
	stepTime, stepEvents := engine.model.Step()
	events := append([]enginesim.Event(nil), stepEvents...)
	s.after(stepTime, func() {
		if engine.reclaimed {
			engine.stepping = false
			return
		}
		for _, event := range events {
			s.handleEvent(engine, event)
		}
		s.takeReport(engine)
		s.stepEngine(engine)
	})
}

func (s *sim) handleEvent(engine *simEngine, event enginesim.Event) {
	switch event.Kind {
	case enginesim.Token:
		s.recordToken(engine, s.requests[event.ID])
	case enginesim.Finished:
		request := s.requests[event.ID]
		request.ended = true
		s.metrics.recordFinished(request)
		s.step(request.vm, control.AttemptEnded{ID: request.id, Tokens: request.tokens, Outcome: outcome.Done(request.tokens), Last: true})
	case enginesim.Preempted:
		s.metrics.preemptions++
	}
}

func (s *sim) recordToken(engine *simEngine, request *simRequest) {
	s.metrics.recordToken(request, s.now())
	if engine.backend.Region != request.vm.self.Region {
		s.metrics.crossRegionBytes += eventBytes
	}
}

// handleEngineLoss ends an attempt whose engine was reclaimed. The request is retried
// on another engine if no token was delivered and attempts are left; otherwise it is
// interrupted.
func (s *sim) handleEngineLoss(request *simRequest) {
	retry := request.tokens == 0 && request.attempt < maxAttempts
	s.step(request.vm, control.AttemptEnded{
		ID: request.id, Tokens: request.tokens, Last: !retry,
		Outcome: outcome.Result{Kind: outcome.Interrupted, Cause: outcome.EngineReclaimed},
	})
	if retry {
		request.excluded = append(request.excluded, request.engine.backend.Name)
		s.place(request, true)
		return
	}
	request.ended = true
	s.metrics.interrupted++
}

func (s *sim) handleRefused(action control.Refused) {
	s.requests[action.ID].ended = true
	s.metrics.refused++
}

func (s *sim) reclaim(engine *simEngine) {
	engine.reclaimed = true
	for _, request := range s.arrivals {
		if !request.ended && request.engine == engine {
			s.handleEngineLoss(request)
		}
	}
}

// runWorkload runs the workload to its end and returns the measurements.
func (s *sim) runWorkload(progress func(done float64)) Result {
	end := s.begin.Add(s.opts.Length)
	for i, drawn := range s.opts.Workload.Draw(s.opts.Seed, s.opts.Length, s.opts.requestRate()) {
		request := &simRequest{Request: drawn, id: fmt.Sprintf("r%06d", i), class: control.ClassInteractive}
		workspace := s.opts.Workload.Workspaces[drawn.Workspace]
		if workspace.Batch {
			request.class = control.ClassBatch
		}
		request.vm = s.selectVM(workspace.Region, drawn.Draw)
		s.clock.At(s.begin.Add(drawn.At), func() { s.arrive(request) })
	}
	for _, fault := range s.opts.Workload.Faults {
		if fault.Engine < len(s.engines) {
			engine := s.engines[fault.Engine]
			s.clock.At(s.begin.Add(time.Duration(fault.AtMinute*float64(time.Minute))), func() { s.reclaim(engine) })
		}
	}
	for _, change := range s.opts.vmChanges {
		s.clock.At(s.begin.Add(change.at), func() { change.run(s) })
	}
	nextProgress := s.now()
	for s.clock.Step(end) {
		if s.now().After(nextProgress) && progress != nil {
			progress(float64(s.now().Sub(s.begin)) / float64(s.opts.Length))
			nextProgress = s.now().Add(s.opts.Length / 20)
		}
	}
	for _, request := range s.arrivals {
		if !request.ended {
			s.metrics.recordUnfinished(request, end)
		}
	}
	return s.metrics.result(s)
}

// selectVM selects a VM of a region, as a load balancer does; draw is a random number.
func (s *sim) selectVM(region string, draw uint64) *simVM {
	var candidates []*simVM
	for _, vm := range s.vms {
		if region == "" || vm.self.Region == region {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		candidates = s.vms
	}
	return candidates[draw%uint64(len(candidates))]
}
