package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a Fingerprint. Finding two contents with the same 128 bits of SHA-256 is
// infeasible, so no caller can have another caller's request taken for its own.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request: attempts at the same request have the same one. It is a
// digest, so that logs and nodes can name a request without its content.
type Fingerprint [fingerprintBytes]byte

// Content is what attempts at the same request have in common.
type Content struct {
	// Tenant is the caller's tenant. The same request of another tenant has another fingerprint: no tenant can
	// have another one's requests rejected.
	Tenant string
	Method string
	Host   string
	// URI is the path with its query.
	URI  string
	Body []byte
}

// NewFingerprint returns the fingerprint of a content.
func NewFingerprint(content Content) Fingerprint {
	return digestOf([]byte(content.Tenant), []byte(content.Method), []byte(content.Host), []byte(content.URI), content.Body)
}

// digestOf returns the digest of a sequence of elements. Each is prefixed by its length, so that no two sequences have the same
// encoding.
func digestOf(elements ...[]byte) Fingerprint {
	digest := sha256.New()
	for _, element := range elements {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(element)))
		_, _ = digest.Write(length[:]) // A hash never fails.
		_, _ = digest.Write(element)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, false
	}
	return fromBytes(decoded)
}

// fromBytes returns the fingerprint with the given bytes, if their number is right.
func fromBytes(encoded []byte) (Fingerprint, bool) {
	var fingerprint Fingerprint
	if len(encoded) != fingerprintBytes {
		return fingerprint, false
	}
	copy(fingerprint[:], encoded)
	return fingerprint, true
}
