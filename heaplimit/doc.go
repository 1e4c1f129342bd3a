// Package heaplimit bounds the memory of a process in proportion to the memory of its machine.
//
// By default the runtime lets the heap grow to twice the live heap before it collects, whatever the size
// of the machine. A node with some ten thousand backends would hold as much garbage as live data, and a
// small machine would run out of memory while half of it could be collected. Therefore garbage may take
// a fixed part of the machine's memory, and the runtime has a soft memory limit above which it collects
// as often as necessary.
package heaplimit
