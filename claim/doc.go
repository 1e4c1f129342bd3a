// Package claim makes non-idempotent calls run at most once.
//
// The caller identifies the call by a UUIDv7. Before the call is sent to a backend, a claim for the key is
// written to the platform by conditional update. Claims are batched: keys are hashed to shards, each shard has
// an owner among the live nodes, and an owner writes all claims that it has received since its last write as
// one. The number of writes therefore depends on the number of shards and not on the number of calls.
//
// A claim is stored in a bucket, the object of the claims of one shard whose keys have timestamps within the
// same minute. Claims are kept for Retention by the timestamp in the key. An older key is rejected, so a claim
// that has been deleted can never be made again.
package claim
