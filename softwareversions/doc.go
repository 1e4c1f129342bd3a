// Package softwareversions publishes in the platform's store which software versions the backends of each service have had
// of late. If a service has had one only, a stream of that service began there, whichever node knew of it and is lost.
//
// The object is written when a version appears, by the first of the nodes that watch the store, or by the next ones if that
// one does not. A version is dropped after no backend has had it for longer than callers wait for their streams.
package softwareversions
