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

// KeyHash is the hash of a secret key: "sha256:" and the hexadecimal SHA-256.
// Keys are random, so a hash without a salt resists guessing.
type KeyHash string

// HashKey returns the hash of key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(keyHashPrefix + hex.EncodeToString(sum[:]))
}

// Check returns an error if h is malformed.
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
