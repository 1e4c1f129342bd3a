package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSlowEnginesAreNotUnresponsive observes engines whose first event takes long, because an event carries
// many tokens. Their mean time must not count as unresponsiveness.
func TestSlowEnginesAreNotUnresponsive(t *testing.T) {
	g := NewWithT(t)
	var tracked firstEvents
	g.Expect(tracked.limit("slow")).To(Equal(initialFirstEventLimit))
	for range minFirstEvents {
		tracked.observe("slow", 700*time.Millisecond)
		tracked.observe("fast", 30*time.Millisecond)
	}
	g.Expect(tracked.limit("slow")).To(Equal(2800 * time.Millisecond))
	g.Expect(tracked.limit("fast")).To(Equal(minFirstEventLimit))
}
