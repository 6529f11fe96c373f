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
	// maxHeldPerFrame bounds the reservations in one ReserveHeld frame.
	maxHeldPerFrame = 200
	// reserveCreditPerSecond refills the credit for reservation requests to other VMs.
	// It is the rate of requests that remains when all are denied.
	reserveCreditPerSecond = 10
	// maxReserveCredit bounds the credit.
	maxReserveCredit = 40
	// reserveCreditPerGrant is added to the credit by each grant.
	reserveCreditPerGrant = 2
	// sampleSize is the maximum number of engines considered per distance.
	sampleSize = 24
	// maxSampleTries bounds the engines examined, of which many may be at another
	// distance.
	maxSampleTries = 1024
	// sampleStride is a prime, which spreads the sample over the list.
	sampleStride = 7919
	// denialBackoff is how long an engine is not tried after a denial by its admitter.
	denialBackoff = 3 * retryInterval
)

// candidates returns the eligible engines at the smallest distance that has any. A
// request that has waited for denialBackoff gets those at all distances.
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

// sample returns the engines at a distance, or a random sample when there are many,
// so that the cost of a decision does not grow with the fleet.
func (c *Core) sample(all []*backend, distance int) []*backend {
	if len(all) <= sampleSize {
		return c.enginesAt(all, distance)
	}
	out := make([]*backend, 0, sampleSize)
	start := c.rand.IntN(len(all))
	// Half of the sample is for engines of which this VM is the admitter, as
	// reservations on them need no message.
	admitted := c.admittedEngines()
	for i := range admitted {
		b := admitted[(start+i)%len(admitted)]
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
	local := c.isAdmitter(b)
	free := b.report.CapacityBlocks - b.report.UsedBlocks
	if local {
		free = b.ledger.FreeBlocks(c.now)
	}
	return Candidate{
		Engine: b.Backend, Report: b.report, Local: local, Reservations: b.ledger.OpenReservations(), FreeBlocks: free,
		Outstanding: b.outstanding, DeniedUntil: b.deniedUntil, RecentlyFailed: c.failedRecently(b),
	}
}

// tryCandidates tries the remaining candidates of the request. It reports whether
// the request was placed or a reservation request was sent; otherwise the request
// waits for the next round.
func (c *Core) tryCandidates(r *request) bool {
	if !c.opts.Policy.Reserves() {
		return c.placeUnreserved(r)
	}
	sentAsks := 0
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
		if sentAsks == maxReserveAsksPerRound {
			break
		}
		sentAsks++
		if c.reserveRemote(r, b, admitter) {
			return true
		}
	}
	r.phase, r.admitter = waiting, ""
	return false
}

// reserveRemote requests a reservation from another VM, or falls back to the load
// report when the admitter is unknown. It reports whether the request was placed
// or a reservation request was sent.
func (c *Core) reserveRemote(r *request, b *backend, admitter string) bool {
	vm, _, known := c.members.Lookup(admitter)
	if !known {
		return c.placeFromReport(r, b)
	}
	if !c.takeReserveCredit() {
		return false
	}
	r.phase, r.admitter = reserving, admitter
	r.replyDeadline = c.now.Add(reserveTimeout)
	ask := r.reserveAsk
	c.send(vm, wire.Frame{ReserveAsk: &ask})
	return true
}

// takeReserveCredit takes the credit for one reservation request to another VM. A
// grant returns more than it cost, so only denied requests exhaust the credit: when
// all engines are full, a request to each of them for each queued request would
// flood the links.
func (c *Core) takeReserveCredit() bool {
	c.reserveCredit = min(maxReserveCredit, c.reserveCredit+reserveCreditPerSecond*c.now.Sub(c.reserveCreditAt).Seconds())
	c.reserveCreditAt = c.now
	if c.reserveCredit < 1 {
		return false
	}
	c.reserveCredit--
	return true
}

// placeUnreserved places the request on the first candidate without a reservation.
func (c *Core) placeUnreserved(r *request) bool {
	if len(r.candidates) == 0 {
		return false
	}
	b := c.backends[r.candidates[0].Engine.Name]
	r.admitter = ""
	c.dequeue(r)
	c.assign(r, b, "chosen without a reservation")
	return true
}

// placeFromReport places the request on an engine whose admitter cannot be reached,
// if a recent load report shows ample free memory.
func (c *Core) placeFromReport(r *request, b *backend) bool {
	if c.now.Sub(b.reportAt) > maxFallbackReportAge || !admit.FitsReport(b.report, r.PromptTokens, b.outstanding) {
		c.handleDenial(r, b, outcome.AdmitterLost)
		return false
	}
	r.admitter = ""
	c.dequeue(r)
	c.assign(r, b, "no admitter reachable; the last report shows room")
	return true
}

