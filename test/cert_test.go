package test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// authority signs the certificates of one script's processes.
type authority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// newAuthority writes ca.pem.
func newAuthority(dir string) (*authority, error) {
	a := &authority{dir: dir}
	tmpl := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	cert, key, err := a.issue("ca", tmpl)
	a.cert, a.key = cert, key
	return a, err
}

// host writes NAME.pem and NAME.key for a process at an address.
func (a *authority) host(name string, addr netip.Addr) error {
	_, _, err := a.issue(name, &x509.Certificate{
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{addr.AsSlice()},
	})
	return err
}

func (a *authority) issue(name string, tmpl *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	tmpl.SerialNumber = big.NewInt(time.Now().UnixNano())
	tmpl.Subject = pkix.Name{CommonName: name}
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	if err := a.write(name+".pem", "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := a.write(name+".key", "EC PRIVATE KEY", private); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func (a *authority) write(file, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return os.WriteFile(filepath.Join(a.dir, file), text, 0o600)
}

// secure replaces plain text in all settings by certificates of a new
// authority. The operator's own is "operator"; "stranger" belongs to another
// authority.
func (s *system) secure() error {
	ca, err := newAuthority(s.dir)
	if err != nil {
		return err
	}
	for _, h := range append(append([]host(nil), s.controls...), s.entries...) {
		if err := ca.host(h.name, h.peer.Addr()); err != nil {
			return err
		}
		file := filepath.Join(s.dir, h.name+".toml")
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(encrypted(string(text), s.dir, h.name)), 0o600); err != nil {
			return err
		}
	}
	if err := ca.host("operator", netip.MustParseAddr("127.0.0.1")); err != nil {
		return err
	}
	return s.stranger()
}

// stranger writes the certificate of an operator whom nobody trusts.
func (s *system) stranger() error {
	dir := filepath.Join(s.dir, "other")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	other, err := newAuthority(dir)
	if err != nil {
		return err
	}
	return other.host("stranger", netip.MustParseAddr("127.0.0.1"))
}
