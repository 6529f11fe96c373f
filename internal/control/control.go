// Package control is the decision core of the serve command's entry VM: membership,
// placement, admission, limits and configuration. It does no I/O and reads no clock:
// time is an argument of Step, and all randomness comes from a seeded source. A Core
// is confined to one goroutine.
//
// One VM of an engine's data centre, chosen by rendezvous hashing, is the
// engine's admitter: it polls the engine for load reports and grants reservations
// for it to all VMs.
package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/control/length"
	"github.com/pimentohinge/pimentohinge/internal/control/limit"
	"github.com/pimentohinge/pimentohinge/internal/control/member"
	"github.com/pimentohinge/pimentohinge/internal/control/rendezvous"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// watcherCount is the number of VMs of a data centre that watch the platform.
	watcherCount = 2
	// pollInterval is the pause between polls of one engine for its load report.
	pollInterval = 250 * time.Millisecond
	// retryInterval is the pause between attempts to place queued requests.
	retryInterval = 20 * time.Millisecond
	// viewInterval is the pause between state snapshots for operators.
	viewInterval = 250 * time.Millisecond
	// dispatchTimeout is how long a reservation stays valid without a dispatch.
	dispatchTimeout = 3 * time.Second
	// reserveTimeout is how long a reservation request to an admitter may take.
	reserveTimeout = 200 * time.Millisecond
	// historyLength is the number of revisions kept for VMs that are behind.
	historyLength = 256
	// maxFallbackReportAge is the maximum age of a load report that is used when
	// the admitter cannot be reached.
	maxFallbackReportAge = 5 * time.Second
	// medianQuantile is the quantile of the output length that is used as the
	// expected output length of a request.
	medianQuantile = 0.5
	// digestScaleVMs is the number of VMs in a data centre from which only every
	// second probe carries the load digest (see ownLoads); from twice that number on,
	// every third, and so on.
	digestScaleVMs = 16
	// announceFanout is the number of VMs that a new revision is sent to at once.
	announceFanout = 3
)

// Options describes a core.
type Options struct {
	// Self is this VM.
	Self wire.VM
	// Incarnation is higher than in any earlier run of this VM.
	Incarnation int
	// Policy selects the engines to try; nil means Reserve.
	Policy Policy
	// Confidence is the safety margin of admission in standard deviations.
	Confidence admit.Confidence
	// RetryPercent bounds retries as a percentage of first attempts.
	RetryPercent int
	// QueueLength bounds the requests of one service that wait for a backend.
	QueueLength int
	// ProbeInterval is the pause between liveness probes.
	ProbeInterval time.Duration
	// Suspicion is how long a VM stays suspect before it counts as failed.
	Suspicion time.Duration
	// Oracle returns the true output length of a request. Simulations use it to
	// measure an upper bound that no real policy reaches. Nil means that lengths
	// are estimated.
	Oracle func(request string) admit.LengthModel
	// Seed seeds the source of all random choices.
	Seed uint64
}

// ConfidenceFor returns the safety margin for the objective in the settings: a
// larger one if preemptions are to be avoided, a smaller one if waits are to be
// short.
func ConfidenceFor(avoidPreemptions bool) admit.Confidence {
	if avoidPreemptions {
		return 3
	}
	return 1
}

// backend is the state of one backend server.
type backend struct {
	wire.Backend
	ledger           *admit.Ledger // non-nil for engines; used while this VM is the admitter
	report           wire.LoadReport
	reportAt         time.Time
	leaving          bool      // no new work; set after its load report, a refusal or a message of another VM
	drainUntil       time.Time // no new work before; set by drain requests
	unreachableUntil time.Time // no new work before; set when the admitter could not reach the engine
	unreachable      bool      // the last poll by this VM failed
	failedAt         time.Time // of the last failure of a dispatched request
	nextPoll         time.Time
	deniedUntil      time.Time // not tried before; set after a denial by the admitter
	outstanding      int       // requests that this VM has placed and that have not ended
	lostAs           string    // identity of the instance that was last lost under a request; empty if none was
	admitter         string    // cache of the admitter, valid while admitterEpoch is Core.epoch
	admitterEpoch    int
}

// Core is the decision core. It is not safe for concurrent use.
type Core struct {
	opts            Options
	rand            *rand.Rand
	now             time.Time
	actions         []Action
	members         *member.Table
	state           *configchain.State
	history         []wire.Revision           // consecutive, ends with state.Number
	highestRevision int                       // highest revision number seen in any message
	epoch           int                       // incremented when members or backends change, from 1
	usableSets      map[string]rendezvous.Set // usable VMs by data centre, as of usableSetsEpoch
	usableSetsEpoch int
	admittedCache   []*backend // engines of which this VM is the admitter, as of admittedEpoch
	admittedEpoch   int
	rolesComputed   bool // whether updateRoles has run since the start
	backends        map[string]*backend
	reserveCredit   float64 // rate limit for reservation requests to other VMs, as of reserveCreditAt
	reserveCreditAt time.Time
	backendNames    []string              // sorted
	probesSent      int                   // determines which probes carry the load digest
	byService       map[string][]*backend // sorted by name
	listVersion     int64                 // version of the platform's list of backends
	limits          *limit.Limits
	retryBudget     *limit.RetryBudget
	lengths         map[lengthKey]*length.Estimator
	requests        map[string]*request
	limitedRequests map[string]string // request ID to the workspace whose limit it counts against
	queues          map[string]*queue // by service
	watcher         bool
	stopping        bool
	nextRetry       time.Time
	nextView        time.Time
	poison          poisonState
}

