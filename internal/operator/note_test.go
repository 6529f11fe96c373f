package operator_test

import (
	"strings"
	"testing"

	"github.com/pimentohinge/pimentohinge/internal/control/chain"
	"github.com/pimentohinge/pimentohinge/internal/operator"
)

// FuzzParseNote checks that a note that is read and valid leaves a state that
// is valid, too.
func FuzzParseNote(f *testing.F) {
	f.Add(`{"id":"a","added":{"services":[{"name":"s","kind":"model","model":"m"}]}}`)
	f.Add(`{"id":"b","added":{"workspaces":[{"name":"w","keyHashes":[],"services":["s"]}]},"withdrawn":{"services":["s"]}}`)
	f.Add(`{"id":"c","added":{"routes":[{"name":"r","service":"s","from":"a","to":"b"}]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		n, err := operator.ParseNote(strings.NewReader(text))
		if err != nil {
			return
		}
		s := chain.Empty()
		if len(s.Validate(n)) > 0 {
			return
		}
		next, ok := s.Apply(s.Next(n, 0))
		if !ok || next.Number != 1 {
			t.Errorf("a valid note does not apply: %s", text)
		}
		again := chain.FromSnapshot(next.Snapshot())
		if again.Number != next.Number || again.Hash != next.Hash || len(again.Workspaces) != len(next.Workspaces) {
			t.Errorf("the snapshot differs: %s", text)
		}
	})
}
