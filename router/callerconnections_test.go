package router

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/settings"
)

// TestConnectionsOfCallersLeaveDescriptorsAndMemory checks the bound on machines whose descriptors or memory are scarce, and
// without either figure.
func TestConnectionsOfCallersLeaveDescriptorsAndMemory(t *testing.T) {
	g := NewWithT(t)
	const megabyte = 1_000_000
	g.Expect(maxCallerConnections(&settings.Router{Descriptors: 4100, MemoryBytes: 536 * megabyte})).To(Equal(1925))
	g.Expect(maxCallerConnections(&settings.Router{Descriptors: 8192, MemoryBytes: 112 * megabyte})).To(Equal(1367))
	g.Expect(maxCallerConnections(&settings.Router{Descriptors: 260})).To(Equal(minCallerConnections))
	g.Expect(maxCallerConnections(&settings.Router{})).To(Equal(1923))
}
