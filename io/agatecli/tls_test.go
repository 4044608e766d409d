package agatecli_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agategate/io/agatecli"
	"agategate/io/agateops"
	"agategate/io/agatesettings"
)

// authority is a certificate authority for a test.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "ca", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

// issue signs a certificate and writes it to NAME.pem and its key to NAME.key.
func (a *authority) issue(t *testing.T, name string, tmpl *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl.SerialNumber, tmpl.Subject = big.NewInt(time.Now().UnixNano()), pkix.Name{CommonName: name}
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	write := func(suffix, kind string, data []byte) {
		file := filepath.Join(a.dir, name+suffix)
		assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
	}
	write(".pem", "CERTIFICATE", der)
	write(".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return cert, key
}

func (a *authority) settings(name string) agatesettings.TLS {
	file := func(s string) string { return filepath.Join(a.dir, s) }
	return agatesettings.TLS{Cert: file(name + ".pem"), Key: file(name + ".key"), CA: file("ca.pem")}
}

// Guards against operators locked out of control hosts with TLS, and against
// access with a certificate of another authority.
func TestEncryptedControl(t *testing.T) {
	a := newAuthority(t)
	both := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	a.issue(t, "host", &x509.Certificate{IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: both})
	a.issue(t, "operator", &x509.Certificate{ExtKeyUsage: both})
	other := newAuthority(t)
	other.issue(t, "operator", &x509.Certificate{ExtKeyUsage: both})

	cfg, err := a.settings("host").Config()
	assert.NilError(t, err)
	srv := httptest.NewUnstartedServer(agateops.New((&fakeControl{}).config()))
	srv.TLS = cfg
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.StartTLS()
	defer srv.Close()

	status := func(s agatesettings.TLS) (int, string) {
		var out strings.Builder
		code := agatecli.Run(t.Context(), agatecli.Config{Stdout: &out, Stderr: &out}, []string{
			"status", "--timeout", "2s", "--control", srv.Listener.Addr().String(), "--ca", s.CA, "--cert", s.Cert, "--key", s.Key,
		})
		return code, out.String()
	}
	code, out := status(a.settings("operator"))
	assert.Equal(t, code, agatecli.ExitOK, out)
	assert.Assert(t, strings.Contains(out, "leader control-1"))
	code, out = status(other.settings("operator"))
	assert.Equal(t, code, agatecli.ExitNotConfirmed, out)
	code, out = status(agatesettings.TLS{CA: a.settings("operator").CA, Cert: other.settings("operator").Cert, Key: other.settings("operator").Key})
	assert.Equal(t, code, agatecli.ExitNotConfirmed, out)
	resp, err := http.Get("http://" + srv.Listener.Addr().String() + "/v1/status")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}
