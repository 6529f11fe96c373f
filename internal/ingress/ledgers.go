package ingress

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// totalsInterval is the minimum interval between two sums that a gatherer sends to the
	// others.
	totalsInterval = 300 * time.Millisecond
	// maxSentLedgers is the number of ledgers that are kept to be subtracted from sums.
	maxSentLedgers = 32
)

// sentLedgers keeps the newest ledgers that this VM has sent to a gatherer, by beat.
type sentLedgers struct {
	ring [maxSentLedgers]struct {
		beat    int64
		entries map[string]dispatch.LedgerEntry
	}
	next int
}

func (s *sentLedgers) add(beat int64, entries map[string]dispatch.LedgerEntry) {
	s.ring[s.next].beat, s.ring[s.next].entries = beat, entries
	s.next = (s.next + 1) % maxSentLedgers
}

// subtract removes the ledger with the beat from a sum.
func (s *sentLedgers) subtract(beat int64, sum map[string]dispatch.LedgerEntry) {
	for _, sent := range s.ring {
		if sent.beat != beat {
			continue
		}
		for id, e := range sent.entries {
			if sum[id] = sum[id].Minus(e); sum[id] == (dispatch.LedgerEntry{}) {
				delete(sum, id)
			}
		}
		return
	}
}

// outgoing is a frame for a VM. Frames are sent when p.mu is not held, as a frame that
// cannot be sent is reported at once.
type outgoing struct {
	to    wire.VM
	frame wire.Frame
}

// sendLedger sends a ledger to the VMs that need it. It does not block.
func (p *peerSet) sendLedger(action dispatch.PublishLedger) {
	now := time.Now()
	p.mu.Lock()
	links := p.links
	var frames []outgoing
	if links != nil {
		frames = p.ledgerFrames(now, action)
	}
	p.mu.Unlock()
	for _, out := range frames {
		links.Send(out.to, out.frame)
	}
}

// ledgerFrames returns the frames for a ledger. p.mu must be held.
func (p *peerSet) ledgerFrames(now time.Time, action dispatch.PublishLedger) []outgoing {
	gatherer := p.vms.Gatherer(now, p.self.DataCentre)
	gathers := gatherer.Name == p.self.Name
	if gatherer.Name != p.lastGatherer {
		p.lastGatherer = gatherer.Name
		p.log.Info().Str("event", "gatherer").Str("vm", gatherer.Name).Bool("self", gathers).Msg("")
	}
	switch {
	case action.Scope == dispatch.ScopeVM && !gathers:
		return []outgoing{p.ownLedgerFrame(now, gatherer, action.Entries)}
	case action.Scope == dispatch.ScopeDataCentre && gathers:
		return p.totalFrames(now, action)
	case action.Scope == dispatch.ScopeRemote && gathers:
		return p.remoteFrames(now, action.Entries)
	}
	return nil
}

// remoteFrames returns the sum of the other data centres for the followers of this VM, and
// makes this VM known to the VMs of its data centre that do not follow it. p.mu must be
// held.
func (p *peerSet) remoteFrames(now time.Time, entries map[string]dispatch.LedgerEntry) []outgoing {
	remote := true
	ledger := wire.Ledger{Remote: &remote, Entries: ledgerToWire(entries)}
	var frames []outgoing
	for _, vm := range p.vms.Followers(now) {
		frames = append(frames, outgoing{vm, wire.Frame{Ledger: &ledger}})
	}
	for _, vm := range p.vms.Strangers(now) {
		p.vms.Asked(now, vm.Name)
		frames = append(frames, outgoing{vm, redirectFrame(p.self)})
	}
	return frames
}

// ownLedgerFrame returns the ledger of this VM for its gatherer. p.mu must be held.
func (p *peerSet) ownLedgerFrame(now time.Time, gatherer wire.VM, entries map[string]dispatch.LedgerEntry) outgoing {
	p.vms.Asked(now, gatherer.Name)
	beat := p.beats.Next(now)
	p.sent.add(beat, entries)
	return outgoing{gatherer, p.ledgerFrame(gatherer, beat, wire.Ledger{Entries: ledgerToWire(entries)})}
}

// totalFrames returns the sum of this data centre for its VMs and, less often, for the
// other gatherers. p.mu must be held.
func (p *peerSet) totalFrames(now time.Time, action dispatch.PublishLedger) []outgoing {
	var frames []outgoing
	beat := p.beats.Next(now)
	total := wire.Ledger{DataCentre: &p.self.DataCentre, Entries: ledgerToWire(action.Entries)}
	for _, vm := range p.vms.Followers(now) {
		forVM := total
		if number, ok := action.Included[vm.Name]; ok {
			forVM.Includes = nilIf0(int(number))
		}
		frames = append(frames, outgoing{vm, p.ledgerFrame(vm, beat, forVM)})
	}
	if now.Before(p.totalsAt) {
		return frames
	}
	p.totalsAt = now.Add(totalsInterval)
	canLead := p.canRead()
	total.CanLead = &canLead
	for _, vm := range p.vms.OtherGatherers(now) {
		p.vms.Asked(now, vm.Name)
		frames = append(frames, outgoing{vm, p.ledgerFrame(vm, beat, total)})
	}
	return frames
}

