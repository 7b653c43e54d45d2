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
		IsCA: true, DNSNames: []string{"localhost"}, BasicConstraintsValid: true,
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

// client returns a client's configuration that expects the test certificate.
func client(p *Certificates) *tls.Config {
	cfg := p.ClientConfig()
	cfg.ServerName = "localhost"
	return cfg
}

// TestReload guards against a reload that needs new configurations, and against
// a broken file that takes away the certificate in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	f := selfSigned(t, "first")
	p, err := Load(f)
	is.NoErr(err)
	server := p.ServerConfig()
	is.NoErr(os.WriteFile(f.CA, []byte("none"), 0o600))
	is.True(p.Reload() != nil)
	is.NoErr(handshake(t, server, client(p)))
	next := selfSigned(t, "second")
	for from, to := range map[string]string{next.Cert: f.Cert, next.Key: f.Key} {
		raw, err := os.ReadFile(from)
		is.NoErr(err)
		is.NoErr(os.WriteFile(to, raw, 0o600))
	}
	is.NoErr(p.Reload())
	second, err := Load(next)
	is.NoErr(err)
	is.NoErr(handshake(t, server, client(second)))
	other, err := Load(selfSigned(t, "other"))
	is.NoErr(err)
	is.True(handshake(t, server, client(other)) != nil) // an authority that the client does not trust
}
