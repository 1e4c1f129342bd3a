package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// lastLanding holds the commit of the build that is in production while the next one is put in its place,
// node by node.
const lastLanding = "testdata/last-landing"

// nodeStart is a start of a node, and whether it ran the older build.
type nodeStart struct {
	nodeMoment
	older bool
}

// nextBuild returns the build that the next process of a node runs. Where there is an older one, each
// node takes the other one at each start, and half of the nodes begin with it: upgrades and roll-backs in
// series, beside all other faults.
func (w *world) nextBuild(n *node) (path string, older bool) {
	if w.older == "" {
		return binary, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	turn := n.index
	for _, start := range w.starts {
		if start.node == n.index {
			turn++
		}
	}
	if turn%2 == 0 {
		return binary, false
	}
	return w.older, true
}

// buildOf builds the daemon of a commit of this repository's history.
func buildOf(t *testing.T, commit string) string {
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
			t.Fatalf("%s of %s (is the history whole?): %v: %s", name, commit, err, output)
		}
	}
	run("..", "git", "archive", "--output", archive, commit)
	run(source, "tar", "-xf", archive)
	built := filepath.Join(folder, "reelrun-router")
	run(source, "go", "build", "-o", built, "./cmd/reelrun-router")
	return built
}

// TestSoakBesideTheLastLanding plays a seed with the build of the last landing by turns.
func TestSoakBesideTheLastLanding(t *testing.T) {
	commit, err := os.ReadFile(lastLanding)
	if err != nil {
		t.Fatal(err)
	}
	soakBeside(t, defaultSeed, environmentDuration(t), buildOf(t, strings.TrimSpace(string(commit))))
}
