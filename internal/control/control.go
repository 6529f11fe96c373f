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
	// watcherCount is the number of VMs of a data centre that watch the platform.
	watcherCount = 2
	// pollInterval is the pause between load reports of one engine.
	pollInterval = 250 * time.Millisecond
	// retryInterval is the pause between attempts to place queued requests.
	retryInterval = 20 * time.Millisecond
	// viewInterval is the pause between pictures for operators.
	viewInterval = 250 * time.Millisecond
	// dispatchTimeout is how long a granted reservation waits for dispatch.
	dispatchTimeout = 3 * time.Second
	// reserveTimeout is how long an admitter has to answer.
	reserveTimeout = 200 * time.Millisecond
	// historyLength is the number of revisions kept for other VMs.
	historyLength = 256
	// maxFallbackReportAge is the oldest report that is trusted without an admitter.
	maxFallbackReportAge = 5 * time.Second
	// medianQuantile is what a queued request is expected to cost.
	medianQuantile = 0.5
	// digestScaleVMs is the size of a data centre from which the digest goes with every second probe.
	digestScaleVMs = 16
	// announceFanout is the number of VMs that are told at once of a new revision.
	announceFanout = 3
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
	Oracle func(request string) admit.LengthModel
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
	ledger        *admit.Ledger // set for engines; used while this VM is the admitter
	report        wire.LoadReport
	reportAt      time.Time
	isLeaving     bool      // by the engine's own report or a refusal
	drainUntil    time.Time // set by the order giver
	downUntil     time.Time // the admitter could not reach the engine
	unreachable   bool
	failedAt      time.Time // of the last failure of a dispatched request
	nextPoll      time.Time
	fullUntil     time.Time // after a refusal by the admitter
	outstanding   int       // open requests of this VM
	admitter      string    // admitter as of holderEpoch
	admitterEpoch int
}

// Core is the decision core. It is used by one goroutine.
type Core struct {
	opts            Options
	rand            *rand.Rand
	now             time.Time
	actions         []Action
	members         *member.Table
	state           *chain.State
	history         []wire.Revision           // consecutive, the newest is state.Number
	highestRevision int                       // highest revision heard of
	epoch           int                       // counts changes of members and backends, from 1
	usableSets      map[string]rendezvous.Set // usable VMs by data centre, as of setsEpoch
	usableSetsEpoch int
	admitted        []*backend
	admittedEpoch   int
	rolesComputed   bool // standing roles were computed once
	backends        map[string]*backend
	askTokens       float64 // allowance for asking other VMs, as of asksAt
	askTokensAt     time.Time
	backendNames    []string              // of the backends, sorted
	probesSent      int                   // sent, for the pace of the load digest
	byService       map[string][]*backend // sorted by name
	listVersion     int64                 // version of the platform's list
	limits          *limit.Limits
	retryBudget     *limit.RetryBudget
	lengths         map[lengthKey]*length.Estimator
	requests        map[string]*request
	limitHolders    map[string]string // workspace whose limit a request counts against
	queues          map[string]*queue // by service
	isWatcher       bool
	stopping        bool
	nextRetry       time.Time
	nextView        time.Time
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
		state: chain.Empty(), epoch: 1, usableSets: map[string]rendezvous.Set{}, backends: map[string]*backend{}, byService: map[string][]*backend{},
		limits: limit.New(), retryBudget: limit.NewRetryBudget(o.RetryPercent),
		lengths: map[lengthKey]*length.Estimator{}, requests: map[string]*request{},
		limitHolders: map[string]string{}, queues: map[string]*queue{},
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
	case Cancel:
		c.cancel(m.ID)
	case AttemptEnded:
		c.handleAttemptEnd(m)
	case FrameReceived:
		c.handleFrame(m)
	case SendFailed:
		c.handleSendFailure(m)
	case LoadReported:
		c.handleLoadReport(m)
	case BackendRefused:
		c.markLeaving(m.Backend, "refused work")
	case PeerConnected:
		c.applyMembership(nil, c.members.Seed(c.now, []wire.VM{m.VM}))
	case PlatformListed:
		c.handlePlatformList(m)
	case RevisionsRead:
		c.applyRevisions(m.Snapshot, m.Revisions, "platform")
	case Drain:
		c.drain(m.Backends)
	case Stop:
		c.stop()
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) logDecision(event string, fields ...any) {
	c.emit(LogDecision{Event: event, Fields: fields})
}

