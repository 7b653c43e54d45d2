// Package certs loads TLS certificates from files and reloads them at run time.
//
// # Usage
//
//	c, err := certs.Load(certs.Files{Cert: "vm.pem", Key: "vm.key", CA: "ca.pem"})
//	if err != nil {
//		return err
//	}
//	server := c.ServerConfig() // for the callers' listener
//	...
//	err = c.Reload() // keeps the former certificates when it fails
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
	// KindUnreadable means that a file could not be loaded, or that a certificate
	// is needed and none is configured.
	KindUnreadable Kind = iota + 1
	// KindMalformed means that the file of the authorities has no certificate.
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

// Files names the PEM files of a certificate, its key and the trusted certificate
// authorities. Cert and Key may both be empty for a client without a certificate.
type Files struct{ Cert, Key, CA string }

// snapshot is the content of the files at one load.
type snapshot struct {
	cert  *tls.Certificate
	roots *x509.CertPool
}

// Certificates holds the certificates that were loaded last. Its methods may be
// called from several goroutines.
type Certificates struct {
	files   Files
	current atomic.Pointer[snapshot]
}

// Load reads the files. The error is an *Error.
func Load(f Files) (*Certificates, error) {
	c := &Certificates{files: f}
	return c, c.Reload()
}

// Reload reads the files again. Open connections keep the former certificates;
// after an error, new connections use them too.
func (c *Certificates) Reload() error {
	var l snapshot
	if c.files.Cert != "" {
		cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
		if err != nil {
			return &Error{Op: "load", File: c.files.Cert, Kind: KindUnreadable, Err: err}
		}
		l.cert = &cert
	}
	if c.files.CA != "" {
		raw, err := os.ReadFile(c.files.CA)
		if err != nil {
			return &Error{Op: "load", File: c.files.CA, Kind: KindUnreadable, Err: err}
		}
		l.roots = x509.NewCertPool()
		if !l.roots.AppendCertsFromPEM(raw) {
			return &Error{Op: "load", File: c.files.CA, Kind: KindMalformed, Err: errors.New("no certificate in the file")}
		}
	}
	c.current.Store(&l)
	return nil
}

var errNoCertificate = &Error{Op: "handshake", Kind: KindUnreadable, Err: errors.New("no certificate is configured")}

func (c *Certificates) certificate() (*tls.Certificate, error) {
	if c := c.current.Load().cert; c != nil {
		return c, nil
	}
	return nil, errNoCertificate
}

// ServerConfig returns the configuration of a listener, with TLS 1.2 or later. Each
// handshake uses the certificate that was loaded last.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate() },
	}
}

// ClientConfig returns the configuration of a client, with TLS 1.2 or later. The
// trusted authorities are those loaded at the time of the call; each handshake uses
// the certificate that was loaded last.
func (c *Certificates) ClientConfig() *tls.Config {
	l := c.current.Load()
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: l.roots}
	if l.cert != nil {
		cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.certificate() }
	}
	return cfg
}
