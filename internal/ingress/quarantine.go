package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pimentohinge/pimentohinge/internal/control/poison"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	quarantinePrefix = "quarantines/"
	// quarantineSyncInterval is the interval at which a leader compares its quarantines with
	// the store.
	quarantineSyncInterval = 2 * time.Second
	// quarantineRetryDelay is the delay before a failed first read is repeated.
	quarantineRetryDelay = time.Second
	// maxStoredCrashes bounds the crashes in one stored quarantine; the newest are kept.
	maxStoredCrashes = 16
	segmentHashBytes = 16
)

// quarantineStore keeps the evidence for quarantines in the platform's store, so that it
// outlasts the VMs and reaches VMs that are cut off from the others. Each VM reads it once
// at its start; after that only the leader of a region reads and writes it.
type quarantineStore struct {
	store, staleStore *platform.Client
	log               *log.Logger
	metrics           *metrics
	// leads reports whether this VM is the leader of its region.
	leads func(time.Time) (followers int, leads bool)
	// onEvidence is called with the evidence read from the store.
	onEvidence func(poison.Evidence)
	// changed receives a token when the quarantines change.
	changed chan struct{}

	mu      sync.Mutex
	current map[string]poison.Quarantine // by key in the store
}

func newQuarantineStore(store *platform.Client, logger *log.Logger, m *metrics, leads func(time.Time) (int, bool), onEvidence func(poison.Evidence)) *quarantineStore {
	return &quarantineStore{
		store: store, staleStore: store.WithStaleReads(), log: logger, metrics: m, leads: leads, onEvidence: onEvidence,
		changed: make(chan struct{}, 1), current: map[string]poison.Quarantine{},
	}
}

// update replaces the quarantines that are in force and logs the differences.
func (q *quarantineStore) update(quarantines []poison.Quarantine) {
	next := map[string]poison.Quarantine{}
	for _, quarantine := range quarantines {
		next[quarantineKey(quarantine.Segment)] = quarantine
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, quarantine := range next {
		if old, ok := q.current[key]; !ok || len(old.Crashes) != len(quarantine.Crashes) {
			q.log.Warn().Str("event", "quarantine").Str("segment", quarantine.Segment).Int("crashes", len(quarantine.Crashes)).
				Str("lastServer", quarantine.Crashes[len(quarantine.Crashes)-1].Server).Time("until", quarantine.Until).Msg("")
		}
	}
	for key, quarantine := range q.current {
		if _, ok := next[key]; !ok {
			q.log.Info().Str("event", "quarantineEnded").Str("segment", quarantine.Segment).Msg("")
		}
	}
	q.current = next
	q.metrics.quarantined.Set(float64(len(next)))
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

func (q *quarantineStore) inForce() map[string]poison.Quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.current
}

// run reads the quarantines and, while this VM is a leader, keeps the store current until
// ctx ends.
func (q *quarantineStore) run(ctx context.Context) {
	for {
		if _, ok := q.read(ctx); ok {
			break
		}
		if !sleep.For(ctx, quarantineRetryDelay) {
			return
		}
	}
	// unused holds the stored quarantines that were not in force at the last comparison.
	unused := map[string]bool{}
	for q.waitForSync(ctx) {
		if _, leads := q.leads(time.Now()); !leads {
			unused = map[string]bool{}
			continue
		}
		if stored, ok := q.read(ctx); ok {
			unused = q.write(ctx, stored, unused)
		}
	}
}

// waitForSync waits until the next comparison is due. It reports false when ctx has ended.
func (q *quarantineStore) waitForSync(ctx context.Context) bool {
	timer := time.NewTimer(quarantineSyncInterval)
	defer timer.Stop()
	select {
	case <-q.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// storedQuarantine is a quarantine in the store.
type storedQuarantine struct {
	version int64
	crashes int
}

// read lists the stored quarantines by key and passes on their evidence.
func (q *quarantineStore) read(ctx context.Context) (map[string]storedQuarantine, bool) {
	listing, status := q.staleStore.List(ctx, quarantinePrefix)
	q.metrics.countStoreCall(quarantinePrefix, false, status)
	if status != platform.OK {
		return nil, false
	}
	stored := map[string]storedQuarantine{}
	var evidence poison.Evidence
	now := time.Now()
	for _, object := range listing.Objects {
		var value wire.StoredQuarantine
		if err := json.Unmarshal(object.Value, &value); err != nil || quarantineKey(value.Segment) != object.Key {
			q.log.Warn().Str("event", "quarantineUnread").Str("key", object.Key).Msg("")
			continue
		}
		stored[object.Key] = storedQuarantine{version: object.Version, crashes: len(value.Crashes)}
		for _, crash := range value.Crashes {
			age := now.UnixMilli() - int64(crash.UnixMs)
			evidence.Crashes = append(evidence.Crashes, poison.Crash{
				Server: crash.Server, At: poison.TimeOfAge(now, int(age)), Segments: []string{value.Segment},
			})
		}
	}
	if len(evidence.Crashes) > 0 {
		q.onEvidence(evidence)
	}
	return stored, true
}

// write stores the quarantines that are in force and deletes the others, if they were
// unused before. It returns the stored quarantines that are not in force.
func (q *quarantineStore) write(ctx context.Context, stored map[string]storedQuarantine, unused map[string]bool) map[string]bool {
	inForce := q.inForce()
	for key, quarantine := range inForce {
		old, exists := stored[key]
		if exists && old.crashes >= min(len(quarantine.Crashes), maxStoredCrashes) {
			continue
		}
		condition := platform.Condition{Absent: !exists, Version: old.version}
		_, status := q.store.Put(ctx, key, encodeQuarantine(quarantine), condition)
		q.log.Info().Str("event", "quarantineStored").Str("segment", quarantine.Segment).Str("status", status.String()).Msg("")
	}
	stillUnused := map[string]bool{}
	for key, old := range stored {
		if _, ok := inForce[key]; ok {
			continue
		}
		stillUnused[key] = true
		if unused[key] {
			q.store.Delete(ctx, key, platform.Condition{Version: old.version})
		}
	}
	return stillUnused
}

func encodeQuarantine(quarantine poison.Quarantine) []byte {
	value := wire.StoredQuarantine{Segment: quarantine.Segment, Crashes: []wire.StoredCrash{}}
	crashes := quarantine.Crashes[max(0, len(quarantine.Crashes)-maxStoredCrashes):]
	for _, crash := range crashes {
		value.Crashes = append(value.Crashes, wire.StoredCrash{Server: crash.Server, UnixMs: int(crash.At.UnixMilli())})
	}
	b, err := json.Marshal(value)
	if err != nil {
		panic("ingress: encode quarantine: " + err.Error())
	}
	return b
}

// quarantineKey returns the key of a segment's quarantine in the store. IDs of segments may
// hold any characters.
func quarantineKey(segment string) string {
	sum := sha256.Sum256([]byte(segment))
	return quarantinePrefix + hex.EncodeToString(sum[:segmentHashBytes])
}