// New returns a core whose member list contains only this VM.
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
		state: configchain.Empty(), epoch: 1, usableSets: map[string]rendezvous.Set{}, backends: map[string]*backend{}, byService: map[string][]*backend{},
		limits: limit.New(), retryBudget: limit.NewRetryBudget(o.RetryPercent),
		lengths: map[lengthKey]*length.Estimator{}, requests: map[string]*request{},
		limitedRequests: map[string]string{}, queues: map[string]*queue{}, poison: newPoisonState(o.Self.Name),
	}
}

// Step handles one message and returns the resulting actions. The time must not
// decrease between calls. The slice is valid until the next call.
func (c *Core) Step(now time.Time, msg Message) []Action {
	c.now = now
	c.actions = c.actions[:0]
	switch msg := msg.(type) {
	case Tick:
		c.tick()
	case Place:
		c.place(msg)
	case Cancel:
		c.cancel(msg.ID)
	case AttemptEnded:
		c.handleAttemptEnd(msg)
	case FrameReceived:
		c.handleFrame(msg)
	case SendFailed:
		c.handleSendFailure(msg)
	case LoadReported:
		c.handleLoadReport(msg)
	case BackendLeaving:
		c.markLeaving(msg.Backend, "refused work")
	case BackendEnded:
		c.backendEnded(msg.Backend)
	case PeerConnected:
		c.applyMembership(nil, c.members.Seed(c.now, []wire.VM{msg.VM}))
	case PlatformListed:
		c.handlePlatformList(msg)
	case RevisionsRead:
		c.applyRevisions(msg.Snapshot, msg.Revisions, "platform")
	case Drain:
		c.drain(msg.Backends)
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
		c.updateRoles()
	}
	out, changes := c.members.Tick(c.now)
	c.applyMembership(out, changes)
	c.pollEngines()
	c.publishEvidence()
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

// applyMembership sends probes, some with this VM's load digest, and acts on
// membership changes.
func (c *Core) applyMembership(outgoing []member.Outgoing, changes []member.Change) {
	for _, out := range outgoing {
		probe := out.Probe
		f := wire.Frame{Probe: &probe}
		if out.To.DataCentre == c.opts.Self.DataCentre && !probe.Ack && probe.Target == "" && c.digestDue() {
			f.Loads = c.ownLoads()
		}
		c.send(out.To, f)
	}
	for _, change := range changes {
		c.logDecision("membership", "member", change.VM.Name, "from", string(change.From), "to", string(change.To), "why", change.Why)
		if change.To == member.Dead || change.To == member.Left {
			c.dropVM(change.VM.Name)
		}
	}
	if slices.ContainsFunc(changes, member.Change.AffectsRoles) {
		c.updateRoles()
	}
}

// digestDue reports whether this probe carries the load digest: every probe in a
// small data centre, fewer in a large one, where a VM is the admitter of many
// engines and depends less on the reports of others.
func (c *Core) digestDue() bool {
	c.probesSent++
	every := 1 + len(c.members.UsableIn(c.opts.Self.DataCentre))/digestScaleVMs
	return c.probesSent%every == 0
}

// updateRoles recomputes the roles of this VM and hands over reservations to new
// admitters.
func (c *Core) updateRoles() {
	c.epoch++
	dc := c.opts.Self.DataCentre
	selected := slices.Contains(rendezvous.Holders("watch/"+dc, c.members.UsableIn(dc), watcherCount), c.opts.Self.Name)
	if selected != c.watcher {
		c.watcher = selected
		c.emit(SetRoles{Watcher: selected})
		c.logDecision("role", "role", "watcher", "held", selected, "why", "membership changed")
	}
	c.handOverReservations()
}

// stop ends the acceptance of new work and notifies the other VMs. Requests that
// were accepted before are still placed and completed.
func (c *Core) stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	for _, outgoing := range c.members.Leave() {
		probe := outgoing.Probe
		c.send(outgoing.To, wire.Frame{Probe: &probe})
	}
	c.updateRoles()
	c.emit(PublishView{View: c.view()})
}

func (c *Core) view() *View {
	view := &View{
		Members: c.members.Members(), Revision: c.state.Number, Watcher: c.watcher,
		Stopping: c.stopping, CaughtUp: c.state.Number >= c.highestRevision,
	}
	for _, q := range c.queues {
		view.Queued += q.Len()
	}
	view.Open = len(c.requests) - view.Queued
	view.Backends = make([]BackendView, 0, len(c.backendNames))
	for _, name := range c.backendNames {
		b := c.backends[name]
		backendView := BackendView{
			Backend: b.Backend, Leaving: b.leaving || b.State != stateLive,
			Report: b.report, Reachable: !b.unreachable,
		}
		if b.ledger != nil {
			backendView.Admitter = c.admitter(b)
			backendView.Reservations = b.ledger.OpenReservations()
		}
		view.Backends = append(view.Backends, backendView)
	}
	return view
}
