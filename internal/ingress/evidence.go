package ingress

import (
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control/dispatch"
	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// sendEvidence sends evidence about crashes to the gatherer of this data centre or, if this
// VM is the gatherer, to its followers and to the other gatherers. It does not block.
func (p *peerSet) sendEvidence(evidence poison.Evidence) {
	now := time.Now()
	p.mu.Lock()
	links := p.links
	receivers := []wire.VM{p.vms.Gatherer(now, p.self.DataCentre)}
	if p.vms.Gathers(now) {
		receivers = append(p.vms.Followers(now), p.vms.OtherGatherers(now)...)
	}
	p.mu.Unlock()
	if links == nil {
		return
	}
	frame := wire.Frame{Crashes: poison.ToWire(now, evidence)}
	for _, vm := range receivers {
		links.Send(vm, frame)
	}
}

// receiveEvidence processes evidence of another VM.
func (p *peerSet) receiveEvidence(evidence wire.CrashEvidence) {
	now := time.Now()
	p.mu.Lock()
	gathers := p.vms.Gathers(now)
	p.mu.Unlock()
	p.onEvidence(dispatch.PeerEvidence{Evidence: poison.FromWire(now, evidence), PassOn: gathers})
}
