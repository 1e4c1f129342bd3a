package api_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/api"
)

// TestFindingsAreBounded guards against an input with very many or very long faults whose report takes more memory than the input.
func TestFindingsAreBounded(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("é", 1<<19)
	var findings api.Findings
	for range 10_000 {
		findings.Addf(long, "%s", long)
	}
	g.Expect(findings).To(HaveLen(101))
	g.Expect(len(findings.String())).To(BeNumerically("<", 101*(2<<10+100)))
	g.Expect(findings[100].Problem).To(Equal("further findings are left out"))
}
