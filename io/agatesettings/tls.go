package agatesettings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrInsecure is returned by TLS.Config if TLS is disabled by insecure = true.
var ErrInsecure = errors.New("agatesettings: TLS is disabled by insecure = true")

// Config loads the files and returns a mutual-TLS configuration for both ends of
// connections between the system's processes: each end needs a certificate signed
// by the CA. A listener that must accept clients without a certificate clears
// ClientAuth on a clone. The error is ErrInsecure if Insecure is set.
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
