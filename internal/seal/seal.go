// Package seal authenticates small documents that callers carry: resume tokens
// and tickets. They are not secret, but cannot be made or changed without the
// key that the entry VMs share.
package seal

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
		panic("seal: decoder options: " + err.Error())
	}
	return m
}()

// Sealer seals and opens documents of one kind, a struct type.
type Sealer[T any] struct{ key []byte }

// New returns a sealer whose documents are opened only by sealers with the same
// secret and kind.
func New[T any](secret, kind string) *Sealer[T] {
	mac := hmac.New(sha256.New, []byte(secret))
	_, _ = mac.Write([]byte("seal/" + kind))
	return &Sealer[T]{key: mac.Sum(nil)}
}

// Seal encodes and authenticates a document as URL-safe text.
func (s *Sealer[T]) Seal(doc T) string {
	body, err := cbor.Marshal(doc)
	if err != nil {
		panic("seal: document does not marshal: " + err.Error())
	}
	return encode(body) + separator + encode(s.mac(body))
}

// Open checks and decodes a document. ok is false for anything that Seal did
// not make with the same secret and kind.
func (s *Sealer[T]) Open(token string) (doc T, ok bool) {
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

func (s *Sealer[T]) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:macBytes]
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }
