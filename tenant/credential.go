package tenant

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Credential is what a caller presents for identification: the digest of one API key, or nothing. The zero
// value belongs to a caller without a key.
type Credential struct {
	digest  KeyDigest
	present bool
}

// NewCredential returns the credential of a caller that presents a key, which may be empty.
func NewCredential(key string) Credential {
	if key == "" {
		return Credential{}
	}
	return Credential{digest: DigestKey(key), present: true}
}
