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
	frame := wire.Frame{Crashes: evidenceToWire(now, evidence)}
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
	p.onEvidence(dispatch.PeerEvidence{Evidence: evidenceFromWire(now, evidence), PassOn: gathers})
}

func evidenceToWire(now time.Time, evidence poison.Evidence) *wire.CrashEvidence {
	out := &wire.CrashEvidence{Crashes: []wire.Crash{}, Sound: []wire.SoundSegment{}}
	for _, crash := range evidence.Crashes {
		out.Crashes = append(out.Crashes, wire.Crash{
			Server: crash.Server, AgeMs: int(now.Sub(crash.At).Milliseconds()), Segments: crash.Segments,
		})
	}
	for _, proof := range evidence.Sound {
		out.Sound = append(out.Sound, wire.SoundSegment{Segment: proof.Segment, AgeMs: int(now.Sub(proof.At).Milliseconds())})
	}
	return out
}

func evidenceFromWire(now time.Time, evidence wire.CrashEvidence) poison.Evidence {
	var out poison.Evidence
	for _, crash := range evidence.Crashes {
		out.Crashes = append(out.Crashes, poison.Crash{Server: crash.Server, At: timeOfAge(now, crash.AgeMs), Segments: crash.Segments})
	}
	for _, proof := range evidence.Sound {
		out.Sound = append(out.Sound, poison.Proof{Segment: proof.Segment, At: timeOfAge(now, proof.AgeMs)})
	}
	return out
}

// timeOfAge returns the time that lies ageMs milliseconds, at least 0, in the past.
func timeOfAge(now time.Time, ageMs int) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
