// Package service routes calls to plain services. An idempotent call is retried at another replica when one
// fails. A non-idempotent call is claimed first and sent to at most one replica.
package service
