// Package certificates issues certificates of an authority of its own, for
// rehearsals and tests. A fleet in earnest uses its operators' authority.
package certificates
