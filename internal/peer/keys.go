package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
)

// Files are the paths of PEM files.
type Files struct {
	Cert string
	Key  string
	// CA has the certificate authorities of VMs and operators.
	CA string
	// ServerName is the name expected in servers' certificates; empty means the
	// IP address that is dialled.
	ServerName string
}

// Certificates holds this VM's certificate and the trusted certificate authorities.
// Its methods may be called from several goroutines.
type Certificates struct {
	files  Files
	config atomic.Pointer[tls.Config]
}

// LoadCertificates reads the files. The error is an *Error of kind KindCertificates.
func LoadCertificates(f Files) (*Certificates, error) {
	c := &Certificates{files: f}
	return c, c.Reload()
}

// Reload reads the files again. Open connections stay open; after an error the
// former certificates stay in use.
func (c *Certificates) Reload() error {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return &Error{Op: "load", Kind: KindCertificates, Subject: c.files.Cert, Err: err}
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return &Error{Op: "load", Kind: KindCertificates, Subject: c.files.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &Error{Op: "load", Kind: KindCertificates, Subject: c.files.CA, Err: eris.New("no certificate in the file")}
	}
	c.config.Store(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   c.files.ServerName,
	})
	return nil
}

// Credentials returns transport credentials for gRPC clients and servers. Each
// handshake uses the certificates that were loaded last.
func (c *Certificates) Credentials() credentials.TransportCredentials { return reloadingCredentials{c} }

// reloadingCredentials makes new TLS credentials for each handshake.
type reloadingCredentials struct{ certs *Certificates }

func (r reloadingCredentials) current() credentials.TransportCredentials {
	return credentials.NewTLS(r.certs.config.Load())
}

// ClientHandshake implements credentials.TransportCredentials.
func (r reloadingCredentials) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, c)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r reloadingCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ServerHandshake(c)
}

// Info implements credentials.TransportCredentials.
func (r reloadingCredentials) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone implements credentials.TransportCredentials.
func (r reloadingCredentials) Clone() credentials.TransportCredentials { return r }

// OverrideServerName implements credentials.TransportCredentials. It does nothing
// because the name comes from Files only.
func (r reloadingCredentials) OverrideServerName(string) error { return nil }
