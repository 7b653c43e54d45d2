package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// selfSigned writes a certificate that is its own authority.
func selfSigned(t *testing.T, name string) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	f := Files{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k"), CA: filepath.Join(dir, "c")}
	is.NoErr(os.WriteFile(f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return f
}

// handshake runs both ends over loopback and returns what either refused.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	is := is.New(t)
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			err = c.(*tls.Conn).Handshake()
			_ = c.Close()
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	c := tls.Client(raw, client)
	err = c.Handshake()
	_ = raw.Close()
	return errors.Join(<-done, err)
}

// TestMutual guards against a peer service that lets in a VM whose certificate
// comes from another authority, or that shows none.
func TestMutual(t *testing.T) {
	is := is.New(t)
	ours, err := Load(selfSigned(t, "ours"))
	is.NoErr(err)
	other, err := Load(selfSigned(t, "other"))
	is.NoErr(err)
	is.NoErr(handshake(t, ours.Mutual(), ours.Mutual()))
	is.True(handshake(t, ours.Mutual(), other.Mutual()) != nil)
	bare := ours.Mutual()
	bare.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	is.True(handshake(t, ours.Mutual(), bare) != nil)
	old := ours.Mutual()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	is.True(handshake(t, ours.Mutual(), old) != nil)
}

// TestReload guards against a reload that needs new configurations, and against
// a broken file that takes away the certificate in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	f := selfSigned(t, "first")
	p, err := Load(f)
	is.NoErr(err)
	server := p.Mutual()
	is.NoErr(os.WriteFile(f.CA, []byte("none"), 0o600))
	is.True(p.Reload() != nil)
	is.NoErr(handshake(t, server, p.Mutual()))
	next := selfSigned(t, "second")
	for from, to := range map[string]string{next.Cert: f.Cert, next.Key: f.Key} {
		raw, err := os.ReadFile(from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(to, raw, 0o600))
	}
	is.NoErr(p.Reload())
	second, err := Load(next)
	is.NoErr(err)
	is.NoErr(handshake(t, server, second.Mutual()))
}
