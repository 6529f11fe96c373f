package vm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/control"
	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/mutation"
	"github.com/pimentohinge/pimentohinge/internal/operator"
	"github.com/pimentohinge/pimentohinge/internal/sleep"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
	"github.com/pimentohinge/pimentohinge/platform"
)

const (
	// revisionsPerSnapshot is the number of revisions from one snapshot to the next.
	revisionsPerSnapshot = 64
	// retainedRevisions is the number of revisions before a snapshot that stay in
	// the platform.
	retainedRevisions = 256
	maxAppendAttempts = 20
	readRetryInterval = 100 * time.Millisecond
)

func revisionKey(n int) string { return fmt.Sprintf("%s%012d", revisionKeyPrefix, n) }

// Release validates a release note and appends it to the chain of configuration
// revisions. If another VM appends a revision first, it tries again after that one.
func (v *VM) Release(ctx context.Context, note wire.ReleaseNote) operator.ReleaseResult {
	current := v.config.Load()
	state, history := current.State, current.History
	if note.Base == 0 {
		note.Base = state.Number
	}
	for range maxAppendAttempts {
		if result, submitted := findSubmitted(history, note); submitted {
			return result
		}
		if conflicts := configchain.Conflicts(note, revisionsAfter(history, note.Base)); len(conflicts) > 0 {
			return operator.ReleaseResult{Status: operator.ReleaseConflict, Revision: state.Number, Reasons: conflicts}
		}
		if reasons := state.Validate(note); len(reasons) > 0 {
			return operator.ReleaseResult{Status: operator.ReleaseInvalid, Revision: state.Number, Reasons: reasons}
		}
		revision := state.Next(note, time.Now().UnixMilli())
		stored, status := v.appendRevision(ctx, revision)
		switch status {
		case platform.OK:
		case platform.ResponseLost:
			return operator.ReleaseResult{Status: operator.ReleaseUnknown, Revision: revision.Number}
		default:
			return operator.ReleaseResult{Status: operator.ReleasePlatformUnavailable, Revision: state.Number}
		}
		next, follows := state.Apply(stored)
		if !follows {
			return operator.ReleaseResult{
				Status: operator.ReleaseUnknown, Revision: state.Number,
				Reasons: []string{"the platform's revision does not follow the one in force here"},
			}
		}
		v.enqueue(control.RevisionsRead{Revisions: []wire.Revision{stored}})
		state, history = next, append(history, stored)
		if stored.Note.Id == note.Id {
			v.log.Info().Str("event", "release").Str("note", note.Id).Str("author", note.Author).
				Int("revision", stored.Number).Strs("touched", configchain.TouchedObjects(note)).Msg("")
			v.compact(ctx, state)
			return operator.ReleaseResult{Status: operator.ReleaseAccepted, Revision: stored.Number}
		}
	}
	return operator.ReleaseResult{Status: operator.ReleaseConflict, Revision: state.Number, Reasons: []string{"too many other notes at the same time"}}
}

// revisionsAfter returns the revisions with a higher number. The list is in
// ascending order.
func revisionsAfter(history []wire.Revision, number int) []wire.Revision {
	for i, r := range history {
		if r.Number > number {
			return history[i:]
		}
	}
	return nil
}

// findSubmitted searches the history for the id of a note. The same note again is
// accepted as its existing revision; a different note with that id is a conflict.
func findSubmitted(history []wire.Revision, note wire.ReleaseNote) (operator.ReleaseResult, bool) {
	for _, r := range history {
		if r.Note.Id != note.Id {
			continue
		}
		existing := r.Note
		existing.Base, note.Base = 0, 0
		if equalNotes(existing, note) {
			return operator.ReleaseResult{Status: operator.ReleaseAccepted, Revision: r.Number}, true
		}
		return operator.ReleaseResult{
			Status: operator.ReleaseConflict, Revision: r.Number,
			Reasons: []string{"note id " + note.Id + " was used for another note"},
		}, true
	}
	return operator.ReleaseResult{}, false
}

// equalNotes compares two notes by their JSON encoding.
func equalNotes(a, b wire.ReleaseNote) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// appendRevision creates a revision if its number is unused and returns the
// revision that is stored under the number. The status is ResponseLost if it could
// not determine which one that is.
func (v *VM) appendRevision(ctx context.Context, revision wire.Revision) (wire.Revision, platform.Status) {
	value, err := json.Marshal(revision)
	if err != nil {
		panic("vm: revision does not marshal: " + err.Error())
	}
	_, status := v.platform.Put(ctx, revisionKey(revision.Number), value, platform.Condition{Absent: true})
	if status == platform.OK {
		return revision, platform.OK
	}
	if status == platform.Unavailable {
		return revision, platform.Unavailable
	}
	if mutation.Enabled(mutation.LostAppendAccepted) {
		return revision, platform.OK
	}
	for range 10 {
		object, readStatus := v.platform.Get(ctx, revisionKey(revision.Number))
		var found wire.Revision
		switch {
		case readStatus == platform.OK && json.Unmarshal(object.Value, &found) == nil:
			return found, platform.OK
		case readStatus == platform.NotFound && status == platform.ResponseLost:
			return v.appendRevision(ctx, revision)
		}
		if !sleep.For(ctx, readRetryInterval) {
			break
		}
	}
	return revision, platform.ResponseLost
}

// compact writes a snapshot every revisionsPerSnapshot revisions and deletes old
// revisions, which limits how much a starting VM has to read.
func (v *VM) compact(ctx context.Context, state *configchain.State) {
	if state.Number%revisionsPerSnapshot != 0 {
		return
	}
	cond := platform.Condition{Absent: true}
	if object, status := v.platform.Get(ctx, snapshotKey); status == platform.OK {
		var old wire.Snapshot
		if json.Unmarshal(object.Value, &old) == nil && old.Number >= state.Number {
			return
		}
		cond = platform.Condition{Version: object.Version}
	}
	value, err := json.Marshal(state.Snapshot())
	if err != nil {
		panic("vm: snapshot does not marshal: " + err.Error())
	}
	if _, status := v.platform.Put(ctx, snapshotKey, value, cond); status != platform.OK {
		return
	}
	for n := state.Number - retainedRevisions - revisionsPerSnapshot; n < state.Number-retainedRevisions; n++ {
		if n > 0 {
			v.platform.Delete(ctx, revisionKey(n), platform.Condition{})
		}
	}
}

// History returns the latest revisions in ascending order.
func (v *VM) History() []wire.Revision { return v.config.Load().History }
