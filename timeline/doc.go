// Package timeline records typed events with hybrid logical clock stamps in a
// bounded ring buffer, and merges the events of several processes into one
// ordered timeline.
//
// The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): a stamp
// is never below the physical clock, and an event that follows a received
// message is stamped above the message.
package timeline
