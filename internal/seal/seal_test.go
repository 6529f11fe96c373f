package seal_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/seal"
)

type document struct {
	Name  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

func TestOpenAcceptsOnlyItsOwnDocuments(t *testing.T) {
	s := seal.New[document]("secret-secret-secret", "kind")
	want := document{"a", 3}
	token := s.Seal(want)
	got, ok := s.Open(token)
	if !ok {
		t.Fatal("own document does not open")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for name, other := range map[string]*seal.Sealer[document]{
		"another secret": seal.New[document]("secret-secret-other", "kind"),
		"another kind":   seal.New[document]("secret-secret-secret", "other"),
	} {
		if _, ok := other.Open(token); ok {
			t.Errorf("opened with %s", name)
		}
	}
	for i := range token {
		changed := token[:i] + string(token[i]^1) + token[i+1:]
		if got, ok := s.Open(changed); ok && got != want {
			t.Errorf("opened with byte %d changed", i)
		}
	}
}

func FuzzOpen(f *testing.F) {
	s := seal.New[document]("secret-secret-secret", "kind")
	f.Add(s.Seal(document{"a", 3}))
	f.Add(".")
	f.Add(strings.Repeat("A", 3000))
	f.Fuzz(func(t *testing.T, token string) {
		doc, ok := s.Open(token)
		if !ok {
			return
		}
		if again, ok := s.Open(s.Seal(doc)); !ok || again != doc {
			t.Errorf("%q opened as %v", token, doc)
		}
	})
}
