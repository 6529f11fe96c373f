package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// heldPerFrame bounds the reservations in one frame.
	heldPerFrame = 200
	// asksPerSecond is how many asks of other VMs are allowed when all are refused.
	asksPerSecond = 10
	// mostAsks is the largest allowance, and asksPerGrant what a grant adds to it.
	mostAsks     = 40
	asksPerGrant = 2
	// sampleSize is the number of engines that one decision looks at.
	sampleSize = 24
	// sampleTries bounds the engines that are passed over, being elsewhere.
	sampleTries = 1024
	// sampleStride is a prime, so that the sample is spread over the list.
	sampleStride = 7919
	// denialBackoff is how long an engine is left alone after a refusal by its admitter.
	denialBackoff = 3 * retryInterval
)

// candidates lists the engines that may get the request, the nearest group
// that has any; farther ones in the region follow when the request waits.
func (c *Core) candidates(r *request) []Candidate {
	var list []Candidate
	reach := 0
	if c.now.Sub(r.queuedAt) >= denialBackoff {
		reach = 2
	}
	for near := 0; near <= 2; near++ {
		for _, b := range c.sample(c.byService[r.Service], near) {
			if c.eligible(r, b) {
				list = append(list, c.candidate(b))
			}
		}
		if len(list) > 0 && near >= reach {
			break
		}
	}
	return list
}

// sample returns the engines at a distance, or a random part of them where there
// are many, so that the cost of a decision does not grow with the fleet.
func (c *Core) sample(all []*backend, near int) []*backend {
	if len(all) <= sampleSize {
		return c.within(all, near)
	}
	out := make([]*backend, 0, sampleSize)
	start := c.rand.IntN(len(all))
	// Engines that this VM admits for cost no message: they are half of the sample.
	own := c.ownEngines()
	for i := range own {
		b := own[(start+i)%len(own)]
		if near == 0 && b.Service == all[0].Service && len(out) < sampleSize/2 {
			out = append(out, b)
		}
	}
	for i := range all {
		b := all[(start+i*sampleStride)%len(all)]
		if len(out) == sampleSize || i == sampleTries {
			break
		}
		if b.ledger != nil && c.distance(b) == near && !slices.Contains(out, b) {
			out = append(out, b)
		}
	}
	return out
}

func (c *Core) within(all []*backend, near int) []*backend {
	out := make([]*backend, 0, len(all))
	for _, b := range all {
		if b.ledger != nil && c.distance(b) == near {
			out = append(out, b)
		}
	}
	return out
}

func (c *Core) candidate(b *backend) Candidate {
	own := c.isAdmitter(b)
	free := b.report.CapacityBlocks - b.report.UsedBlocks
	if own {
		free = b.ledger.FreeBlocks(c.now)
	}
	return Candidate{
		Engine: b.Backend, Report: b.report, Own: own, Reserved: b.ledger.Open(), Free: free,
		Outstanding: b.outstanding, FullUntil: b.fullUntil, Failed: c.failed(b),
	}
}

// proceed tries the engines of the round. It reports false when the request
// has to wait, so that those behind it must wait too.
func (c *Core) proceed(r *request) bool {
	if !c.opts.Policy.Reserves() {
		return c.placeDirect(r)
	}
	asked := 0
	for len(r.round) > 0 {
		b := c.backends[r.round[0].Engine.Name]
		r.round = r.round[1:]
		if b == nil {
			continue
		}
		r.ask = wire.ReserveAsk{
			Id: r.ID, Engine: b.Name, Workspace: r.Workspace, Service: r.Service, Class: r.Class,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, DeadlineUnixMs: int(r.Deadline.UnixMilli()),
		}
		holder := c.admitter(b)
		if holder == c.opts.Self.Name {
			if cause := b.ledger.Ask(c.now, c.askOf(r.ask, holder)); cause != outcome.None {
				c.denied(r, b, cause)
				continue
			}
			c.granted(r, b, holder)
			return true
		}
		if asked == tries {
			break
		}
		asked++
		if c.askRemote(r, b, holder) {
			return true
		}
	}
	r.phase, r.admitter = waiting, ""
	return false
}

// askRemote asks another VM for a reservation. Without an admitter it falls
// back to the lagged report. It reports whether the request need not wait.
func (c *Core) askRemote(r *request, b *backend, holder string) bool {
	vm, _, known := c.members.Lookup(holder)
	if !known {
		return c.placeCautiously(r, b)
	}
	if !c.takeAsk() {
		return false
	}
	r.phase, r.admitter = asking, holder
	r.replyBy = c.now.Add(replyWait)
	ask := r.ask
	c.send(vm, wire.Frame{ReserveAsk: &ask})
	return true
}

// takeAsk takes one ask of another VM from the allowance. A grant gives it back
// and more, so that only asks that are refused run out: when all engines are
// full, asking each of them for each waiting request would flood the links.
func (c *Core) takeAsk() bool {
	c.asks = min(mostAsks, c.asks+asksPerSecond*c.now.Sub(c.asksAt).Seconds())
	c.asksAt = c.now
	if c.asks < 1 {
		return false
	}
	c.asks--
	return true
}

func (c *Core) placeDirect(r *request) bool {
	if len(r.round) == 0 {
		return false
	}
	b := c.backends[r.round[0].Engine.Name]
	r.admitter = ""
	c.leaveQueue(r)
	c.placeOn(r, b, "chosen without a reservation")
	return true
}

// placeCautiously uses an engine whose admitter can't be reached, if the
// lagged report shows plenty of room.
func (c *Core) placeCautiously(r *request, b *backend) bool {
	if c.now.Sub(b.reportAt) > cautiousAge || !admit.Cautious(b.report, r.PromptTokens, b.outstanding) {
		c.denied(r, b, outcome.AdmitterLost)
		return false
	}
	r.admitter = ""
	c.leaveQueue(r)
	c.placeOn(r, b, "no admitter reachable; the last report shows room")
	return true
}

func (c *Core) leaveQueue(r *request) {
	q := c.queue(r.Service)
	q.drop(r)
	expected := c.estimator(r.Workspace, r.Service, r.Class).Quantile(medianQuantile, 0)
	q.charge(r, float64(r.PromptTokens+expected), c.state.Workspaces[r.Workspace].Weight)
}

func (c *Core) granted(r *request, b *backend, holder string) {
	r.admitter = holder
	c.leaveQueue(r)
	c.placeOn(r, b, fmt.Sprintf("reserved by %s, %d of %d blocks used at the last report",
		holder, b.report.UsedBlocks, b.report.CapacityBlocks))
}

func (c *Core) denied(r *request, b *backend, cause outcome.Cause) {
	if cause != r.lastCause {
		c.note(r, wire.Event{
			Kind: EventDenied, Engine: b.Name, Cause: string(cause),
			Detail: fmt.Sprintf("%d of %d blocks, %d of %d slots at the last report",
				b.report.UsedBlocks, b.report.CapacityBlocks, b.report.Running, b.report.Slots),
		})
	}
	r.lastCause = cause
	if cause == outcome.EngineLost {
		b.downUntil = c.now.Add(failureBackoff)
	}
	b.fullUntil = c.now.Add(denialBackoff)
}

// reserveAsked answers another VM as the admitter of an engine.
func (c *Core) reserveAsked(from wire.VM, w wire.ReserveAsk) {
	reply := wire.ReserveReply{Id: w.Id, Engine: w.Engine}
	b := c.backends[w.Engine]
	switch {
	case b == nil || b.ledger == nil:
		reply.Cause = string(outcome.NoReplica)
	case (b.leaving || b.State != stateLive) && !mutation.Enabled(mutation.LeavingIgnored):
		reply.Cause = string(outcome.EngineReclaimed)
	case b.unreachable:
		reply.Cause = string(outcome.EngineLost)
	case c.stopping:
		reply.Cause = string(outcome.AdmitterLost)
	default:
		cause := b.ledger.Ask(c.now, c.askOf(w, from.Name))
		reply.Granted = cause == outcome.None
		reply.Cause = string(cause)
		reply.FreeBlocks = max(0, b.ledger.FreeBlocks(c.now))
	}
	c.send(from, wire.Frame{ReserveReply: &reply})
}

