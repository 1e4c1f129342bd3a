// Package fault injects faults into the HTTP stand-ins: added delay, connections dropped
// before or after a request runs, truncated responses, frozen requests and outages. Tests
// set them with PUT /faults.
package fault