// ledgerFrame returns a frame with a ledger for a VM and the confirmations of this VM's
// reads.
func (p *peerSet) ledgerFrame(vm wire.VM, beat int64, ledger wire.Ledger) wire.Frame {
	number := int(beat)
	ledger.Beat, ledger.Confirmed = &number, p.beats.Confirmations(vm.Name)
	return wire.Frame{Ledger: &ledger}
}

// receiveLedger processes a ledger of another VM or a sum of several. If this VM is not the
// gatherer, it names the gatherer to the sender of a ledger.
func (p *peerSet) receiveLedger(from wire.VM, ledger *wire.Ledger) {
	if ledger.Beat != nil {
		p.beats.Receive(from.Name, int64(*ledger.Beat))
	}
	for _, confirmed := range ledger.Confirmed {
		p.receiveConfirmed(confirmed)
	}
	now := time.Now()
	p.mu.Lock()
	links, gatherer := p.links, p.vms.Gatherer(now, p.self.DataCentre)
	msg, use := p.classifyLedger(now, from, gatherer, ledger)
	p.mu.Unlock()
	switch use {
	case useLedger:
		p.onLedger(msg)
	case redirectSender:
		if links != nil && gatherer.Name != from.Name {
			links.Send(from, redirectFrame(gatherer))
		}
	}
}

// redirectFrame tells a VM which one is the gatherer.
func redirectFrame(gatherer wire.VM) wire.Frame {
	return wire.Frame{Ledger: &wire.Ledger{Gatherer: &gatherer, Entries: []wire.LedgerEntry{}}}
}

// ledgerUse is what is done with a received ledger.
type ledgerUse int

const (
	ignoreLedger ledgerUse = iota
	useLedger
	// redirectSender ignores the ledger and names the gatherer to its sender.
	redirectSender
)

// classifyLedger returns the message for a ledger, and what is to be done with it. p.mu
// must be held.
func (p *peerSet) classifyLedger(now time.Time, from, gatherer wire.VM, ledger *wire.Ledger) (dispatch.PeerLedger, ledgerUse) {
	msg := dispatch.PeerLedger{Source: from.Name, Entries: ledgerFromWire(ledger.Entries)}
	if ledger.Beat != nil {
		msg.Number = int64(*ledger.Beat)
	}
	ifFromGatherer := ignoreLedger
	if gatherer.Name == from.Name {
		ifFromGatherer = useLedger
	}
	ifGatherer := redirectSender
	if gatherer.Name == p.self.Name {
		ifGatherer = useLedger
	}
	switch {
	case ledger.Gatherer != nil:
		p.vms.Add(*ledger.Gatherer)
		return msg, ignoreLedger
	case ledger.Region != nil && from.Region == p.self.Region:
		return msg, ignoreLedger
	case ledger.Region != nil:
		// A build without gatherers.
		msg.Source, msg.Remote = *ledger.Region, true
		return msg, useLedger
	case ledger.Remote != nil:
		msg.Remote, msg.Complete = true, true
		return msg, ifFromGatherer
	case ledger.DataCentre != nil && *ledger.DataCentre != p.self.DataCentre:
		msg.Source, msg.Remote = *ledger.DataCentre, true
		p.vms.HeardCanLead(now, from, ledger.CanLead != nil && *ledger.CanLead)
		return msg, ifGatherer
	case ledger.DataCentre != nil:
		msg.Complete = true
		if ledger.Includes != nil {
			p.sent.subtract(int64(*ledger.Includes), msg.Entries)
		}
		return msg, ifFromGatherer
	}
	p.vms.HeardLedger(now, from)
	return msg, ifGatherer
}

func ledgerToWire(entries map[string]dispatch.LedgerEntry) []wire.LedgerEntry {
	out := make([]wire.LedgerEntry, 0, len(entries))
	for id, entry := range entries {
		out = append(out, wire.LedgerEntry{
			Server: id, Requests: entry.Requests, Tokens: entry.Tokens, Reading: entry.PrefillTokens,
			Failed: nilIf0(entry.Failed), Served: nilIf0(entry.Served),
		})
	}
	return out
}

func ledgerFromWire(entries []wire.LedgerEntry) map[string]dispatch.LedgerEntry {
	out := make(map[string]dispatch.LedgerEntry, len(entries))
	for _, entry := range entries {
		out[entry.Server] = dispatch.LedgerEntry{
			Requests: entry.Requests, Tokens: entry.Tokens, PrefillTokens: entry.Reading,
			Failed: valueOr0(entry.Failed), Served: valueOr0(entry.Served),
		}
	}
	return out
}

// nilIf0 returns a pointer to n, or nil if n is 0, so that the field is omitted.
func nilIf0(n int) *int {
	if n == 0 {
		return nil
	}
	return &n
}

func valueOr0(n *int) int {
	if n == nil {
		return 0
	}
	return *n
}
