package agatesettings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrInsecure is returned by TLS.Config for settings that ask for plain text.
var ErrInsecure = errors.New("agatesettings: insecure = true")

// Config reads the files and returns a configuration for both ends of
// connections between own processes: each end needs a certificate that the
// CA signed. Listeners for callers clear ClientAuth on a clone. The error is
// ErrInsecure if plain text is set.
func (t TLS) Config() (*tls.Config, error) {
	if t.Insecure {
		return nil, ErrInsecure
	}
	cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
	if err != nil {
		return nil, fmt.Errorf("agatesettings: certificate: %w", err)
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("agatesettings: ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("agatesettings: ca: no certificate in %s", t.CA)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
