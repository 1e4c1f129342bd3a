// Package roles allocates the engines of a service to the prefill and decode
// roles. It sends orders under a lease with a fencing token. A plan changes at
// most a quarter of the engines of a role at once, or a single engine of a small
// role.
package roles
