// Package configuration accepts, distributes and holds the operators'
// configuration.
//
// The platform holds one head object, which names the parts of the
// configuration by their digests. A conditional update of the head is the point
// of acceptance: exactly one of several racing changes wins. Parts never change,
// so a node fetches only those that it lacks.
//
// A few nodes of each zone watch the head. The others learn of a new version
// from heartbeats and fetch it from the sender, so the number of watches and
// reads at the platform follows the number of zones.
package configuration
