// Package coordinator assigns engines to requests. For each service one node
// coordinates: the live one that rendezvous hashing gives. It knows every run that
// it has assigned, so that memory that a run will need later is not given to
// another one, and requests wait in one order where there is no room.
//
// Nothing is stored. A node that finds another coordinator than before tells it
// its own runs; two coordinators for a moment assign too much, and the engines
// refuse the excess. A coordinator that does not answer at once is passed over.
package coordinator
