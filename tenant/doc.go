// Package tenant models the tenants of a fleet: which tenant a caller's API key belongs to, the tenant's
// priority, and its quota. It uses no I/O and no clock.
//
// Only SHA-256 digests of keys are stored, so that a memory dump or a careless log line of a node does not
// reveal a key. Both interfaces of the product, its own and that of a platform, look keys up by the same
// digests.
package tenant
