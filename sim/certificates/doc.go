// Package certificates issues certificates from a new certificate authority, for rehearsals
// and tests. A production fleet uses its operators' authority.
package certificates
