package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Files names the PEM files of one side.
type Files struct {
	Certificate string
	Key         string
	// Authority verifies the other side; empty leaves it unverified.
	Authority string
}

// Source holds what the files last contained. It is safe for concurrent use.
type Source struct {
	files Files

	mu          sync.Mutex
	checked     time.Time
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewSource reads the files.
func NewSource(files Files) (*Source, error) {
	source := &Source{files: files}
	if err := source.read(); err != nil {
		return nil, err
	}
	return source, nil
}

// newest returns when any of the files was last changed.
func (s *Source) newest() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "look at TLS file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (s *Source) read() error {
	modified, err := s.newest()
	if err != nil {
		return err
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return errors.Wrap(err, "load key pair")
	}
	var authority *x509.CertPool
	if s.files.Authority != "" {
		if authority, err = readAuthority(s.files.Authority); err != nil {
			return err
		}
	}
	s.certificate, s.authority, s.modified, s.checked = &certificate, authority, modified, time.Now()
	return nil
}

// current returns the newest readable content. Files that are being replaced
// leave the content before in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) >= checkInterval {
		s.checked = time.Now()
		if modified, err := s.newest(); err == nil && modified.After(s.modified) {
			_ = s.read() // The content before stays in use.
		}
	}
	return s.certificate, s.authority
}

// ServerConfig returns a configuration for accepting connections. With an authority,
// the other side must show a certificate of it.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}, NextProtos: []string{"h2", "http/1.1"}}
			if authority != nil {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = authority
				config.NextProtos = nil
			}
			return config, nil
		},
	}
}

// ClientConfig returns a configuration for opening a connection. Nodes are addressed
// by IP, so the certificate is verified against the authority and its purpose,
// and not against a name.
func (s *Source) ClientConfig() *tls.Config {
	certificate, authority := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		// The chain is verified below; only the check of the name is left out.
		InsecureSkipVerify: true, //nolint:gosec // see VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, authority)
		},
	}
}

func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if authority == nil || len(state.PeerCertificates) == 0 {
		return errors.New("no authority or no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "verify node certificate")
}