func (c *Core) send(to wire.VM, f wire.Frame) { c.emit(Send{To: to, Frame: f}) }

func (c *Core) sendTo(name string, f wire.Frame) {
	if vm, _, ok := c.members.Lookup(name); ok {
		c.send(vm, f)
	}
}

func (c *Core) tick() {
	if !c.rolesComputed {
		c.rolesComputed = true
		c.rolesChanged()
	}
	out, changes := c.members.Tick(c.now)
	c.applyMembership(out, changes)
	c.pollEngines()
	if !c.now.Before(c.nextRetry) {
		c.nextRetry = c.now.Add(retryInterval)
		c.expire()
		c.retryQueues()
	}
	if !c.now.Before(c.nextView) {
		c.nextView = c.now.Add(viewInterval)
		c.emit(PublishView{View: c.view()})
	}
}

// applyMembership sends probes with this VM's load digest and acts on membership
// changes.
func (c *Core) applyMembership(outgoing []member.Outgoing, changes []member.Change) {
	for _, probe := range outgoing {
		p := probe.Probe
		f := wire.Frame{Probe: &p}
		if probe.To.DataCentre == c.opts.Self.DataCentre && !p.Ack && p.Target == "" && c.digestDue() {
			f.Loads = c.ownLoads()
		}
		c.send(probe.To, f)
	}
	for _, change := range changes {
		c.logDecision("membership", "member", change.VM.Name, "from", string(change.From), "to", string(change.To), "why", change.Why)
		if change.To == member.Dead || change.To == member.Left {
			c.dropVM(change.VM.Name)
		}
	}
	if slices.ContainsFunc(changes, member.Change.AffectsRoles) {
		c.rolesChanged()
	}
}

// digestDue reports whether the load digest goes with this probe: with each one
// in a small data centre, and less often in a large one, where a VM has many
// engines of its own to choose from.
func (c *Core) digestDue() bool {
	c.probesSent++
	every := 1 + len(c.members.UsableIn(c.opts.Self.DataCentre))/digestScaleVMs
	return c.probesSent%every == 0
}

func (c *Core) rolesChanged() {
	c.epoch++
	dc := c.opts.Self.DataCentre
	selected := slices.Contains(rendezvous.Holders("watch/"+dc, c.members.UsableIn(dc), watcherCount), c.opts.Self.Name)
	if selected != c.isWatcher {
		c.isWatcher = selected
		c.emit(SetRoles{Watcher: selected})
		c.logDecision("role", "role", "watcher", "held", selected, "why", "membership changed")
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
	for _, outgoing := range c.members.Leave() {
		probe := outgoing.Probe
		c.send(outgoing.To, wire.Frame{Probe: &probe})
	}
	c.rolesChanged()
	c.emit(PublishView{View: c.view()})
}

func (c *Core) view() *View {
	view := &View{
		Members: c.members.Members(), Revision: c.state.Number, Watcher: c.isWatcher,
		Stopping: c.stopping, CaughtUp: c.state.Number >= c.highestRevision,
	}
	for _, q := range c.queues {
		view.Queued += len(q.waiting)
	}
	view.Open = len(c.requests) - view.Queued
	view.Backends = make([]BackendView, 0, len(c.backendNames))
	for _, name := range c.backendNames {
		b := c.backends[name]
		backendView := BackendView{
			Backend: b.Backend, Leaving: b.isLeaving || b.State != stateLive,
			Report: b.report, Reachable: !b.unreachable,
		}
		if b.ledger != nil {
			backendView.Admitter = c.admitter(b)
			backendView.Reservations = b.ledger.Open()
		}
		view.Backends = append(view.Backends, backendView)
	}
	return view
}
