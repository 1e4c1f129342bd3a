// Package configuration accepts, distributes and holds the operators' configuration.
//
// The platform's store holds one head object, which lists the parts of the configuration by their digests. A
// part holds the classes, pools and services, or a group of tenants. Acceptance is a conditional update of the
// head: exactly one of several concurrent changes wins. Parts never change, so a node fetches only those that
// it lacks.
//
// A few nodes of each zone watch the head. The others learn of a new version from heartbeats and fetch it from
// the sender, so the number of watches and reads at the platform depends on the number of zones, not of nodes.
package configuration
