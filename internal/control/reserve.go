package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/admit"
	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/planted"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// maxHeldPerFrame bounds the reservations in one frame.
	maxHeldPerFrame = 200
	// askTokensPerSecond is how many asks of other VMs are allowed when all are refused.
	askTokensPerSecond = 10
	// maxAskTokens is the largest allowance, and asksPerGrant what a grant adds to it.
	maxAskTokens      = 40
	askTokensPerGrant = 2
	// sampleSize is the number of engines that one decision looks at.
	sampleSize = 24
	// maxSampleTries bounds the engines that are passed over, being elsewhere.
	maxSampleTries = 1024
	// sampleStride is a prime, so that the sample is spread over the list.
	sampleStride = 7919
	// denialBackoff is how long an engine is left alone after a refusal by its admitter.
	denialBackoff = 3 * retryInterval
)

// candidates lists the engines that may get the request, the nearest group
// that has any; farther ones in the region follow when the request waits.
func (c *Core) candidates(r *request) []Candidate {
	var list []Candidate
	maxDistance := 0
	if c.now.Sub(r.queuedAt) >= denialBackoff {
		maxDistance = 2
	}
	for distance := 0; distance <= 2; distance++ {
		for _, b := range c.sample(c.byService[r.Service], distance) {
			if c.eligible(r, b) {
				list = append(list, c.candidate(b))
			}
		}
		if len(list) > 0 && distance >= maxDistance {
			break
		}
	}
	return list
}

// sample returns the engines at a distance, or a random part of them where there
// are many, so that the cost of a decision does not grow with the fleet.
func (c *Core) sample(all []*backend, distance int) []*backend {
	if len(all) <= sampleSize {
		return c.enginesAt(all, distance)
	}
	out := make([]*backend, 0, sampleSize)
	start := c.rand.IntN(len(all))
	// Engines that this VM admits for cost no message: they are half of the sample.
	own := c.admittedEngines()
	for i := range own {
		b := own[(start+i)%len(own)]
		if distance == 0 && b.Service == all[0].Service && len(out) < sampleSize/2 {
			out = append(out, b)
		}
	}
	for i := range all {
		b := all[(start+i*sampleStride)%len(all)]
		if len(out) == sampleSize || i == maxSampleTries {
			break
		}
		if b.ledger != nil && c.distance(b) == distance && !slices.Contains(out, b) {
			out = append(out, b)
		}
	}
	return out
}

