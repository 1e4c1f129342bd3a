// Package roles keeps the engines of a service divided between reading prompts
// and decoding. It gives orders under a lease with a fence, one engine at a time.
package roles
