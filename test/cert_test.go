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

// certAuthority is a certificate authority that writes its files to dir.
type certAuthority struct {
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

// newCertAuthority creates an authority and writes ca.pem and ca.key.
func newCertAuthority(dir string) (*certAuthority, error) {
	a := &certAuthority{dir: dir}
	tmpl := &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	cert, key, err := a.issue("ca", tmpl)
	a.cert, a.key = cert, key
	return a, err
}

// issueLeaf writes the certificate NAME.pem and the key NAME.key of a host or an
// operator at an IP address.
func (a *certAuthority) issueLeaf(name string, addr netip.Addr) error {
	_, _, err := a.issue(name, &x509.Certificate{
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{addr.AsSlice()},
	})
	return err
}

// issue signs a certificate and writes it and its key. The first one, of the
// authority itself, is self-signed.
func (a *certAuthority) issue(name string, tmpl *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
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
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	if err := a.writePEM(name+".pem", "CERTIFICATE", der); err != nil {
		return nil, nil, err
	}
	if err := a.writePEM(name+".key", "EC PRIVATE KEY", keyDER); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func (a *certAuthority) writePEM(file, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return os.WriteFile(filepath.Join(a.dir, file), text, 0o600)
}

// enableTLS issues certificates for all hosts and for the operator and changes
// all settings from plain text to TLS. It also writes the certificate of an
// untrusted operator.
func (s *system) enableTLS() error {
	ca, err := newCertAuthority(s.dir)
	if err != nil {
		return err
	}
	for _, h := range append(append([]host(nil), s.controls...), s.entries...) {
		if err := ca.issueLeaf(h.name, h.peer.Addr()); err != nil {
			return err
		}
		file := filepath.Join(s.dir, h.name+".toml")
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(withCertificate(string(text), s.dir, h.name)), 0o600); err != nil {
			return err
		}
	}
	if err := ca.issueLeaf("operator", netip.MustParseAddr("127.0.0.1")); err != nil {
		return err
	}
	return s.issueUntrusted()
}

// issueUntrusted writes the certificate of an operator that is signed by another
// authority, which no host trusts.
func (s *system) issueUntrusted() error {
	dir := filepath.Join(s.dir, "other")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	other, err := newCertAuthority(dir)
	if err != nil {
		return err
	}
	return other.issueLeaf("untrusted", netip.MustParseAddr("127.0.0.1"))
}
