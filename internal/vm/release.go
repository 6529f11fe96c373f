package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/pause"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// snapshotEvery is the number of revisions between snapshots.
	snapshotEvery = 64
	// keepRevisions is the number of revisions that the platform keeps before a snapshot.
	keepRevisions = 256
	appendTries   = 20
	catchUpPause  = 100 * time.Millisecond
)

func revisionKey(n int) string { return fmt.Sprintf("%s%012d", keyRevisions, n) }

// Release appends a release note to the configuration chain.
func (v *VM) Release(ctx context.Context, note wire.ReleaseNote) operator.ReleaseResult {
	c := v.state.Load()
	state, later := c.State, c.History
	if note.Base == 0 {
		note.Base = state.Number
	}
	for range appendTries {
		if n, found := submittedBefore(later, note); found {
			return n
		}
		if both := chain.Conflicts(note, after(later, note.Base)); len(both) > 0 {
			return operator.ReleaseResult{Status: operator.ReleaseConflict, Revision: state.Number, Reasons: both}
		}
		if reasons := state.Validate(note); len(reasons) > 0 {
			return operator.ReleaseResult{Status: operator.ReleaseInvalid, Revision: state.Number, Reasons: reasons}
		}
		rev := state.Next(note, time.Now().UnixMilli())
		found, st := v.appendRevision(ctx, rev)
		switch st {
		case platform.OK:
		case platform.ResponseLost:
			return operator.ReleaseResult{Status: operator.ReleaseUnknown, Revision: rev.Number}
		default:
			return operator.ReleaseResult{Status: operator.ReleasePlatformUnavailable, Revision: state.Number}
		}
		next, follows := state.Apply(found)
		if !follows {
			return operator.ReleaseResult{
				Status: operator.ReleaseUnknown, Revision: state.Number,
				Reasons: []string{"the platform's revision does not follow the one in force here"},
			}
		}
		v.tell(control.RevisionsRead{Revisions: []wire.Revision{found}})
		state, later = next, append(later, found)
		if found.Note.Id == note.Id {
			v.log.Info().Str("event", "release").Str("note", note.Id).Str("author", note.Author).
				Int("revision", found.Number).Strs("touched", chain.TouchedObjects(note)).Msg("")
			v.compact(ctx, state)
			return operator.ReleaseResult{Status: operator.ReleaseAccepted, Revision: found.Number}
		}
	}
	return operator.ReleaseResult{Status: operator.ReleaseConflict, Revision: state.Number, Reasons: []string{"too many other notes at the same time"}}
}

func after(list []wire.Revision, n int) []wire.Revision {
	for i, r := range list {
		if r.Number > n {
			return list[i:]
		}
	}
	return nil
}

// submittedBefore recognises a note that is in the chain already.
func submittedBefore(list []wire.Revision, note wire.ReleaseNote) (operator.ReleaseResult, bool) {
	for _, r := range list {
		if r.Note.Id != note.Id {
			continue
		}
		before := r.Note
		before.Base, note.Base = 0, 0
		if sameNote(before, note) {
			return operator.ReleaseResult{Status: operator.ReleaseAccepted, Revision: r.Number}, true
		}
		return operator.ReleaseResult{
			Status: operator.ReleaseConflict, Revision: r.Number,
			Reasons: []string{"note id " + note.Id + " was used for another note"},
		}, true
	}
	return operator.ReleaseResult{}, false
}

func sameNote(a, b wire.ReleaseNote) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// appendRevision creates a revision on condition that its number is free, and
// returns the revision that has the number now. Lost means that this is not
// known.
func (v *VM) appendRevision(ctx context.Context, rev wire.Revision) (wire.Revision, platform.Status) {
	value, err := json.Marshal(rev)
	if err != nil {
		panic("vm: revision does not marshal: " + err.Error())
	}
	_, st := v.platform.Put(ctx, revisionKey(rev.Number), value, platform.Condition{Absent: true})
	if st == platform.OK {
		return rev, platform.OK
	}
	if st == platform.Unavailable {
		return rev, platform.Unavailable
	}
	if mutation.Enabled(mutation.LostAppendAccepted) {
		return rev, platform.OK
	}
	for range 10 {
		o, read := v.platform.Get(ctx, revisionKey(rev.Number))
		var found wire.Revision
		switch {
		case read == platform.OK && json.Unmarshal(o.Value, &found) == nil:
			return found, platform.OK
		case read == platform.NotFound && st == platform.ResponseLost:
			return v.appendRevision(ctx, rev)
		}
		if !pause.For(ctx, catchUpPause) {
			break
		}
	}
	return rev, platform.ResponseLost
}

// compact writes a snapshot from time to time and drops revisions that are far
// behind it, so that a starting VM reads little.
func (v *VM) compact(ctx context.Context, s *chain.State) {
	if s.Number%snapshotEvery != 0 {
		return
	}
	cond := platform.Condition{Absent: true}
	if o, st := v.platform.Get(ctx, keySnapshot); st == platform.OK {
		var old wire.Snapshot
		if json.Unmarshal(o.Value, &old) == nil && old.Number >= s.Number {
			return
		}
		cond = platform.Condition{Version: o.Version}
	}
	value, err := json.Marshal(s.Snapshot())
	if err != nil {
		panic("vm: snapshot does not marshal: " + err.Error())
	}
	if _, st := v.platform.Put(ctx, keySnapshot, value, cond); st != platform.OK {
		return
	}
	for n := s.Number - keepRevisions - snapshotEvery; n < s.Number-keepRevisions; n++ {
		if n > 0 {
			v.platform.Delete(ctx, revisionKey(n), platform.Condition{})
		}
	}
}

// History returns the newest revisions in ascending order.
func (v *VM) History() []wire.Revision { return v.state.Load().History }