// reserveReplied continues the request that waits for an admitter.
func (c *Core) reserveReplied(w wire.ReserveReply) {
	r := c.requests[w.Id]
	if r == nil || r.phase != asking || r.ask.Engine != w.Engine {
		if w.Granted && (r == nil || r.backend == nil || r.backend.Name != w.Engine) {
			c.returnGrant(w)
		}
		return
	}
	b := c.backends[w.Engine]
	if w.Granted {
		c.asks = min(mostAsks, c.asks+asksPerGrant)
	}
	if w.Granted && b != nil && !b.leaving {
		c.granted(r, b, r.admitter)
		return
	}
	if w.Granted {
		c.endRemote(r, 0, false)
	}
	if b != nil {
		c.denied(r, b, outcome.Cause(w.Cause))
	}
	r.phase = waiting
	c.proceed(r)
}

// returnGrant gives back a grant that came too late to be used.
func (c *Core) returnGrant(w wire.ReserveReply) {
	if b := c.backends[w.Engine]; b != nil {
		c.sendTo(c.admitter(b), wire.Frame{ReserveEnd: &wire.ReserveEnd{Id: w.Id, Engine: w.Engine}})
	}
}

func (c *Core) reserveEnded(w wire.ReserveEnd) {
	b := c.backends[w.Engine]
	if b == nil || b.ledger == nil {
		return
	}
	if res, ok := b.ledger.End(w.Id); ok {
		b.fullUntil = time.Time{}
		c.learn(res.Wire.Workspace, res.Wire.Service, res.Wire.Class, w.Tokens, w.Finished)
		c.pump(c.queue(b.Service))
	}
}

func (c *Core) reservationsHeld(from wire.VM, w wire.ReserveHeld) {
	b := c.backends[w.Engine]
	if b == nil || b.ledger == nil {
		return
	}
	for _, a := range w.Asks {
		b.ledger.Hold(c.now, c.askOf(a, from.Name))
	}
	c.decided("takeover", "engine", w.Engine, "from", from.Name, "reservations", len(w.Asks))
}

// admitterSilent falls back when an admitter does not answer in time.
func (c *Core) admitterSilent(r *request) {
	b := c.backends[r.ask.Engine]
	c.endRemote(r, 0, false)
	r.phase = waiting
	if b != nil && c.placeCautiously(r, b) {
		return
	}
	c.proceed(r)
}

// admitterLost continues the requests that wait for a VM that died.
func (c *Core) admitterLost(vm string) {
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; r != nil && r.phase == asking && r.admitter == vm {
			c.admitterSilent(r)
		}
	}
}

// unreachable continues what waited for a frame that could not be sent.
func (c *Core) unreachable(m Unreachable) {
	if a := m.Frame.ReserveAsk; a != nil {
		if r := c.requests[a.Id]; r != nil && r.phase == asking && r.ask.Engine == a.Engine {
			r.admitter = ""
			c.admitterSilent(r)
		}
	}
}

// handOverReservations tells new admitters what this VM uses, and forgets what
// this VM granted for engines that it no longer admits for.
func (c *Core) handOverReservations() {
	held := map[string][]wire.ReserveAsk{}
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		if r.phase != placed || r.backend.ledger == nil || r.ask.Engine == "" {
			continue
		}
		holder := c.admitter(r.backend)
		if holder == r.admitter || holder == "" {
			continue
		}
		r.admitter = holder
		if holder == c.opts.Self.Name {
			r.backend.ledger.Hold(c.now, c.askOf(r.ask, holder))
			continue
		}
		held[r.backend.Name] = append(held[r.backend.Name], r.ask)
	}
	for _, name := range sortedKeys(held) {
		holder := c.admitter(c.backends[name])
		for chunk := range slices.Chunk(held[name], heldPerFrame) {
			c.sendTo(holder, wire.Frame{ReserveHeld: &wire.ReserveHeld{Engine: name, Asks: chunk}})
		}
	}
	for _, b := range c.backends {
		if b.ledger != nil && b.ledger.Open() > 0 && !c.isAdmitter(b) {
			b.ledger = admit.New(c.opts.Confidence)
			b.ledger.Report(c.now, b.report)
		}
	}
}
