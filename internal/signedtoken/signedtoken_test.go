package signedtoken_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pimentohinge/pimentohinge/internal/signedtoken"
)

type document struct {
	Name  string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// TestVerifyAcceptsOnlyTokensOfSameSecretAndKind guards against tokens that were forged,
// changed, or issued for another kind of document.
func TestVerifyAcceptsOnlyTokensOfSameSecretAndKind(t *testing.T) {
	signer := signedtoken.New[document]("secret-secret-secret", "kind")
	want := document{"a", 3}
	token := signer.Sign(want)
	got, ok := signer.Verify(token)
	if !ok {
		t.Fatal("token of the same signer was rejected")
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for name, other := range map[string]*signedtoken.Signer[document]{
		"another secret": signedtoken.New[document]("secret-secret-other", "kind"),
		"another kind":   signedtoken.New[document]("secret-secret-secret", "other"),
	} {
		if _, ok := other.Verify(token); ok {
			t.Errorf("signer with %s accepted the token", name)
		}
	}
	for i := range token {
		changed := token[:i] + string(token[i]^1) + token[i+1:]
		if got, ok := signer.Verify(changed); ok && got != want {
			t.Errorf("token with byte %d changed was accepted", i)
		}
	}
}

// FuzzVerify checks that the document of an accepted token survives another round trip
// through Sign and Verify.
func FuzzVerify(f *testing.F) {
	s := signedtoken.New[document]("secret-secret-secret", "kind")
	f.Add(s.Sign(document{"a", 3}))
	f.Add(".")
	f.Add(strings.Repeat("A", 3000))
	f.Fuzz(func(t *testing.T, token string) {
		doc, ok := s.Verify(token)
		if !ok {
			return
		}
		if again, ok := s.Verify(s.Sign(doc)); !ok || again != doc {
			t.Errorf("%q was decoded as %v, whose own token is decoded differently", token, doc)
		}
	})
}
