package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Files holds the paths of the PEM files of one side of a connection.
type Files struct {
	Certificate string
	Key         string
	// Authority is the file with the CA certificates that verify the other side. If
	// it is empty, a server does not verify its clients.
	Authority string
}

// Source holds the last valid content of the files. It is safe for concurrent use.
type Source struct {
	files Files

	mu sync.Mutex
	// checkedAt is when the files were last checked for changes, modifiedAt the
	// modification time of the loaded content.
	checkedAt   time.Time
	modifiedAt  time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// NewSource loads the files.
func NewSource(files Files) (*Source, error) {
	source := &Source{files: files}
	if err := source.load(); err != nil {
		return nil, err
	}
	return source, nil
}

// lastModified returns the latest modification time of the files.
func (s *Source) lastModified() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "check TLS file for changes")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (s *Source) load() error {
	modifiedAt, err := s.lastModified()
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
	s.certificate, s.authority, s.modifiedAt, s.checkedAt = &certificate, authority, modifiedAt, time.Now()
	return nil
}

// current returns the newest valid content. While the files are being replaced and
// cannot be loaded, the previous content stays in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) >= checkInterval {
		s.checkedAt = time.Now()
		if modifiedAt, err := s.lastModified(); err == nil && modifiedAt.After(s.modifiedAt) {
			_ = s.load() // An error leaves the previous content in use.
		}
	}
	return s.certificate, s.authority
}

// ServerConfig returns a configuration for accepting connections. With an authority,
// clients must present a certificate that it has issued.
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

// ClientConfig returns a configuration for opening a connection to a node. Nodes are
// addressed by IP, so the certificate's authority and extended key usage are
// verified, but not its name.
func (s *Source) ClientConfig() *tls.Config {
	certificate, authority := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		// VerifyConnection verifies the chain; only the verification of the name is omitted.
		InsecureSkipVerify: true, //nolint:gosec // see VerifyConnection
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, authority)
		},
	}
}

func verify(state tls.ConnectionState, authority *x509.CertPool) error {
	if authority == nil || len(state.PeerCertificates) == 0 {
		return errors.New("authority or node certificate is missing")
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
