// Package claim makes a call that may not be repeated run at most once.
//
// The caller names the call by a UUIDv7. Before the call is sent to a back end,
// a claim for the key is written to the platform by conditional update. Claims
// are grouped: keys fall into shards, each shard has an owner among the live
// nodes, and an owner writes all claims that have come in since its last write
// as one. The number of writes therefore follows the number of shards and not
// the number of calls.
//
// Claims are kept for Retention by the timestamp in the key. A key older than
// that is refused, so a claim that has been deleted can never be made again.
package claim
