// Package fault injects faults into the HTTP stand-ins: delay, drop, cut,
// freeze, lost reply and outage. Tests switch them on through PUT /faults.
package fault
