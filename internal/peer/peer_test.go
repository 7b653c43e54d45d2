package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
)

type echoMembership struct{}

func (echoMembership) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Digest: r.Digest}, nil
}

func (echoMembership) PingReq(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	return &peerpb.PingReqReply{Reached: true}, nil
}

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.cert, a.key = a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

func (a *authority) sign(tmpl *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	is := is.New(a.t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl.SerialNumber = big.NewInt(time.Now().UnixNano())
	tmpl.NotBefore, tmpl.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	parent, signer := tmpl, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, parent, &key.PublicKey, signer)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return cert, key
}

// write writes a certificate with the given organizational unit, its key and the
// authority's certificate to files in dir.
func (a *authority) write(dir, unit string) Files {
	is := is.New(a.t)
	cert, key := a.sign(&x509.Certificate{
		Subject:     pkix.Name{OrganizationalUnit: []string{unit}},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := Files{Cert: filepath.Join(dir, unit+".crt"), Key: filepath.Join(dir, unit+".key"), CA: filepath.Join(dir, unit+".ca")}
	for path, block := range map[string]*pem.Block{
		f.Cert: {Type: "CERTIFICATE", Bytes: cert.Raw},
		f.Key:  {Type: "EC PRIVATE KEY", Bytes: der},
		f.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
	}
	return f
}

func mustLoadCertificates(t *testing.T, f Files) *Certificates {
	k, err := LoadCertificates(f)
	is.New(t).NoErr(err)
	return k
}

// serve starts a server on a loopback port and returns its address.
func serve(t *testing.T, cfg ServerConfig) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(cfg, Handlers{Membership: echoMembership{}})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Stop(context.Background())
		<-done
	})
	return l.Addr().String()
}

func ping(t *testing.T, c *Cache, address string) error {
	client, err := c.Client(address)
	if err != nil {
		return err
	}
	_, err = client.Ping(t.Context(), &peerpb.PingRequest{Digest: &peerpb.Digest{Vm: "a"}})
	return err
}

// panicMembership panics on each call.
type panicMembership struct{ echoMembership }

func (panicMembership) Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error) {
	panic("unexpected")
}

// TestPanic guards against a message of a peer that ends the process: the call fails,
// and the server goes on.
func TestPanic(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer(ServerConfig{AllowPlaintext: true}, Handlers{Membership: panicMembership{}})
	go func() { _ = s.Serve(l) }()
	defer s.Stop(context.Background())
	c := NewCache(CacheConfig{AllowPlaintext: true})
	defer c.Close()
	for range 2 {
		is.Equal(status.Code(ping(t, c, l.Addr().String())), codes.Internal)
	}
}

// TestMutualTLS guards against accepting clients without a certificate of the
// fleet's authority, and against accepting operators' certificates on the Peer
// service.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ca, stranger := newAuthority(t), newAuthority(t)
	vm := mustLoadCertificates(t, ca.write(dir, "vm"))
	operator := mustLoadCertificates(t, ca.write(dir, "operator"))
	foreign := mustLoadCertificates(t, stranger.write(t.TempDir(), "vm"))
	address := serve(t, ServerConfig{Certificates: vm, VMOrgUnit: "vm"})
	for _, test := range []struct {
		name string
		cfg  CacheConfig
		want codes.Code
	}{
		{"vm", CacheConfig{Certificates: vm}, codes.OK},
		{"operator", CacheConfig{Certificates: operator}, codes.PermissionDenied},
		{"foreign", CacheConfig{Certificates: foreign}, codes.Unavailable},
		{"plain", CacheConfig{AllowLoopbackPlaintext: true}, codes.Unavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCache(test.cfg)
			defer c.Close()
			is.New(t).Equal(status.Code(ping(t, c, address)), test.want)
		})
	}
}

// TestReload guards against new connections that don't use the certificates of a
// reload, and against a broken file that replaces the certificate in use.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir, other := t.TempDir(), t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	files := first.write(dir, "vm")
	server := mustLoadCertificates(t, files)
	client := mustLoadCertificates(t, second.write(other, "vm"))
	address := serve(t, ServerConfig{Certificates: server})
	c := NewCache(CacheConfig{Certificates: client})
	is.Equal(status.Code(ping(t, c, address)), codes.Unavailable)
	c.Close()

	second.write(dir, "vm")
	is.NoErr(server.Reload())
	c = NewCache(CacheConfig{Certificates: client})
	defer c.Close()
	is.NoErr(ping(t, c, address))

	is.NoErr(os.WriteFile(files.Cert, []byte("broken"), 0o600))
	var e *Error
	is.True(errors.As(server.Reload(), &e))
	is.Equal(e.Kind, KindCertificates)
	d := NewCache(CacheConfig{Certificates: client})
	defer d.Close()
	is.NoErr(ping(t, d, address))
}

