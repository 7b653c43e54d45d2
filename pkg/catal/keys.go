package catal

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	keyPrefix = "chv_"
	// secretBytes is the length of a secret. 256 random bits cannot be guessed,
	// so that a fast hash is enough.
	secretBytes = 32
)

// NewKey generates a key with the given id. The text is for the caller only; k
// holds its hash and goes into the catalogue. The error is an *Error of kind
// KindInvalid for an invalid id, or KindRandom when the system's random source
// fails.
func NewKey(id string) (text string, k Key, err error) {
	if err := ident.Check(id); err != nil {
		return "", Key{}, &Error{Op: "new key", Kind: KindInvalid, Err: err}
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", Key{}, &Error{Op: "new key", Kind: KindRandom, Err: err}
	}
	text = keyPrefix + id + "_" + hex.EncodeToString(secret)
	return text, Key{SHA256: hashKey(text)}, nil
}

// HashKey returns the Key for a key text that another system generated. It
// returns an *Error of kind KindInvalid for an empty text.
func HashKey(text string) (Key, error) {
	if text == "" {
		return Key{}, &Error{Op: "hash key", Kind: KindInvalid}
	}
	return Key{SHA256: hashKey(text)}, nil
}

func hashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// KeyID returns the id in a key text; ok is false if the text does not have
// the form chv_<id>_<secret>.
func KeyID(text string) (id string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", false
	}
	i := strings.LastIndexByte(rest, '_')
	if i < 0 || len(rest)-i-1 != hex.EncodedLen(secretBytes) {
		return "", false
	}
	id = rest[:i]
	return id, ident.Check(id) == nil
}

// Matches reports whether text is the complete text of the key. The time it
// takes depends only on the length of text.
func (k Key) Matches(text string) bool {
	return subtle.ConstantTimeCompare([]byte(k.SHA256), []byte(hashKey(text))) == 1
}

// Usable reports whether the key is accepted at the given time.
func (k Key) Usable(now time.Time) bool {
	switch {
	case k.Withdrawn:
		return false
	case !k.NotBefore.IsZero() && now.Before(k.NotBefore):
		return false
	case !k.Expires.IsZero() && !now.Before(k.Expires):
		return false
	}
	return true
}
