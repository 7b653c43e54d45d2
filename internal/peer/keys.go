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
	// CA has the certificates that sign those of VMs and operators.
	CA string
	// ServerName is expected in the certificates of servers; empty stands for
	// the IP address that is dialled.
	ServerName string
}

// Certificates are the certificates of this VM and of those it trusts. Reload reads
// them again while connections stay open.
type Certificates struct {
	files Files
	now   atomic.Pointer[tls.Config]
}

// LoadCertificates reads the files. It returns an *Error of kind KindKeys.
func LoadCertificates(f Files) (*Certificates, error) {
	k := &Certificates{files: f}
	return k, k.Reload()
}

// Reload reads the files again; after an error the former certificates stay.
func (k *Certificates) Reload() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return &Error{Op: "load", Kind: KindCertificates, Subject: k.files.Cert, Err: err}
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return &Error{Op: "load", Kind: KindCertificates, Subject: k.files.CA, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &Error{Op: "load", Kind: KindCertificates, Subject: k.files.CA, Err: eris.New("there is no certificate in it")}
	}
	k.now.Store(&tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		ServerName:   k.files.ServerName,
	})
	return nil
}

// Credentials returns what gRPC clients and servers use. Each handshake takes
// the certificates that were loaded last.
func (k *Certificates) Credentials() credentials.TransportCredentials { return reloading{k} }

// reloading makes TLS credentials anew for each handshake.
type reloading struct{ keys *Certificates }

func (r reloading) current() credentials.TransportCredentials {
	return credentials.NewTLS(r.keys.now.Load())
}

// ClientHandshake implements credentials.TransportCredentials.
func (r reloading) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, c)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r reloading) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ServerHandshake(c)
}

// Info implements credentials.TransportCredentials.
func (r reloading) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone implements credentials.TransportCredentials.
func (r reloading) Clone() credentials.TransportCredentials { return r }

// OverrideServerName implements credentials.TransportCredentials; the name
// comes from the settings alone.
func (r reloading) OverrideServerName(string) error { return nil }
