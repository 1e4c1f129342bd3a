package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestBuildsOfNodes checks that the latest start of each node is found in logs in any order.
func TestBuildsOfNodes(t *testing.T) {
	g := NewWithT(t)
	logs := []string{
		`{"time":"2026-12-03T05:00:00Z","msg":"start","node":"a","build":"old"}
{"time":"2026-12-03T05:01:00Z","msg":"requests","node":"a"}
{"time":"2026-12-03T05:10:00Z","msg":"start","node":"a","build":"new"}
{"time":"2026-12-03T05:`,
		`{"time":"2026-12-03T05:11:00Z","msg":"start","node":"b","build":"new"}
{"time":"2026-12-03T05:00:00Z","msg":"start","node":"b","build":"old"}`,
		`{"time":"2026-12-03T05:00:00Z","msg":"start","node":"c","build":"old"}
{"time":"2026-12-03T05:20:00Z","msg":"stopped","node":"c"}`,
		`{"time":"2026-12-03T05:00:00Z","msg":"start","node":"d","build":"old"}`,
	}
	var readers []io.Reader
	for _, log := range logs {
		readers = append(readers, strings.NewReader(log))
	}
	latest, err := latestEvents(readers)
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(writeBuilds(&out, latest)).To(Succeed())
	var rows []string
	for _, row := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		rows = append(rows, strings.Join(strings.Fields(row), " "))
	}
	g.Expect(rows).To(Equal([]string{
		"node build since",
		"a new 2026-12-03T05:10:00Z",
		"b new 2026-12-03T05:11:00Z",
		"c stopped 2026-12-03T05:20:00Z",
		"d old 2026-12-03T05:00:00Z",
		"2 nodes new",
		"1 nodes old",
	}))
}
