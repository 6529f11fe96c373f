// Package control is the decision core of an entry VM: membership, placement,
// admission, limits and configuration. It does no I/O and reads no clock: time
// is an argument of Step, and all randomness comes from a seeded source. One
// goroutine owns a Core.
package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/control/length"
	"github.com/pimentohinge/pimentohinge/internal/control/limit"
	"github.com/pimentohinge/pimentohinge/internal/control/member"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// watchers is the number of VMs of a data centre that watch the platform.
	watchers = 2
	// pollInterval is the pause between load reports of one engine.
	pollInterval = 250 * time.Millisecond
	// retryInterval is the pause between attempts to place queued requests.
	retryInterval = 20 * time.Millisecond
	// viewInterval is the pause between pictures for operators.
	viewInterval = 250 * time.Millisecond
	// dispatchWindow is how long a granted reservation waits for dispatch.
	dispatchWindow = 3 * time.Second
	// replyWait is how long an admitter has to answer.
	replyWait = 200 * time.Millisecond
	// historyLength is the number of revisions kept for other VMs.
	historyLength = 256
	// cautiousAge is the oldest report that is trusted without an admitter.
	cautiousAge = 5 * time.Second
	// medianQuantile is what a queued request is expected to cost.
	medianQuantile = 0.5
	// digestVMs is the size of a data centre from which the digest goes with every second probe.
	digestVMs = 16
	// announceTo is the number of VMs that are told at once of a new revision.
	announceTo = 3
)

// Options describes a core.
type Options struct {
	// Self is this VM.
	Self wire.VM
	// Incarnation is higher than in any earlier life of this VM.
	Incarnation int
	// Policy decides which engines are tried; nil means Reserve.
	Policy Policy
	// Confidence is the admission's reserve in standard deviations.
	Confidence admit.Confidence
	// RetryPercent bounds retries as a share of first attempts.
	RetryPercent int
	// QueueLength bounds the requests that wait for a backend.
	QueueLength int
	// ProbeInterval is the pause between liveness probes.
	ProbeInterval time.Duration
	// Suspicion is how long a VM stays suspect.
	Suspicion time.Duration
	// Oracle tells the true length of a request to come, for the bound that no
	// real policy reaches; nil means that lengths are estimated.
	Oracle func(request string) admit.Lengths
	// Seed feeds every random choice.
	Seed uint64
}

// ConfidenceFor returns the admission's reserve for an objective of the
// settings: preemptions are rarer with a larger one, waits shorter with a
// smaller one.
func ConfidenceFor(preemptions bool) admit.Confidence {
	if preemptions {
		return 3
	}
	return 1
}

// backend is what the core knows of a backend server.
type backend struct {
	wire.Backend
	ledger      *admit.Ledger // set for engines; used while this VM is the admitter
	report      wire.LoadReport
	reportAt    time.Time
	leaving     bool      // by the engine's own report or a refusal
	drainUntil  time.Time // set by the order giver
	downUntil   time.Time // the admitter could not reach the engine
	unreachable bool
	failedAt    time.Time // of the last failure of a dispatched request
	nextPoll    time.Time
	fullUntil   time.Time // after a refusal by the admitter
	outstanding int       // open requests of this VM
	holder      string    // admitter as of holderEpoch
	holderEpoch int
}

// Core is the decision core. It is used by one goroutine.
type Core struct {
	opts      Options
	rand      *rand.Rand
	now       time.Time
	actions   []Action
	members   *member.Table
	state     *chain.State
	history   []wire.Revision           // consecutive, the newest is state.Number
	highest   int                       // highest revision heard of
	epoch     int                       // counts changes of members and backends, from 1
	sets      map[string]rendezvous.Set // usable VMs by data centre, as of setsEpoch
	setsEpoch int
	own       []*backend
	ownEpoch  int
	started   bool // standing roles were computed once
	backends  map[string]*backend
	asks      float64 // allowance for asking other VMs, as of asksAt
	asksAt    time.Time
	names     []string              // of the backends, sorted
	probes    int                   // sent, for the pace of the load digest
	byService map[string][]*backend // sorted by name
	listed    int64                 // version of the platform's list
	limits    *limit.Limits
	budget    *limit.Budget
	lengths   map[lengthKey]*length.Estimator
	requests  map[string]*request
	held      map[string]string // workspace whose limit a request counts against
	queues    map[string]*queue // by service
	watcher   bool
	stopping  bool
	nextRetry time.Time
	nextView  time.Time
}

// New returns a core that knows only its own VM.
func New(o Options) *Core {
	r := rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))
	if o.Policy == nil {
		o.Policy = Reserve{}
	}
	return &Core{
		opts: o, rand: r,
		members: member.New(member.Options{
			Self: o.Self, Incarnation: o.Incarnation, ProbeInterval: o.ProbeInterval,
			Suspicion: o.Suspicion, Rand: r,
		}),
		state: chain.Empty(), epoch: 1, sets: map[string]rendezvous.Set{}, backends: map[string]*backend{}, byService: map[string][]*backend{},
		limits: limit.New(), budget: limit.NewBudget(o.RetryPercent),
		lengths: map[lengthKey]*length.Estimator{}, requests: map[string]*request{},
		held: map[string]string{}, queues: map[string]*queue{},
	}
}

