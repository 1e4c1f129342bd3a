package objectapi_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/objectapi"
)

// TestVersionsRiseAcrossRestores checks that a version contains its epoch and revision, and that any version of an epoch
// is higher than all versions of the epochs before.
func TestVersionsRiseAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		epoch, revision := rapid.Int64Range(0, 1<<20).Draw(t, "epoch"), rapid.Int64Range(0, 1<<39).Draw(t, "revision")
		version := objectapi.NewVersion(epoch, revision)
		g.Expect(objectapi.EpochOf(version)).To(Equal(epoch))
		g.Expect(objectapi.RevisionOf(version)).To(Equal(revision))
		g.Expect(version).To(BeNumerically("<", objectapi.NewVersion(epoch, revision+1)))
		g.Expect(version).To(BeNumerically("<", objectapi.NewVersion(epoch+1, rapid.Int64Range(0, 1<<39).Draw(t, "later"))))
	})
}
