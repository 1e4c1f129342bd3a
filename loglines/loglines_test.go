package loglines_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/loglines"
)

// TestEachPassesOnlyJSON reads a line with a prefix, lines without JSON and a truncated line.
func TestEachPassesOnlyJSON(t *testing.T) {
	g := NewWithT(t)
	var passed []string
	log := "  1.2 node-a {\"msg\":\"a\"}\nno line\n\n{\"msg\":\"torn"
	g.Expect(loglines.Each(strings.NewReader(log), func(text []byte) { passed = append(passed, string(text)) })).To(Succeed())
	g.Expect(passed).To(Equal([]string{`{"msg":"a"}`, `{"msg":"torn`}))
}

func TestLineBeyondTheBoundIsAnError(t *testing.T) {
	g := NewWithT(t)
	log := "{" + strings.Repeat("x", 2<<20)
	g.Expect(loglines.Each(strings.NewReader(log), func([]byte) {})).NotTo(Succeed())
}
