package processtest

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/sim/certificates"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/timeline"
	"github.com/reelrun/reelrun/tlsfiles"
)

// security is the TLS configuration of a fleet; nil for a fleet without TLS.
type security struct {
	authority    *certificates.Authority
	folder       string
	clientConfig *tls.Config
}

func newSecurity(t *testing.T) *security {
	t.Helper()
	authority, err := certificates.NewAuthority(certificates.Options{})
	if err != nil {
		t.Fatal(err)
	}
	secured := &security{authority: authority, folder: t.TempDir()}
	files, _ := secured.issue(t, "caller")
	if secured.clientConfig, err = tlsfiles.ClientConfig(files.Authority); err != nil {
		t.Fatal(err)
	}
	return secured
}

// issue writes a certificate, replacing an earlier one of the same name.
func (s *security) issue(t *testing.T, name string) (certificates.Files, int64) {
	t.Helper()
	files, serial, err := s.authority.Issue(s.folder, name)
	if err != nil {
		t.Fatal(err)
	}
	return files, serial
}

// arguments returns a node's flags for its certificates.
func (s *security) arguments(t *testing.T, name string) []string {
	t.Helper()
	if s == nil {
		return []string{"-plain-text"}
	}
	files, _ := s.issue(t, name)
	return []string{
		"-peer-certificate", files.Certificate, "-peer-key", files.Key, "-peer-authority", files.Authority,
		"-caller-certificate", files.Certificate, "-caller-key", files.Key,
	}
}

func (s *security) url(address string) string {
	if s == nil {
		return "http://" + address
	}
	return "https://" + address
}

func (s *security) client() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	if s != nil {
		transport.TLSClientConfig = s.clientConfig
	}
	return &http.Client{Transport: transport}
}

// servedSerial returns the serial number of the certificate that the server at an address
// presents; zero if the connection fails.
func servedSerial(address string, config *tls.Config) int64 {
	dialed, err := tls.Dial("tcp", address, config)
	if err != nil {
		return 0
	}
	defer func() { _ = dialed.Close() }()
	return dialed.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestSecuredFleet serves requests with mutual TLS between nodes and TLS to
// callers and operators, keeps serving after a node is killed, and serves a renewed
// certificate without a restart.
func TestSecuredFleet(t *testing.T) {
	secured := newSecurity(t)
	f := startFleetWith(t, 3, secured)
	for _, through := range f.nodes {
		expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, through))
	}
	done := f.send(context.Background(), newKey(t), 150, f.nodes[0], f.nodes[1], f.nodes[2])
	eventually(t, "decoding", func() bool { return f.countEntries(enginesim.EntryDecodeStart) == len(f.nodes)+1 })
	f.nodes[0].kill(t)
	expectAnswered(t, <-done)

	before := servedSerial(f.nodes[1].callerAddress, secured.clientConfig)
	_, renewed := secured.issue(t, f.nodes[1].name)
	if before == renewed {
		t.Fatal("the certificate was not renewed")
	}
	eventually(t, "the renewed certificate", func() bool { return servedSerial(f.nodes[1].callerAddress, secured.clientConfig) == renewed })
	expectAnswered(t, <-f.send(context.Background(), newKey(t), 10, f.nodes[1]))
}

// TestNodesRejectUnknownCertificates checks that the port between nodes accepts neither
// a connection without a certificate nor a certificate of another authority.
func TestNodesRejectUnknownCertificates(t *testing.T) {
	secured, other := newSecurity(t), newSecurity(t)
	f := startFleetWith(t, 2, secured)
	files, _ := other.issue(t, "stranger")
	strangerCertificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		t.Fatal(err)
	}
	member, _ := secured.issue(t, "member")
	memberCertificate, err := tls.LoadX509KeyPair(member.Certificate, member.Key)
	if err != nil {
		t.Fatal(err)
	}
	for name, attempt := range map[string]struct {
		certificates []tls.Certificate
		accepted     bool
	}{
		"no certificate":                     {nil, false},
		"a certificate of another authority": {[]tls.Certificate{strangerCertificate}, false},
		"a certificate of the fleet":         {[]tls.Certificate{memberCertificate}, true},
	} {
		t.Run(name, func(t *testing.T) {
			config := secured.clientConfig.Clone()
			config.Certificates = attempt.certificates
			if accepted := answersPeerCall(f.nodes[0].peerAddress, config); accepted != attempt.accepted {
				t.Fatalf("accepted: %t", accepted)
			}
		})
	}
}

// answersPeerCall reports whether a node answers the call of a peer over TLS.
func answersPeerCall(address string, config *tls.Config) bool {
	dialer := &tls.Dialer{Config: config}
	dial := func(ctx context.Context, to string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", to) }
	client := peer.NewClient("member", dial, timeline.NewClock(time.Now))
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err := client.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_FetchStatus{FetchStatus: &peerpb.FetchStatus{}}})
	return err == nil
}
