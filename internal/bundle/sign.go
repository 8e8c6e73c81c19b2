// SPDX-License-Identifier: Apache-2.0

package bundle

import (
	"crypto/ed25519"
	"encoding/base64"

	"github.com/pkg/errors"
)

// signaturePrefix is signed together with the digest, so that a signature made with the
// same key for another purpose is not valid for a bundle.
const signaturePrefix = "switchbank bundle v1\n"

// Signature is a reviewer's signature of a bundle.
type Signature struct {
	Reviewer string `json:"reviewer"`
	// Value is the ed25519 signature in base64.
	Value string `json:"value"`
}

// ParsePublicKey decodes an ed25519 public key from base64.
func ParsePublicKey(s string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, &Error{"parse key", KindSignature, err}
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, &Error{"parse key", KindSignature, errors.Errorf("want %d bytes, have %d", ed25519.PublicKeySize, len(raw))}
	}
	return raw, nil
}

// ParsePrivateKey decodes an ed25519 private key from its seed in base64.
func ParsePrivateKey(s string) (ed25519.PrivateKey, error) {
	raw, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, &Error{"parse key", KindSignature, err}
	}
	if len(raw) != ed25519.SeedSize {
		return nil, &Error{"parse key", KindSignature, errors.Errorf("want %d bytes, have %d", ed25519.SeedSize, len(raw))}
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// Sign returns a reviewer's signature of the bundle with the given digest.
func Sign(digest, reviewer string, key ed25519.PrivateKey) Signature {
	value := ed25519.Sign(key, []byte(signaturePrefix+digest))
	return Signature{Reviewer: reviewer, Value: base64.StdEncoding.EncodeToString(value)}
}

// Verify checks that as many reviewers as review requires have signed the digest.
func Verify(digest string, sigs []Signature, review Review) error {
	signed := make(map[string]bool)
	for _, s := range sigs {
		if verifyOne(digest, s, review.Reviewers) {
			signed[s.Reviewer] = true
		}
	}
	if len(signed) < review.Required {
		return &Error{"verify", KindSignature, errors.Errorf("%d of %d signatures asked for are good", len(signed), review.Required)}
	}
	return nil
}

// verifyOne reports whether a signature is valid and by one of the reviewers.
func verifyOne(digest string, s Signature, reviewers []Reviewer) bool {
	for _, r := range reviewers {
		if r.Name != s.Reviewer {
			continue
		}
		key, err := ParsePublicKey(r.Key)
		if err != nil {
			return false
		}
		value, err := base64.StdEncoding.DecodeString(s.Value)
		return err == nil && ed25519.Verify(key, []byte(signaturePrefix+digest), value)
	}
	return false
}