// Step handles one message at a time that never goes back, and returns what is
// to be done. The slice is valid until the next call.
func (c *Core) Step(now time.Time, m Message) []Action {
	c.now = now
	c.actions = c.actions[:0]
	switch m := m.(type) {
	case Tick:
		c.tick()
	case Place:
		c.place(m)
	case Withdraw:
		c.withdraw(m.ID)
	case Ended:
		c.ended(m)
	case Heard:
		c.heard(m)
	case Unreachable:
		c.unreachable(m)
	case LoadReported:
		c.loadReported(m)
	case BackendRefused:
		c.markLeaving(m.Backend, "refused work")
	case Met:
		c.spread(nil, c.members.Learn(c.now, []wire.VM{m.VM}))
	case PlatformListed:
		c.platformListed(m)
	case RevisionsRead:
		c.revisions(m.Snapshot, m.Revisions, "platform")
	case Drain:
		c.drain(m.Backends)
	case Stop:
		c.stop()
	}
	return c.actions
}

func (c *Core) do(a Action) { c.actions = append(c.actions, a) }

func (c *Core) decided(event string, fields ...any) { c.do(Decided{Event: event, Fields: fields}) }

func (c *Core) send(to wire.VM, f wire.Frame) { c.do(Send{To: to, Frame: f}) }

func (c *Core) sendTo(name string, f wire.Frame) {
	if vm, _, ok := c.members.Lookup(name); ok {
		c.send(vm, f)
	}
}

func (c *Core) tick() {
	if !c.started {
		c.started = true
		c.rolesChanged()
	}
	out, changes := c.members.Tick(c.now)
	c.spread(out, changes)
	c.poll()
	if !c.now.Before(c.nextRetry) {
		c.nextRetry = c.now.Add(retryInterval)
		c.expire()
		c.retryQueues()
	}
	if !c.now.Before(c.nextView) {
		c.nextView = c.now.Add(viewInterval)
		c.do(Viewed{View: c.view()})
	}
}

// spread sends probes with this VM's load digest and acts on membership
// changes.
func (c *Core) spread(out []member.Outgoing, changes []member.Change) {
	for _, o := range out {
		p := o.Probe
		f := wire.Frame{Probe: &p}
		if o.To.DataCentre == c.opts.Self.DataCentre && !p.Ack && p.Target == "" && c.digestDue() {
			f.Loads = c.ownLoads()
		}
		c.send(o.To, f)
	}
	for _, ch := range changes {
		c.decided("membership", "member", ch.VM.Name, "from", string(ch.From), "to", string(ch.To), "why", ch.Why)
		if ch.To == member.Dead || ch.To == member.Left {
			c.lostVM(ch.VM.Name)
		}
	}
	if slices.ContainsFunc(changes, member.Change.MovesRoles) {
		c.rolesChanged()
	}
}

// digestDue reports whether the load digest goes with this probe: with each one
// in a small data centre, and less often in a large one, where a VM has many
// engines of its own to choose from.
func (c *Core) digestDue() bool {
	c.probes++
	every := 1 + len(c.members.AliveIn(c.opts.Self.DataCentre))/digestVMs
	return c.probes%every == 0
}

func (c *Core) rolesChanged() {
	c.epoch++
	dc := c.opts.Self.DataCentre
	w := slices.Contains(rendezvous.Holders("watch/"+dc, c.members.AliveIn(dc), watchers), c.opts.Self.Name)
	if w != c.watcher {
		c.watcher = w
		c.do(Roles{Watcher: w})
		c.decided("role", "role", "watcher", "held", w, "why", "membership changed")
	}
	c.handOverReservations()
}

// stop makes the VM accept no new work and tells the other VMs. What was
// accepted before is still placed and finished.
func (c *Core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	for _, o := range c.members.Leave() {
		p := o.Probe
		c.send(o.To, wire.Frame{Probe: &p})
	}
	c.rolesChanged()
	c.do(Viewed{View: c.view()})
}

func (c *Core) view() *View {
	v := &View{
		Members: c.members.Members(), Revision: c.state.Number, Watcher: c.watcher,
		Stopping: c.stopping, CaughtUp: c.state.Number >= c.highest,
	}
	for _, q := range c.queues {
		v.Queued += len(q.waiting)
	}
	v.Open = len(c.requests) - v.Queued
	v.Backends = make([]BackendView, 0, len(c.names))
	for _, name := range c.names {
		b := c.backends[name]
		bv := BackendView{
			Backend: b.Backend, Leaving: b.leaving || b.State != stateLive,
			Report: b.report, Reachable: !b.unreachable,
		}
		if b.ledger != nil {
			bv.Admitter = c.admitter(b)
			bv.Reservations = b.ledger.Open()
		}
		v.Backends = append(v.Backends, bv)
	}
	return v
}
