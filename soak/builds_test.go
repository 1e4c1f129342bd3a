package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// productionCommitFile contains the commit of the build in production, which the next build replaces node by
// node.
const productionCommitFile = "testdata/last-landing"

// nodeStart is a start of a node. older is set if the node started the older build.
type nodeStart struct {
	nodeEvent
	older bool
}

// nextBuild returns the build for the next process of a node. If an older build is set, each node alternates
// between the two builds with every start, and half of the nodes begin with the older one: this covers series
// of upgrades and rollbacks in combination with the other faults.
func (h *harness) nextBuild(n *node) (path string, older bool) {
	if h.older == "" {
		return binary, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	turn := n.index
	for _, start := range h.starts {
		if start.node == n.index {
			turn++
		}
	}
	if turn%2 == 0 {
		return binary, false
	}
	return h.older, true
}

// buildCommit builds the daemon of a commit in this repository's history.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	folder := t.TempDir()
	source := filepath.Join(folder, "source")
	if err := os.Mkdir(source, 0o750); err != nil {
		t.Fatal(err)
	}
	archive := filepath.Join(folder, "source.tar")
	run := func(directory, name string, arguments ...string) {
		command := exec.CommandContext(t.Context(), name, arguments...)
		command.Dir = directory
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%s for commit %s failed (is the git history complete?): %v: %s", name, commit, err, output)
		}
	}
	run("..", "git", "archive", "--output", archive, commit)
	run(source, "tar", "-xf", archive)
	built := filepath.Join(folder, "reelrun-router")
	run(source, "go", "build", "-o", built, "./cmd/reelrun-router")
	return built
}

// TestSoakWithTheProductionBuild runs one seed with nodes that alternate between the production build and this one.
func TestSoakWithTheProductionBuild(t *testing.T) {
	commit, err := os.ReadFile(productionCommitFile)
	if err != nil {
		t.Fatal(err)
	}
	soakWithBuild(t, defaultSeed, environmentDuration(t), buildCommit(t, strings.TrimSpace(string(commit))))
}
