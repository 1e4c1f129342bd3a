package settings

import (
	"flag"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

var validArguments = []string{
	"-plain-text", "-name", "node-1", "-zone", "zone-a", "-caller-address", "127.0.0.1:7101", "-peer-address", "127.0.0.1:7201",
	"-operator-address", "127.0.0.1:7301", "-platform-address", "127.0.0.1:7000", "-operator-token-hash", strings.Repeat("0", 64),
}

func TestValidSettingsAreParsed(t *testing.T) {
	g := NewWithT(t)
	parsed, findings, err := Parse(append(validArguments, "-seeds", "127.0.0.1:7201, 127.0.0.1:7202"), io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(findings).To(BeEmpty())
	g.Expect(parsed.Seeds).To(Equal([]string{"127.0.0.1:7201", "127.0.0.1:7202"}))
}

func TestEveryFindingHasItsPlace(t *testing.T) {
	g := NewWithT(t)
	_, findings, err := Parse([]string{"-name", "Not A Label", "-peer-address", "localhost:1", "-seeds", "x", "-max-body-bytes", "0"}, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	text := findings.String()
	for _, place := range []string{"-name (REELRUN_NAME)", "-zone", "-caller-address", "-peer-address (REELRUN_PEER_ADDRESS)", "-platform-address", "-operator-token-hash", "-seeds", "-peer-key", "-max-body-bytes"} {
		g.Expect(text).To(ContainSubstring(place))
	}
}

func TestEnvironmentSetsFlags(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("REELRUN_ZONE", "zone-of-the-environment")
	arguments := append([]string{}, validArguments[:3]...)
	arguments = append(arguments, validArguments[5:]...)
	parsed, findings, err := Parse(arguments, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(findings).To(BeEmpty())
	g.Expect(parsed.Zone).To(Equal("zone-of-the-environment"))
}

func TestUnknownFlagAndHelp(t *testing.T) {
	g := NewWithT(t)
	_, findings, err := Parse([]string{"-nonsense"}, io.Discard)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(findings).To(HaveLen(1))
	_, _, err = Parse([]string{"-h"}, io.Discard)
	g.Expect(errors.Is(err, flag.ErrHelp)).To(BeTrue())
}
