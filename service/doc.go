// Package service routes calls to plain services. A call that may be repeated is
// tried at another replica when one fails. A call that may not is claimed first
// and sent to at most one replica.
package service
