package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/store"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

const (
	evacuationKey = "evacuations/" + otherDataCentre
	// copyAge is the age of the copy from which the store comes back, and restoreOutage how long
	// it is away.
	copyAge       = 2 * time.Second
	restoreOutage = 300 * time.Millisecond
	// unstableTime is how long after the store was disturbed evacuations have no bound.
	unstableTime = 4 * time.Second
)

// evacuationMs is the bound in the settings of the VMs; 0 where nothing is evacuated.
func (f *fleet) evacuationMs() int {
	if f.opts.Profile == profileOperator {
		return evacuationBoundMs
	}
	return 0
}

// evacuate evacuates otherDataCentre for some seconds, unless it is evacuated.
func (f *fleet) evacuate() {
	lasts := f.milliseconds(4000, 7000)
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.evacuated); n > 0 && f.evacuated[n-1][1].IsZero() {
		return
	}
	f.store.Set(evacuationKey, object{})
	f.evacuated = append(f.evacuated, [2]time.Time{time.Now()})
	time.AfterFunc(lasts, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.store.Delete(evacuationKey)
		f.evacuated[len(f.evacuated)-1][1] = time.Now()
	})
}

// restoreStore lets the store come back from a copy. The operator and the servers write again what
// it lacks.
func (f *fleet) restoreStore() {
	copied := f.store.Version()
	time.AfterFunc(copyAge, func() {
		f.store.SetFaults(store.Faults{Outage: true})
		time.Sleep(restoreOutage)
		f.mu.Lock()
		now := time.Now()
		f.storeDisturbed = append(f.storeDisturbed, [2]time.Time{now.Add(-restoreOutage), now.Add(unstableTime)})
		f.store.Restore(min(copied, f.store.Version()))
		if n := len(f.evacuated); n > 0 && f.evacuated[n-1][1].IsZero() {
			f.store.Set(evacuationKey, object{})
		} else {
			f.store.Delete(evacuationKey)
		}
		servers := append(append([]*server{}, f.engines...), f.plain...)
		f.mu.Unlock()
		for _, s := range servers {
			s.announceAgain()
		}
		f.store.SetFaults(store.Faults{DelayMs: storeRoundTripMs})
	})
}

// checkEvacuation checks that a run did not begin in an evacuated data centre after its bound.
func (f *fleet) checkEvacuation(rec record, run upstream.Run, s *server) {
	if s == nil || s.dataCentre() != otherDataCentre {
		return
	}
	f.mu.Lock()
	evacuated, disturbed := slices.Clone(f.evacuated), slices.Clone(f.storeDisturbed)
	f.mu.Unlock()
	bound := evacuationBoundMs * time.Millisecond
	for _, interval := range evacuated {
		from, to := interval[0].Add(bound), interval[1]
		if run.Started.Before(from) || !to.IsZero() && run.Started.After(to) || disturbed.touches(interval[0], run.Started) {
			continue
		}
		f.violate(Violation{ruleEvacuated, rec.attempt, fmt.Sprintf("began on %s %v after the evacuation", s.id, run.Started.Sub(interval[0]))})
	}
}
