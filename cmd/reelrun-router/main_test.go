package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/router"
)

// TestFindingsAreReportedTogether checks an invalid flag together with an invalid settings file.
func TestFindingsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "node.json")
	g.Expect(os.WriteFile(path, []byte(`{"node": "", "ip": "not-an-address"}`), 0o600)).To(Succeed())
	_, err := readSettings(path, flagValues{placement: "chance"})
	g.Expect(err).To(MatchError(And(
		ContainSubstring("-placement"), ContainSubstring("node"), ContainSubstring("ip"), ContainSubstring("platform"),
	)))
	_, err = readSettings("", flagValues{placement: router.PlacementReservation})
	g.Expect(err).To(MatchError(ContainSubstring("REELRUN_SETTINGS")))
	g.Expect(err).NotTo(MatchError(ContainSubstring("-placement")))
}

// TestExitCodes runs commands that end before anything is served.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("REELRUN_SETTINGS", "")
	g.Expect(run([]string{"-help"})).To(Equal(0))
	g.Expect(run([]string{"-no-such-flag"})).To(Equal(exitSettings))
	g.Expect(run([]string{"-check"})).To(Equal(exitSettings))
}

// TestLinksNoPackageOfReelrund checks that the packages of the product's own interface are not
// linked into this program: they and the libraries that they import took half of the memory of
// a small node.
func TestLinksNoPackageOfReelrund(t *testing.T) {
	g := NewWithT(t)
	output, err := exec.Command("go", "list", "-deps", ".").Output()
	g.Expect(err).NotTo(HaveOccurred())
	linked := strings.Fields(string(output))
	for _, unwanted := range []string{"node", "operator", "completion", "cluster", "membership", "scheduler", "owner", "claim", "directory"} {
		g.Expect(linked).NotTo(ContainElement("github.com/reelrun/reelrun/" + unwanted))
	}
	g.Expect(linked).NotTo(ContainElement(HavePrefix("github.com/kataras/iris")))
}
