// Package certificates issues certificates from a certificate authority of its own, for
// rehearsals and tests. A production fleet uses its operators' authority.
package certificates
