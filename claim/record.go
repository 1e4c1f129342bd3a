package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// record is the stored form of one claim.
type record struct {
	// ClaimID identifies the try that made the claim.
	ClaimID string `json:"id"`
	// Body is the digest of the call's body, to tell another call under the same key.
	Body []byte `json:"body,omitempty"`
}

// bucket is the stored form of the claims of one shard and minute.
type bucket struct {
	Claims map[string]record `json:"claims"`
}

func decodeBucket(spec json.RawMessage) (bucket, error) {
	decoded := bucket{Claims: map[string]record{}}
	if len(spec) == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(spec, &decoded); err != nil {
		return bucket{}, errors.Wrap(err, "decode claims")
	}
	return decoded, nil
}