// TestPlain guards against plaintext where the settings don't allow it, and on
// addresses other than loopback.
func TestPlain(t *testing.T) {
	for _, test := range []struct {
		address string
		plain   bool
		want    Kind
	}{
		{"127.0.0.1:1", true, 0},
		{"127.0.0.1:1", false, KindPlaintext},
		{"10.0.0.1:1", true, KindPlaintext},
		{"localhost:1", true, KindInvalidAddress},
	} {
		is := is.New(t)
		c := NewCache(CacheConfig{AllowLoopbackPlaintext: test.plain})
		_, err := c.Client(test.address)
		var e *Error
		is.Equal(errors.As(err, &e), test.want != 0)
		if e != nil {
			is.Equal(e.Kind, test.want)
		}
		c.Close()
	}
	l, err := net.Listen("tcp", "0.0.0.0:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	is.New(t).True(NewServer(ServerConfig{AllowLoopbackPlaintext: true}, Handlers{}).Serve(l) != nil)
}

// TestUnimplemented guards against a panic in calls to a handler that is nil.
func TestUnimplemented(t *testing.T) {
	is := is.New(t)
	address := serve(t, ServerConfig{AllowLoopbackPlaintext: true})
	c := NewCache(CacheConfig{AllowLoopbackPlaintext: true})
	defer c.Close()
	client, err := c.Client(address)
	is.NoErr(err)
	_, err = client.Borrow(t.Context(), &peerpb.BorrowRequest{})
	is.Equal(status.Code(err), codes.Unimplemented)
	stream, err := client.Slots(t.Context())
	is.NoErr(err)
	_, err = stream.Recv()
	is.Equal(status.Code(err), codes.Unimplemented)
}

// TestBytes guards against traffic between VMs that is missing from the counters of
// its region.
func TestBytes(t *testing.T) {
	is := is.New(t)
	address := serve(t, ServerConfig{AllowLoopbackPlaintext: true})
	scope := tally.NewTestScope("", nil)
	c := NewCache(CacheConfig{AllowLoopbackPlaintext: true, Scope: scope, RegionOf: func(string) ident.Region { return "caribe" }})
	is.NoErr(ping(t, c, address))
	c.Close()
	counters := scope.Snapshot().Counters()
	const bytes = 5 + 2 + 3 // header of the gRPC message, of the digest, and the name with its header
	is.Equal(counters["peer_sent_bytes+peer_region=caribe"].Value(), int64(bytes))
	is.Equal(counters["peer_received_bytes+peer_region=caribe"].Value(), int64(bytes))
}

// TestCacheBound guards against more connections than MaxConns, against idle ones
// that stay open, and against closing one with a running call.
func TestCacheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := bufconn.Listen(1 << 16)
		dialer := grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return l.DialContext(ctx) })
		c := NewCache(CacheConfig{AllowLoopbackPlaintext: true, MaxConns: 2, DialOptions: []grpc.DialOption{dialer}})
		ctx, cancel := context.WithCancel(t.Context())
		first, err := c.Client("127.0.0.1:1")
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { // the server never answers
			_, err := first.Ping(ctx, &peerpb.PingRequest{}, grpc.WaitForReady(true))
			done <- err
		}()
		synctest.Wait()
		_, err = c.Client("127.0.0.1:2")
		is.NoErr(err)
		var e *Error
		_, err = c.Client("127.0.0.1:3")
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindCacheFull)
		time.Sleep(2 * time.Second)
		_, err = c.Client("127.0.0.1:3") // evicts the unused connection
		is.NoErr(err)
		time.Sleep(2 * time.Minute)
		c.Sweep()
		is.Equal(c.Len(), 1) // the running call keeps its connection
		cancel()
		is.Equal(status.Code(<-done), codes.Canceled)
		time.Sleep(2 * time.Minute)
		c.Sweep()
		is.Equal(c.Len(), 0)
		c.Close()
		_ = l.Close()
	})
}
