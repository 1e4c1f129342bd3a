package claim

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// record is the stored form of one claim.
type record struct {
	// ClaimID identifies the attempt that made the claim.
	ClaimID string `json:"id"`
	// BodyDigest is the digest of the call's body, to detect another call with the same key.
	BodyDigest []byte `json:"body,omitempty"`
}

// attemptSeparator separates a request's identifier from the number of its attempt.
const attemptSeparator = "#"

// attemptID identifies one attempt of a request to make a claim.
func attemptID(requestID string, attempt int) string {
	return requestID + attemptSeparator + strconv.Itoa(attempt)
}

// supersedes reports whether a claim is a later attempt of the request that made the existing one. The request
// has abandoned the earlier attempt and runs nothing under it.
func supersedes(claimID, existing string) bool {
	request, attempt, ok := splitAttemptID(claimID)
	existingRequest, existingAttempt, existingOK := splitAttemptID(existing)
	return ok && existingOK && request == existingRequest && attempt > existingAttempt
}

func splitAttemptID(claimID string) (string, int, bool) {
	request, number, ok := strings.Cut(claimID, attemptSeparator)
	attempt, err := strconv.Atoi(number)
	return request, attempt, ok && err == nil
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
