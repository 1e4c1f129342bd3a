// Package fault injects faults into the HTTP stand-ins: added delay, connections dropped
// before or after a request runs, truncated replies, frozen requests and outages. Tests
// set them with PUT /faults.
package fault
