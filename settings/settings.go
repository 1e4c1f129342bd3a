package settings

import (
	"encoding/hex"
	"flag"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/reelrun/reelrun/api"
)

// EnvironmentPrefix is the prefix of environment variables. The rest is the name
// of the flag in capitals and with underscores: -peer-address is
// REELRUN_PEER_ADDRESS.
const EnvironmentPrefix = "REELRUN"

// Settings holds the daemon's settings.
type Settings struct {
	// Name identifies the node; it is a DNS label, unique in the fleet.
	Name string
	Zone string
	// CallerAddress, PeerAddress and OperatorAddress are the IP addresses and
	// ports to listen on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// PlatformAddress is the IP address and port of the platform's object API.
	PlatformAddress string
	// Seeds are peer addresses of other nodes.
	Seeds []string
	// OperatorTokenHash is the hex SHA-256 digest of the operators' token.
	OperatorTokenHash string
	// PlainText allows peers without mutual TLS and callers without TLS.
	PlainText bool
	// PeerCertificate, PeerKey and PeerAuthority are PEM files for mutual TLS
	// between nodes. They are read again when they change.
	PeerCertificate string
	PeerKey         string
	PeerAuthority   string
	// CallerCertificate and CallerKey are PEM files for TLS to callers and operators.
	CallerCertificate string
	CallerKey         string
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64
	// DrainDelay is the time between becoming unready and closing the listeners,
	// in which the load balancer stops sending requests to the node.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight during a planned stop.
	DrainTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats of two nodes.
	HeartbeatInterval time.Duration
	// ResumeWindow is how long the stream of a failed node is kept, so that another
	// node can take it over.
	ResumeWindow time.Duration
	// Check makes the daemon validate the settings and exit.
	Check bool
}

// Defaults of the settings.
const (
	defaultMaxBodyBytes      = 1 << 20
	defaultDrainDelay        = 5 * time.Second
	defaultDrainTimeout      = 5 * time.Minute
	defaultHeartbeatInterval = time.Second
	defaultResumeWindow      = 5 * time.Second
)

// place returns the place of a finding: a flag with its environment variable.
func place(flagName string) string {
	variable := strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
	return "-" + flagName + " (" + EnvironmentPrefix + "_" + variable + ")"
}

// Parse reads the settings and returns all findings. It returns flag.ErrHelp if
// help was requested.
func Parse(arguments []string, output io.Writer) (*Settings, api.Findings, error) {
	parsed := &Settings{}
	flags := flag.NewFlagSet("reelrund", flag.ContinueOnError)
	flags.SetOutput(output)
	var seeds string
	flags.StringVar(&parsed.Name, "name", "", "name of the node, a DNS label unique in the fleet")
	flags.StringVar(&parsed.Zone, "zone", "", "zone of the node")
	flags.StringVar(&parsed.CallerAddress, "caller-address", "", "IP address and port for callers")
	flags.StringVar(&parsed.PeerAddress, "peer-address", "", "IP address and port for other nodes")
	flags.StringVar(&parsed.OperatorAddress, "operator-address", "", "IP address and port for operators and metrics")
	flags.StringVar(&parsed.PlatformAddress, "platform-address", "", "IP address and port of the platform's object API")
	flags.StringVar(&seeds, "seeds", "", "peer addresses of other nodes, separated by commas")
	flags.StringVar(&parsed.OperatorTokenHash, "operator-token-hash", "", "hex SHA-256 digest of the operators' token")
	flags.BoolVar(&parsed.PlainText, "plain-text", false, "allow connections without TLS")
	flags.StringVar(&parsed.PeerCertificate, "peer-certificate", "", "PEM file with the node's certificate")
	flags.StringVar(&parsed.PeerKey, "peer-key", "", "PEM file with the node's key")
	flags.StringVar(&parsed.PeerAuthority, "peer-authority", "", "PEM file with the certificate authority of all nodes")
	flags.StringVar(&parsed.CallerCertificate, "caller-certificate", "", "PEM file with the certificate presented to callers and operators")
	flags.StringVar(&parsed.CallerKey, "caller-key", "", "PEM file with the key of the callers' certificate")
	flags.Int64Var(&parsed.MaxBodyBytes, "max-body-bytes", defaultMaxBodyBytes, "largest request body in bytes")
	flags.DurationVar(&parsed.DrainDelay, "drain-delay", defaultDrainDelay, "time between becoming unready and closing the listeners")
	flags.DurationVar(&parsed.DrainTimeout, "drain-timeout", defaultDrainTimeout, "longest wait for requests in flight at a planned stop")
	flags.DurationVar(&parsed.HeartbeatInterval, "heartbeat-interval", defaultHeartbeatInterval, "time between heartbeats of two nodes")
	flags.DurationVar(&parsed.ResumeWindow, "resume-window", defaultResumeWindow, "time for which the stream of a failed node waits to be taken over")
	flags.BoolVar(&parsed.Check, "check", false, "check the settings and exit")
	if err := ff.Parse(flags, arguments, ff.WithEnvVarPrefix(EnvironmentPrefix)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, nil, flag.ErrHelp
		}
		return nil, api.Findings{{Place: "flags", Problem: err.Error()}}, nil
	}
	for seed := range strings.SplitSeq(seeds, ",") {
		if seed != "" {
			parsed.Seeds = append(parsed.Seeds, strings.TrimSpace(seed))
		}
	}
	return parsed, parsed.validate(), nil
}

