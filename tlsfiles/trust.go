package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ClientConfig returns a configuration for a caller or an operator. It trusts
// the certificates of a PEM file; an empty name means those of the machine.
func ClientConfig(authority string) (*tls.Config, error) {
	if authority == "" {
		return &tls.Config{MinVersion: tls.VersionTLS13}, nil
	}
	trusted, err := readAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: trusted}, nil
}

// readAuthority reads the certificates of a PEM file.
func readAuthority(name string) (*x509.CertPool, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	trusted := x509.NewCertPool()
	if !trusted.AppendCertsFromPEM(data) {
		return nil, errors.Newf("no certificate in %s", name)
	}
	return trusted, nil
}
