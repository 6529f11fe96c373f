// Package policy measures admission and placement policies. It drives the real
// decision core of each entry VM against models of engines on a virtual clock,
// with fakes at the core's own interface and no network.
package policy

import (
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/bench/vclock"
	"github.com/pimentohinge/pimentohinge/internal/bench/workload"
	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/standin/model"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	tickInterval   = 10 * time.Millisecond
	reportInterval = 50 * time.Millisecond
	pollInterval   = 250 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	nearDelay      = 300 * time.Microsecond
	farDelay       = 20 * time.Millisecond
	keptReports    = 64
	serviceName    = "report-writer"
	modelName      = "report-writer-8b"
	maxTokens      = 32768
	maxAttempts    = 4
	// patience is how long a request waits for an engine; nothing is refused for its sake.
	patience = time.Hour
	warmUp   = 5 * time.Second
)

type simVM struct {
	self wire.VM
	core *control.Core
	dead bool
}

type simEngine struct {
	backend   wire.Backend
	model     *model.Engine
	stepping  bool
	reclaimed bool
	reports   []wire.LoadReport // oldest first
	sequence  int
}

type simRequest struct {
	workload.Request
	id       string
	vm       *simVM
	engine   *simEngine
	attempt  int
	accepted time.Time
	last     time.Time // of the newest token, or of the acceptance
	tokens   int
	stall    time.Duration
	class    string
	excluded []string
	ended    bool
}

// sim is one run of one policy.
type sim struct {
	opts     Options
	clock    *vclock.Clock
	begin    time.Time
	vms      []*simVM
	engines  []*simEngine
	requests map[string]*simRequest
	order    []*simRequest
	metrics  *metrics
	reserves bool
}

func newSim(o Options, name string) (*sim, error) {
	p, ok := policies[name]
	if !ok {
		return nil, fmt.Errorf("policy %q is not one of %v", name, Policies())
	}
	start := time.Unix(1_700_000_000, 0)
	s := &sim{
		opts: o, clock: vclock.New(start), begin: start.Add(warmUp), requests: map[string]*simRequest{},
		metrics: newMetrics(), reserves: p.make().Reserves(),
	}
	layout := layouts[o.Deployment]
	s.addEngines(layout)
	s.addVMs(layout, p)
	s.configure(layout)
	return s, nil
}

func (s *sim) after(d time.Duration, run func()) { s.clock.After(d, run) }

func (s *sim) now() time.Time { return s.clock.Now() }

func (s *sim) addEngines(l layout) {
	for _, r := range l.regions {
		for range r.engines {
			e := &simEngine{model: model.New(l.engine)}
			e.backend = wire.Backend{
				Name: fmt.Sprintf("engine-%02d", len(s.engines)), Service: serviceName, Kind: "engine",
				Region: r.name, DataCentre: r.name + "-1", State: "live",
			}
			s.engines = append(s.engines, e)
			s.report(e)
		}
	}
}

func (s *sim) addVMs(l layout, p policyMaker) {
	for _, r := range l.regions {
		for i := range r.vms {
			v := &simVM{self: wire.VM{Name: fmt.Sprintf("%s-entry-%d", r.name, i+1), Region: r.name, DataCentre: r.name + "-1"}}
			o := control.Options{
				Self: v.self, Incarnation: 1, Policy: p.make(), Confidence: control.ConfidenceFor(l.preemptions),
				RetryPercent: 100, QueueLength: 1 << 30, ProbeInterval: 500 * time.Millisecond,
				Suspicion: 2 * time.Second, Seed: s.opts.Seed + uint64(len(s.vms)),
			}
			if s.opts.Confidence != 0 {
				o.Confidence = admit.Confidence(s.opts.Confidence)
			}
			if p.oracle {
				o.Oracle = s.trueLength
			}
			v.core = control.New(o)
			s.vms = append(s.vms, v)
		}
	}
}

// exactLength is the knowledge of an oracle.
type exactLength int

// ContinueProbability is 1 until the true length is reached.
func (n exactLength) ContinueProbability(generated, more int) float64 {
	// The estimate of the generated tokens may run ahead of the engine.
	generated = min(generated, int(n)-1)
	if generated+more <= int(n) {
		return 1
	}
	return 0
}

func (s *sim) trueLength(id string) admit.LengthModel { return exactLength(s.requests[id].Output) }

