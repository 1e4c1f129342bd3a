package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ClientConfig returns a configuration for a caller or an operator. It trusts the
// CA certificates in a PEM file; an empty name selects those of the system.
func ClientConfig(authority string) (*tls.Config, error) {
	if authority == "" {
		return &tls.Config{MinVersion: tls.VersionTLS13}, nil
	}
	authorities, err := readAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities}, nil
}

// readAuthority reads the CA certificates in a PEM file.
func readAuthority(name string) (*x509.CertPool, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, errors.Newf("no certificate in %s", name)
	}
	return authorities, nil
}
