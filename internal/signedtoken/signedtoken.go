// Package signedtoken issues and verifies tokens that callers hold: resume tokens and
// tickets. A token is a small document in CBOR with an HMAC. Its content is not
// encrypted, but only holders of the secret that the entry VMs share can create or
// change it.
package signedtoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	macBytes      = 16
	maxTokenBytes = 2048
	separator     = "."
)

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxArrayElements: 16,
		MaxMapPairs: 64, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic("signedtoken: decoder options: " + err.Error())
	}
	return m
}()

// Signer creates and verifies tokens for documents of one kind. T is the struct
// type of the document.
type Signer[T any] struct{ key []byte }

// New returns a signer. Only signers with the same secret and kind accept its
// tokens.
func New[T any](secret, kind string) *Signer[T] {
	mac := hmac.New(sha256.New, []byte(secret))
	// The prefix is part of the token format: with another one, all VMs would reject
	// the tokens issued before.
	_, _ = mac.Write([]byte("seal/" + kind))
	return &Signer[T]{key: mac.Sum(nil)}
}

// Sign returns the URL-safe token of a document.
func (s *Signer[T]) Sign(doc T) string {
	body, err := cbor.Marshal(doc)
	if err != nil {
		panic("signedtoken: encode document: " + err.Error())
	}
	return encode(body) + separator + encode(s.mac(body))
}

// Verify verifies a token and decodes its document. ok is false for any text that
// Sign did not return with the same secret and kind.
func (s *Signer[T]) Verify(token string) (doc T, ok bool) {
	var zero T
	if len(token) > maxTokenBytes {
		return zero, false
	}
	bodyText, macText, found := strings.Cut(token, separator)
	if !found {
		return zero, false
	}
	body, err := base64.RawURLEncoding.DecodeString(bodyText)
	if err != nil {
		return zero, false
	}
	receivedMAC, err := base64.RawURLEncoding.DecodeString(macText)
	if err != nil || !hmac.Equal(receivedMAC, s.mac(body)) {
		return zero, false
	}
	if err := decoder.Unmarshal(body, &doc); err != nil {
		return zero, false
	}
	return doc, true
}

func (s *Signer[T]) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