func (s *Settings) validate() api.Findings {
	var findings api.Findings
	if !api.IsLabel(s.Name) {
		findings.Addf(place("name"), "%q is not a DNS label", s.Name)
	}
	if s.Zone == "" {
		findings.Addf(place("zone"), "is empty")
	}
	s.validateAddresses(&findings)
	const digestLength = 64
	if _, err := hex.DecodeString(s.OperatorTokenHash); err != nil || len(s.OperatorTokenHash) != digestLength {
		findings.Addf(place("operator-token-hash"), "is not a hex SHA-256 digest")
	}
	s.validateFiles(&findings)
	if s.MaxBodyBytes <= 0 {
		findings.Addf(place("max-body-bytes"), "must be above zero")
	}
	if s.HeartbeatInterval <= 0 {
		findings.Addf(place("heartbeat-interval"), "must be above zero")
	}
	if s.ResumeWindow <= 0 {
		findings.Addf(place("resume-window"), "must be above zero")
	}
	if s.DrainDelay < 0 || s.DrainTimeout <= 0 {
		findings.Addf(place("drain-timeout"), "the drain delay must not be negative, and the drain timeout must be above zero")
	}
	return findings
}

func (s *Settings) validateAddresses(findings *api.Findings) {
	for _, address := range []struct{ name, value string }{
		{"caller-address", s.CallerAddress}, {"peer-address", s.PeerAddress},
		{"operator-address", s.OperatorAddress}, {"platform-address", s.PlatformAddress},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			findings.Addf(place(address.name), "%q is not an IP address and port", address.value)
		}
	}
	for _, seed := range s.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			findings.Addf(place("seeds"), "%q is not an IP address and port", seed)
		}
	}
}

func (s *Settings) validateFiles(findings *api.Findings) {
	files := []struct{ name, path string }{
		{"peer-certificate", s.PeerCertificate}, {"peer-key", s.PeerKey}, {"peer-authority", s.PeerAuthority},
		{"caller-certificate", s.CallerCertificate}, {"caller-key", s.CallerKey},
	}
	for _, file := range files {
		if file.path == "" && !s.PlainText {
			findings.Addf(place(file.name), "is required unless -plain-text is set")
			continue
		}
		if file.path == "" {
			continue
		}
		if _, err := os.Stat(file.path); err != nil {
			findings.Addf(place(file.name), "cannot be read: %s", err)
		}
	}
}
