// Package certs loads TLS certificates and reads them again without a restart.
//
// # Usage
//
//	pair, err := certs.Load(certs.Files{Cert: "vm.pem", Key: "vm.key", CA: "ca.pem"})
//	if err != nil {
//		return err
//	}
//	server := pair.Server() // for callers
//	...
//	err = pair.Reload() // keeps the former certificates when it fails
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFile means that a file could not be read.
	KindUnreadable Kind = iota + 1
	// KindFormat means that a file does not hold what it should.
	KindMalformed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	File string
	Kind Kind
	Err  error
}

// Error returns the operation, the file and the cause.
func (e *Error) Error() string { return "certs: " + e.Op + " " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Files names the PEM files of a certificate, its key and the authorities to
// trust. Cert and Key may both be empty for a client that shows none.
type Files struct{ Cert, Key, CA string }

type loaded struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// Certificates holds what was loaded last. Its methods may be called from several
// goroutines.
type Certificates struct {
	files   Files
	current atomic.Pointer[loaded]
}

// Load reads the files.
func Load(f Files) (*Certificates, error) {
	p := &Certificates{files: f}
	return p, p.Reload()
}

// Reload reads the files again. Connections that are open keep the former
// certificates; when it fails, new ones do too.
func (p *Certificates) Reload() error {
	var l loaded
	if p.files.Cert != "" {
		cert, err := tls.LoadX509KeyPair(p.files.Cert, p.files.Key)
		if err != nil {
			return &Error{Op: "load", File: p.files.Cert, Kind: KindUnreadable, Err: err}
		}
		l.cert = &cert
	}
	if p.files.CA != "" {
		raw, err := os.ReadFile(p.files.CA)
		if err != nil {
			return &Error{Op: "load", File: p.files.CA, Kind: KindUnreadable, Err: err}
		}
		l.roots = x509.NewCertPool()
		if !l.roots.AppendCertsFromPEM(raw) {
			return &Error{Op: "load", File: p.files.CA, Kind: KindMalformed, Err: errors.New("no certificate in the file")}
		}
	}
	p.current.Store(&l)
	return nil
}

var errNoCert = &Error{Op: "handshake", Kind: KindUnreadable, Err: errors.New("no certificate is configured")}

func (p *Certificates) certificate() (*tls.Certificate, error) {
	if c := p.current.Load().cert; c != nil {
		return c, nil
	}
	return nil, errNoCert
}

// ServerConfig returns the configuration of a listener for callers, TLS 1.2 at least.
func (p *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.certificate() },
	}
}

// ClientConfig returns the configuration of a client that trusts the authorities in
// force when it is called.
func (p *Certificates) ClientConfig() *tls.Config {
	l := p.current.Load()
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: l.roots}
	if l.cert != nil {
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.certificate() }
	}
	return cfg
}
