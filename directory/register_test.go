package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/directory"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// TestRegisterDoesNotModifyItsArgument registers a message that a caller on the same node still uses.
func TestRegisterDoesNotModifyItsArgument(t *testing.T) {
	g := NewWithT(t)
	register := &peerpb.Register{
		Mode:    peerpb.RegisterMode_REGISTER_MODE_ARRIVE,
		Running: &peerpb.Running{Tenant: "t", Key: "k", RequestId: "r"},
	}
	before := proto.Clone(register)
	_, err := directory.New(time.Now).Register(register)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Equal(register, before)).To(BeTrue())
}