// dequeue removes a placed request from its queue and charges its workspace.
func (c *Core) dequeue(r *request) {
	c.queue(r.Service).Placed(r, c.state.Workspaces[r.Workspace].Weight)
}

func (c *Core) handleGrant(r *request, b *backend, admitter string) {
	r.admitter = admitter
	c.dequeue(r)
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
		b.unreachableUntil = c.now.Add(failureBackoff)
	}
	b.deniedUntil = c.now.Add(denialBackoff)
}

// handleReserveAsk replies to a reservation request from another VM.
func (c *Core) handleReserveAsk(from wire.VM, ask wire.ReserveAsk) {
	reply := wire.ReserveReply{Id: ask.Id, Engine: ask.Engine}
	b := c.backends[ask.Engine]
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
		cause := b.ledger.Reserve(c.now, c.admitRequest(ask, from.Name))
		reply.Granted = cause == outcome.None
		reply.Cause = string(cause)
		reply.FreeBlocks = max(0, b.ledger.FreeBlocks(c.now))
	}
	c.send(from, wire.Frame{ReserveReply: &reply})
}

// handleReserveReply places the request on a grant and tries its next candidate on
// a denial. Grants that arrive too late are returned.
func (c *Core) handleReserveReply(reply wire.ReserveReply) {
	r := c.requests[reply.Id]
	if r == nil || r.phase != reserving || r.reserveAsk.Engine != reply.Engine {
		if reply.Granted && (r == nil || r.backend == nil || r.backend.Name != reply.Engine) {
			c.returnUnusedGrant(reply)
		}
		return
	}
	b := c.backends[reply.Engine]
	if reply.Granted {
		c.reserveCredit = min(maxReserveCredit, c.reserveCredit+reserveCreditPerGrant)
	}
	if reply.Granted && b != nil && (!b.leaving || mutation.Enabled(mutation.LeavingIgnored)) {
		c.handleGrant(r, b, r.admitter)
		return
	}
	if reply.Granted {
		c.sendReserveEnd(r, 0, false)
	}
	if b != nil {
		c.handleDenial(r, b, outcome.Cause(reply.Cause))
	}
	r.phase = waiting
	c.tryCandidates(r)
}

// returnUnusedGrant releases a grant that arrived after the request stopped waiting
// for it.
func (c *Core) returnUnusedGrant(reply wire.ReserveReply) {
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
		b.deniedUntil = time.Time{}
		c.recordLength(reservation.Wire.Workspace, reservation.Wire.Service, reservation.Wire.Class, end.Tokens, end.Finished)
		c.placeQueued(c.queue(b.Service))
	}
}

// handleReserveHeld adopts reservations that another admitter granted before this
// VM became the admitter.
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

// handleMissingReply continues a request whose admitter did not reply: it places
// the request by the last load report, or else tries its next candidate.
func (c *Core) handleMissingReply(r *request) {
	b := c.backends[r.reserveAsk.Engine]
	c.sendReserveEnd(r, 0, false)
	r.phase = waiting
	if b != nil && c.placeFromReport(r, b) {
		return
	}
	c.tryCandidates(r)
}

// handleAdmitterFailure continues the requests that wait for a reply from a VM
// that failed or left.
func (c *Core) handleAdmitterFailure(vm string) {
	for _, id := range sortedKeys(c.requests) {
		if r := c.requests[id]; r != nil && r.phase == reserving && r.admitter == vm {
			c.handleMissingReply(r)
		}
	}
}

// handleSendFailure continues the request whose reservation request could not be
// sent.
func (c *Core) handleSendFailure(msg SendFailed) {
	if ask := msg.Frame.ReserveAsk; ask != nil {
		if r := c.requests[ask.Id]; r != nil && r.phase == reserving && r.reserveAsk.Engine == ask.Engine {
			r.admitter = ""
			c.handleMissingReply(r)
		}
	}
}

// handOverReservations sends the reservations of this VM's requests to the new
// admitters of their engines, and resets the ledgers of engines of which this VM is
// no longer the admitter.
func (c *Core) handOverReservations() {
	held := map[string][]wire.ReserveAsk{}
	for _, id := range sortedKeys(c.requests) {
		r := c.requests[id]
		if r.phase != placed || r.backend.ledger == nil || r.reserveAsk.Engine == "" {
			continue
		}
		if c.backends[r.backend.Name] != r.backend {
			// The engine has left the list: no admitter keeps a ledger for it.
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
		if b.ledger != nil && b.ledger.OpenReservations() > 0 && !c.isAdmitter(b) {
			b.ledger = admit.New(c.opts.Confidence)
			b.ledger.ApplyReport(c.now, b.report)
		}
	}
}
