package claim

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
)

const (
	// Shards is the number of claim shards of a fleet. It must be the same at every node.
	Shards = 32
	// Retention is the age beyond which a key is rejected.
	Retention = 10 * time.Minute
	// maxFuture is how far a key's timestamp may be ahead of the clock.
	maxFuture = time.Minute
	// bucketLength is the span of timestamps that share an object.
	bucketLength = time.Minute
	// maxClockSkew is how far the clocks of two nodes may differ: a bucket is deleted only after it has been
	// out of retention for this long.
	maxClockSkew = 2 * time.Minute
)

// Key identifies a non-idempotent call.
type Key struct {
	Tenant string
	ID     uuid.UUID
}

// ParseKey parses an Idempotency-Key header.
func ParseKey(tenant, text string) (Key, error) {
	id, err := uuid.Parse(text)
	const uuidVersion7 = 7
	if err != nil || id.Version() != uuidVersion7 {
		return Key{}, api.NewError(http.StatusBadRequest, api.CodeKeyRequired, api.OutcomeNotRun, "a call that may not be repeated needs an Idempotency-Key that is a UUIDv7")
	}
	return Key{Tenant: tenant, ID: id}, nil
}

// Time returns the timestamp in the key.
func (k Key) Time() time.Time {
	seconds, nanoseconds := k.ID.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// CheckAge rejects a key whose claim may have been deleted already, or whose timestamp is in the future.
func (k Key) CheckAge(now time.Time) error {
	age := now.Sub(k.Time())
	if age > Retention {
		return api.NewError(http.StatusConflict, api.CodeKeyExpired, api.OutcomeNotRun, "the key is older than %s; this request did not run the call", Retention)
	}
	if age < -maxFuture {
		return api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "the key's timestamp is in the future")
	}
	return nil
}

// field is the key's name inside a claim object.
func (k Key) field() string { return k.Tenant + "/" + k.ID.String() }

func (k Key) shard() int { return int(xxhash.Sum64String(k.field()) % Shards) }

func (k Key) bucket() int64 { return k.Time().UnixMilli() / bucketLength.Milliseconds() }

func (k Key) object() string { return objectName(k.shard(), k.bucket()) }

func objectName(shard int, bucket int64) string {
	return "claims-" + strconv.Itoa(shard) + "-" + strconv.FormatInt(bucket, 10)
}

// OwnerKey is the key whose owner writes the claims of a shard.
func OwnerKey(shard int) string { return "claim-shard/" + strconv.Itoa(shard) }