func (c *Core) enginesAt(all []*backend, distance int) []*backend {
	out := make([]*backend, 0, len(all))
	for _, b := range all {
		if b.ledger != nil && c.distance(b) == distance {
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
		Outstanding: b.outstanding, FullUntil: b.fullUntil, Failed: c.failedRecently(b),
	}
}

// tryCandidates tries the engines of the round. It reports false when the request
// has to wait, so that those behind it must wait too.
func (c *Core) tryCandidates(r *request) bool {
	if !c.opts.Policy.Reserves() {
		return c.placeUnreserved(r)
	}
	asked := 0
	for len(r.candidates) > 0 {
		b := c.backends[r.candidates[0].Engine.Name]
		r.candidates = r.candidates[1:]
		if b == nil {
			continue
		}
		r.reserveAsk = wire.ReserveAsk{
			Id: r.ID, Engine: b.Name, Workspace: r.Workspace, Service: r.Service, Class: r.Class,
			PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, DeadlineUnixMs: int(r.Deadline.UnixMilli()),
		}
		admitter := c.admitter(b)
		if admitter == c.opts.Self.Name {
			if cause := b.ledger.Reserve(c.now, c.admitRequest(r.reserveAsk, admitter)); cause != outcome.None {
				c.handleDenial(r, b, cause)
				continue
			}
			c.handleGrant(r, b, admitter)
			return true
		}
		if asked == maxAsksPerRound {
			break
		}
		asked++
		if c.reserveRemote(r, b, admitter) {
			return true
		}
	}
	r.phase, r.admitter = waiting, ""
	return false
}

// reserveRemote asks another VM for a reservation. Without an admitter it falls
// back to the lagged report. It reports whether the request need not wait.
func (c *Core) reserveRemote(r *request, b *backend, admitter string) bool {
	vm, _, known := c.members.Lookup(admitter)
	if !known {
		return c.placeFromReport(r, b)
	}
	if !c.takeAskToken() {
		return false
	}
	r.phase, r.admitter = reserving, admitter
	r.replyBy = c.now.Add(reserveTimeout)
	ask := r.reserveAsk
	c.send(vm, wire.Frame{ReserveAsk: &ask})
	return true
}

// takeAskToken takes one ask of another VM from the allowance. A grant gives it back
// and more, so that only asks that are refused run out: when all engines are
// full, asking each of them for each waiting request would flood the links.
func (c *Core) takeAskToken() bool {
	c.askTokens = min(maxAskTokens, c.askTokens+askTokensPerSecond*c.now.Sub(c.askTokensAt).Seconds())
	c.askTokensAt = c.now
	if c.askTokens < 1 {
		return false
	}
	c.askTokens--
	return true
}

func (c *Core) placeUnreserved(r *request) bool {
	if len(r.candidates) == 0 {
		return false
	}
	b := c.backends[r.candidates[0].Engine.Name]
	r.admitter = ""
	c.leaveQueue(r)
	c.assign(r, b, "chosen without a reservation")
	return true
}

// placeFromReport uses an engine whose admitter can't be reached, if the
// lagged report shows plenty of room.
func (c *Core) placeFromReport(r *request, b *backend) bool {
	if c.now.Sub(b.reportAt) > maxFallbackReportAge || !admit.FitsReport(b.report, r.PromptTokens, b.outstanding) {
		c.handleDenial(r, b, outcome.AdmitterLost)
		return false
	}
	r.admitter = ""
	c.leaveQueue(r)
	c.assign(r, b, "no admitter reachable; the last report shows room")
	return true
}

func (c *Core) leaveQueue(r *request) {
	q := c.queue(r.Service)
	q.remove(r)
	expected := c.estimator(r.Workspace, r.Service, r.Class).Quantile(medianQuantile, 0)
	q.charge(r, float64(r.PromptTokens+expected), c.state.Workspaces[r.Workspace].Weight)
}

func (c *Core) handleGrant(r *request, b *backend, admitter string) {
	r.admitter = admitter
	c.leaveQueue(r)
	c.assign(r, b, fmt.Sprintf("reserved by %s, %d of %d blocks used at the last report",
		admitter, b.report.UsedBlocks, b.report.CapacityBlocks))
}

func (c *Core) handleDenial(r *request, b *backend, cause outcome.Cause) {
	if cause != r.lastCause {
		c.recordEvent(r, wire.Event{
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

// handleReserveAsk answers another VM as the admitter of an engine.
func (c *Core) handleReserveAsk(from wire.VM, ask wire.ReserveAsk) {
	reply := wire.ReserveReply{Id: ask.Id, Engine: ask.Engine}
	b := c.backends[ask.Engine]
	switch {
	case b == nil || b.ledger == nil:
		reply.Cause = string(outcome.NoReplica)
	case (b.isLeaving || b.State != stateLive) && !planted.Is(planted.LeavingIgnored):
		reply.Cause = string(outcome.EngineReclaimed)
	case b.unreachable:
		reply.Cause = string(outcome.EngineLost)
	case c.stopping:
		reply.Cause = string(outcome.AdmitterLost)
	default:
		cause := b.ledger.Reserve(c.now, c.admitRequest(ask, from.Name))
		reply.Granted = cause == outcome.None
		reply.Cause = string(cause)
		reply.FreeBlocks = max(0, b.ledger.FreeBlocks(c.now))
	}
	c.send(from, wire.Frame{ReserveReply: &reply})
}

// handleReserveReply continues the request that waits for an admitter.
func (c *Core) handleReserveReply(reply wire.ReserveReply) {
	r := c.requests[reply.Id]
	if r == nil || r.phase != reserving || r.reserveAsk.Engine != reply.Engine {
		if reply.Granted && (r == nil || r.backend == nil || r.backend.Name != reply.Engine) {
			c.returnGrant(reply)
		}
		return
	}
	b := c.backends[reply.Engine]
	if reply.Granted {
		c.askTokens = min(maxAskTokens, c.askTokens+askTokensPerGrant)
	}
	if reply.Granted && b != nil && !b.isLeaving {
		c.handleGrant(r, b, r.admitter)
		return
	}
	if reply.Granted {
		c.endRemote(r, 0, false)
	}
	if b != nil {
		c.handleDenial(r, b, outcome.Cause(reply.Cause))
	}
	r.phase = waiting
	c.tryCandidates(r)
}

// returnGrant gives back a grant that came too late to be used.
func (c *Core) returnGrant(reply wire.ReserveReply) {
	if b := c.backends[reply.Engine]; b != nil {
		c.sendTo(c.admitter(b), wire.Frame{ReserveEnd: &wire.ReserveEnd{Id: reply.Id, Engine: reply.Engine}})
	}
}

func (c *Core) handleReserveEnd(end wire.ReserveEnd) {
	b := c.backends[end.Engine]
	if b == nil || b.ledger == nil {
		return
	}
	if reservation, ok := b.ledger.Release(end.Id); ok {
		b.fullUntil = time.Time{}
		c.recordLength(reservation.Wire.Workspace, reservation.Wire.Service, reservation.Wire.Class, end.Tokens, end.Finished)
		c.placeQueued(c.queue(b.Service))
	}
}

func (c *Core) handleReserveHeld(from wire.VM, held wire.ReserveHeld) {
	b := c.backends[held.Engine]
	if b == nil || b.ledger == nil {
		return
	}
	for _, ask := range held.Asks {
		b.ledger.Adopt(c.now, c.admitRequest(ask, from.Name))
	}
	c.logDecision("takeover", "engine", held.Engine, "from", from.Name, "reservations", len(held.Asks))
}

// admitterTimedOut falls back when an admitter does not answer in time.
func (c *Core) admitterTimedOut(r *request) {
	b := c.backends[r.reserveAsk.Engine]
	c.endRemote(r, 0, false)
	r.phase = waiting
	if b != nil && c.placeFromReport(r, b) {
		return
	}
	c.tryCandidates(r)
}

// handleAdmitterFailure continues the requests that wait for a VM that died.
func (c *Core) handleAdmitterFailure(vm string) {
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; r != nil && r.phase == reserving && r.admitter == vm {
			c.admitterTimedOut(r)
		}
	}
}

// handleSendFailure continues what waited for a frame that could not be sent.
func (c *Core) handleSendFailure(m SendFailed) {
	if ask := m.Frame.ReserveAsk; ask != nil {
		if r := c.requests[ask.Id]; r != nil && r.phase == reserving && r.reserveAsk.Engine == ask.Engine {
			r.admitter = ""
			c.admitterTimedOut(r)
		}
	}
}

// handOverReservations tells new admitters what this VM uses, and forgets what
// this VM granted for engines that it no longer admits for.
func (c *Core) handOverReservations() {
	held := map[string][]wire.ReserveAsk{}
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		if r.phase != placed || r.backend.ledger == nil || r.reserveAsk.Engine == "" {
			continue
		}
		admitter := c.admitter(r.backend)
		if admitter == r.admitter || admitter == "" {
			continue
		}
		r.admitter = admitter
		if admitter == c.opts.Self.Name {
			r.backend.ledger.Adopt(c.now, c.admitRequest(r.reserveAsk, admitter))
			continue
		}
		held[r.backend.Name] = append(held[r.backend.Name], r.reserveAsk)
	}
	for _, name := range sortedKeys(held) {
		admitter := c.admitter(c.backends[name])
		for chunk := range slices.Chunk(held[name], maxHeldPerFrame) {
			c.sendTo(admitter, wire.Frame{ReserveHeld: &wire.ReserveHeld{Engine: name, Asks: chunk}})
		}
	}
	for _, b := range c.backends {
		if b.ledger != nil && b.ledger.Open() > 0 && !c.isAdmitter(b) {
			b.ledger = admit.New(c.opts.Confidence)
			b.ledger.Report(c.now, b.report)
		}
	}
}
