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

// TestOpenAcceptsOnlyTokensOfSameSecretAndKind guards against tokens that were forged,
// changed, or issued for another kind of document.
func TestOpenAcceptsOnlyTokensOfSameSecretAndKind(t *testing.T) {
	sealer := seal.New[document]("secret-secret-secret", "kind")
	want := document{"a", 3}
	token := sealer.Seal(want)
	got, ok := sealer.Open(token)
	if !ok {
		t.Fatal("token of the same sealer was rejected")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for name, other := range map[string]*seal.Sealer[document]{
		"another secret": seal.New[document]("secret-secret-other", "kind"),
		"another kind":   seal.New[document]("secret-secret-secret", "other"),
	} {
		if _, ok := other.Open(token); ok {
			t.Errorf("sealer with %s accepted the token", name)
		}
	}
	for i := range token {
		changed := token[:i] + string(token[i]^1) + token[i+1:]
		if got, ok := sealer.Open(changed); ok && got != want {
			t.Errorf("token with byte %d changed was accepted", i)
		}
	}
}

// FuzzOpen checks that the document of an accepted token survives another round trip
// through Seal and Open.
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
			t.Errorf("%q was decoded as %v, whose own token is decoded differently", token, doc)
		}
	})
}
