package claim

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// record is the stored form of one claim.
type record struct {
	// ClaimID identifies the try that made the claim.
	ClaimID string `json:"id"`
	// Body is the digest of the call's body, to tell another call under the same key.
	Body []byte `json:"body,omitempty"`
}

// identitySeparator stands between a request and the number of its try.
const identitySeparator = "#"

// identity names one try of a request's claim.
func identity(requestID string, try int) string {
	return requestID + identitySeparator + strconv.Itoa(try)
}

// supersedes reports whether a claim is a later try of the request that made the
// standing one. The request has given the earlier try up and runs nothing under it.
func supersedes(claimID, standing string) bool {
	request, try, ok := splitIdentity(claimID)
	standingRequest, standingTry, standingOK := splitIdentity(standing)
	return ok && standingOK && request == standingRequest && try > standingTry
}

func splitIdentity(claimID string) (string, int, bool) {
	request, number, ok := strings.Cut(claimID, identitySeparator)
	try, err := strconv.Atoi(number)
	return request, try, ok && err == nil
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
