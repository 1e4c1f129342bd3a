package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestSlowEnginesAreNotSilent observes engines whose first event takes long, because an event carries many
// tokens. Their mean time must not count as silence.
func TestSlowEnginesAreNotSilent(t *testing.T) {
	g := NewWithT(t)
	var learned firstEvents
	g.Expect(learned.limit("slow")).To(Equal(initialFirstEventLimit))
	for range minFirstEvents {
		learned.observe("slow", 700*time.Millisecond)
		learned.observe("fast", 30*time.Millisecond)
	}
	g.Expect(learned.limit("slow")).To(Equal(2800 * time.Millisecond))
	g.Expect(learned.limit("fast")).To(Equal(minFirstEventLimit))
}
