package poison

import (
	"time"

	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

// ToWire returns evidence as it is sent to other VMs: with ages, as their clocks differ.
func ToWire(now time.Time, evidence Evidence) *wire.CrashEvidence {
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

// FromWire returns evidence that another VM has sent.
func FromWire(now time.Time, evidence wire.CrashEvidence) Evidence {
	var out Evidence
	for _, crash := range evidence.Crashes {
		out.Crashes = append(out.Crashes, Crash{Server: crash.Server, At: TimeOfAge(now, crash.AgeMs), Segments: crash.Segments})
	}
	for _, proof := range evidence.Sound {
		out.Sound = append(out.Sound, Proof{Segment: proof.Segment, At: TimeOfAge(now, proof.AgeMs)})
	}
	return out
}

// TimeOfAge returns the time that lies ageMs milliseconds, at least 0, in the past.
func TimeOfAge(now time.Time, ageMs int) time.Time {
	return now.Add(-time.Duration(max(0, ageMs)) * time.Millisecond)
}