// configure hands every core the configuration and the platform's lists.
func (s *sim) configure(l layout) {
	note := wire.ReleaseNote{Id: "bench", Added: &wire.Objects{
		Services: []wire.Service{{Name: serviceName, Kind: chain.KindModel, Model: modelName}},
	}}
	for _, w := range s.opts.Workload.Workspaces {
		note.Added.Workspaces = append(note.Added.Workspaces, wire.Workspace{Name: w.Name, Services: []string{serviceName}})
	}
	for _, a := range l.regions {
		for _, b := range l.regions {
			if a.name != b.name {
				note.Added.Routes = append(note.Added.Routes, wire.Route{
					Name: a.name + "-to-" + b.name, Service: serviceName, From: a.name, To: b.name, WaitPriceMs: l.waitPriceMs,
				})
			}
		}
	}
	list := control.PlatformListed{Version: 1}
	for _, e := range s.engines {
		list.Backends = append(list.Backends, e.backend)
	}
	for _, v := range s.vms {
		list.VMs = append(list.VMs, v.self)
	}
	rev := chain.Empty().Next(note, 0)
	for i, v := range s.vms {
		s.step(v, control.RevisionsRead{Revisions: []wire.Revision{rev}})
		s.step(v, list)
		s.clock.At(s.now().Add(time.Duration(i)*time.Millisecond), func() { s.tick(v) })
	}
	if !s.reserves {
		s.feedReports()
	}
}

func (s *sim) tick(v *simVM) {
	if v.dead {
		return
	}
	s.step(v, control.Tick{})
	s.after(tickInterval, func() { s.tick(v) })
}

// feedReports gives the baselines what a balancer would read itself: the report
// of each engine of the region, as old as for everyone.
func (s *sim) feedReports() {
	for _, v := range s.vms {
		for _, e := range s.engines {
			if e.backend.Region == v.self.Region {
				s.step(v, control.LoadReported{Engine: e.backend.Name, Answered: !e.reclaimed, Report: s.lagged(e)})
			}
		}
	}
	s.after(pollInterval, s.feedReports)
}

func delay(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return farDelay
}

// step hands a message to a core and carries out its actions. The actions are
// copied, as one of them may lead to another step of the same core.
func (s *sim) step(v *simVM, m control.Message) {
	if v.dead {
		return
	}
	for _, a := range append([]control.Action(nil), v.core.Step(s.now(), m)...) {
		switch a := a.(type) {
		case control.Send:
			s.send(v, a)
		case control.PollEngine:
			s.poll(v, a.Engine.Name)
		case control.Placed:
			s.placed(v, a)
		case control.Refused:
			s.refused(a)
		}
	}
}

func (s *sim) send(v *simVM, a control.Send) {
	for _, to := range s.vms {
		if to.self.Name == a.To.Name {
			s.after(delay(v.self.Region, to.self.Region), func() {
				s.step(to, control.FrameReceived{From: v.self, Frame: a.Frame})
			})
			return
		}
	}
}

func (s *sim) engine(name string) *simEngine {
	for _, e := range s.engines {
		if e.backend.Name == name {
			return e
		}
	}
	return nil
}

func (s *sim) poll(v *simVM, name string) {
	e := s.engine(name)
	s.after(nearDelay, func() {
		s.step(v, control.LoadReported{Engine: name, Answered: !e.reclaimed, Report: s.lagged(e)})
	})
}

// report takes a load report now, at most one for each interval.
func (s *sim) report(e *simEngine) {
	ms := int(s.now().UnixMilli())
	if n := len(e.reports); n > 0 && ms-e.reports[n-1].MeasuredUnixMs < int(reportInterval.Milliseconds()) {
		return
	}
	e.sequence++
	o := e.model.Options()
	e.reports = append(e.reports, wire.LoadReport{
		Engine: e.backend.Name, Sequence: e.sequence, MeasuredUnixMs: ms, Models: []string{modelName},
		CapacityBlocks: o.CapacityBlocks, UsedBlocks: e.model.Used(), BlockTokens: o.BlockTokens, Slots: o.Slots,
		Running: e.model.Running(), Waiting: e.model.Waiting(), Preemptions: e.model.Preemptions(),
		StepMicros: int(e.model.LastStep().Microseconds()), Leaving: e.reclaimed,
	})
	if len(e.reports) > keptReports {
		e.reports = e.reports[1:]
	}
}

// lagged returns the newest report that is old enough to be out.
func (s *sim) lagged(e *simEngine) wire.LoadReport {
	if !e.stepping {
		s.report(e)
	}
	limit := int(s.now().Add(-reportLag).UnixMilli())
	for i := len(e.reports) - 1; i > 0; i-- {
		if e.reports[i].MeasuredUnixMs <= limit {
			return e.reports[i]
		}
	}
	return e.reports[0]
}

// arrive begins a request at a VM of its region.
func (s *sim) arrive(r *simRequest) {
	r.accepted, r.last = s.now(), s.now()
	s.requests[r.id] = r
	s.order = append(s.order, r)
	s.place(r, false)
}

func (s *sim) place(r *simRequest, retry bool) {
	r.attempt++
	w := s.opts.Workload.Workspaces[r.Workspace]
	s.step(r.vm, control.Place{
		ID: r.id, Workspace: w.Name, Service: serviceName, Class: r.class, PromptTokens: r.Prompt,
		MaxTokens: maxTokens, Excluded: r.excluded, Retry: retry, Deadline: s.now().Add(patience),
	})
}

