package operator_test

import (
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/control/configchain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
)

// FuzzParseNote checks that every note that parses and validates can be applied,
// and that the resulting configuration survives a round trip through a snapshot.
func FuzzParseNote(f *testing.F) {
	f.Add(`{"id":"a","added":{"services":[{"name":"s","kind":"model","model":"m"}]}}`)
	f.Add(`{"id":"b","added":{"workspaces":[{"name":"w","keyHashes":[],"services":["s"]}]},"withdrawn":{"services":["s"]}}`)
	f.Add(`{"id":"c","added":{"routes":[{"name":"r","service":"s","from":"a","to":"b"}]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		note, err := operator.ParseNote(strings.NewReader(text))
		if err != nil {
			return
		}
		state := configchain.Empty()
		if len(state.Validate(note)) > 0 {
			return
		}
		next, ok := state.Apply(state.Next(note, 0))
		if !ok || next.Number != 1 {
			t.Errorf("valid note could not be applied: %s", text)
		}
		restored := configchain.FromSnapshot(next.Snapshot())
		if restored.Number != next.Number || restored.Hash != next.Hash || len(restored.Workspaces) != len(next.Workspaces) {
			t.Errorf("state restored from the snapshot differs: %s", text)
		}
	})
}
