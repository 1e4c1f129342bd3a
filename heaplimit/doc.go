// Package heaplimit keeps the memory of a process in proportion to the machine that it runs on.
//
// The runtime lets the heap grow to twice what is in use before it collects, whatever the machine has. A
// node that holds some ten thousand back ends would have as much garbage as content, and a small machine
// would be at its end while half of its memory is free to be collected. So the heap may grow by a fixed
// part of the machine's memory, and the runtime has a soft limit from which it collects as often as it
// must.
package heaplimit