func (s *sim) placed(v *simVM, a control.Placed) {
	r, e := s.requests[a.ID], s.engine(a.Backend.Name)
	r.engine = e
	s.after(delay(v.self.Region, e.backend.Region), func() { s.submit(r, e) })
}

func (s *sim) submit(r *simRequest, e *simEngine) {
	if e.reclaimed {
		s.lost(r)
		return
	}
	priority := 1
	if r.class == control.ClassBatch {
		priority = 0
	}
	prefixTokens := min(r.Prompt, s.opts.Workload.Workspaces[r.Workspace].PrefixTokens)
	e.model.Submit(model.Sequence{
		ID: r.id, Prompt: r.Prompt, Output: r.Output, Priority: priority, Prefix: r.Prefix, PrefixTokens: prefixTokens,
	})
	if !e.stepping {
		e.stepping = true
		s.run(e)
	}
}

// run advances an engine by one step.
func (s *sim) run(e *simEngine) {
	if e.model.Idle() || e.reclaimed {
		e.stepping = false
		return
	}
	d, list := e.model.Step()
	happened := append([]model.Event(nil), list...)
	s.after(d, func() {
		if e.reclaimed {
			e.stepping = false
			return
		}
		for _, ev := range happened {
			s.happened(e, ev)
		}
		s.report(e)
		s.run(e)
	})
}

func (s *sim) happened(e *simEngine, ev model.Event) {
	switch ev.Kind {
	case model.Token:
		s.token(e, s.requests[ev.ID])
	case model.Finished:
		r := s.requests[ev.ID]
		r.ended = true
		s.metrics.finished(r)
		s.step(r.vm, control.AttemptEnded{ID: r.id, Tokens: r.tokens, Outcome: outcome.Done(r.tokens), Last: true})
	case model.Preempted:
		s.metrics.preemptions++
	}
}

func (s *sim) token(e *simEngine, r *simRequest) {
	s.metrics.token(r, s.now())
	if e.backend.Region != r.vm.self.Region {
		s.metrics.crossBytes += bytesPerToken
	}
}

// lost ends an attempt whose engine is gone: again elsewhere when nothing was
// delivered, otherwise the answer is interrupted.
func (s *sim) lost(r *simRequest) {
	again := r.tokens == 0 && r.attempt < maxAttempts
	s.step(r.vm, control.AttemptEnded{
		ID: r.id, Tokens: r.tokens, Last: !again,
		Outcome: outcome.Outcome{Kind: outcome.Interrupted, Cause: outcome.EngineReclaimed},
	})
	if again {
		r.excluded = append(r.excluded, r.engine.backend.Name)
		s.place(r, true)
		return
	}
	r.ended = true
	s.metrics.interrupted++
}

func (s *sim) refused(a control.Refused) {
	s.requests[a.ID].ended = true
	s.metrics.refused++
}

func (s *sim) reclaim(e *simEngine) {
	e.reclaimed = true
	for _, r := range s.order {
		if !r.ended && r.engine == e {
			s.lost(r)
		}
	}
}

// run plays the workload to its end.
func (s *sim) play(progress func(done float64)) Result {
	end := s.begin.Add(s.opts.Length)
	for i, q := range s.opts.Workload.Draw(s.opts.Seed, s.opts.Length, s.opts.perSecond()) {
		r := &simRequest{Request: q, id: fmt.Sprintf("r%06d", i), class: control.ClassInteractive}
		w := s.opts.Workload.Workspaces[q.Workspace]
		if w.Batch {
			r.class = control.ClassBatch
		}
		r.vm = s.entry(w.Region, q.Draw)
		s.clock.At(s.begin.Add(q.At), func() { s.arrive(r) })
	}
	for _, f := range s.opts.Workload.Faults {
		if f.Engine < len(s.engines) {
			e := s.engines[f.Engine]
			s.clock.At(s.begin.Add(time.Duration(f.AtMinute*float64(time.Minute))), func() { s.reclaim(e) })
		}
	}
	for _, c := range s.opts.churn {
		s.clock.At(s.begin.Add(c.at), func() { c.run(s) })
	}
	next := s.now()
	for s.clock.Step(end) {
		if s.now().After(next) && progress != nil {
			progress(float64(s.now().Sub(s.begin)) / float64(s.opts.Length))
			next = s.now().Add(s.opts.Length / 20)
		}
	}
	for _, r := range s.order {
		if !r.ended {
			s.metrics.open(r, end)
		}
	}
	return s.metrics.result(s)
}

// entry is the balancer's choice among the VMs of a region.
func (s *sim) entry(region string, draw uint64) *simVM {
	var list []*simVM
	for _, v := range s.vms {
		if region == "" || v.self.Region == region {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = s.vms
	}
	return list[draw%uint64(len(list))]
}
