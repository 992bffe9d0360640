package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

// keyHashPrefix names the hash function of a KeyHash.
const keyHashPrefix = "sha256:"

// KeyHash is the stored form of a secret: "sha256:" and hexadecimal digits.
// Keys are random, so that a plain hash resists guessing.
type KeyHash string

// HashKey returns the stored form of key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Check reports whether h is well formed.
func (h KeyHash) Check() error {
	digits, ok := strings.CutPrefix(string(h), keyHashPrefix)
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != sha256.Size {
		return errors.New("the key hash is malformed: write the output of 'cyclamenctl key hash'")
	}
	return nil
}

// Matches reports, in constant time, whether key has the hash h.
func (h KeyHash) Matches(key string) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(HashKey(key))) == 1
}
