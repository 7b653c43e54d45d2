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

type echo struct{}

func (echo) Ping(_ context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return &peerpb.PingReply{Digest: r.Digest}, nil
}

func (echo) PingReq(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	return &peerpb.PingReqReply{Reached: true}, nil
}

// authority signs certificates for tests.
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

// write puts a certificate of the given unit and the CA into dir.
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

func mustLoad(t *testing.T, f Files) *Certificates {
	k, err := LoadCertificates(f)
	is.New(t).NoErr(err)
	return k
}

// serve starts a server on a loopback port and returns its address.
func serve(t *testing.T, cfg ServerConfig) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(cfg, Handlers{Membership: echo{}})
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

// TestMutualTLS guards against callers without a certificate of the fleet's
// authority, and against operators' certificates on the service of VMs.
func TestMutualTLS(t *testing.T) {
	dir := t.TempDir()
	ca, stranger := newAuthority(t), newAuthority(t)
	vm := mustLoad(t, ca.write(dir, "vm"))
	operator := mustLoad(t, ca.write(dir, "operator"))
	foreign := mustLoad(t, stranger.write(t.TempDir(), "vm"))
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

// TestReload guards against certificates that are replaced on disk and not
// used by new connections, and against a broken file that takes the old one.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir, other := t.TempDir(), t.TempDir()
	first, second := newAuthority(t), newAuthority(t)
	files := first.write(dir, "vm")
	server := mustLoad(t, files)
	client := mustLoad(t, second.write(other, "vm"))
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

// TestPlain guards against plain text where the settings don't allow it or
// beyond loopback.
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

// TestUnimplemented guards against a crash when a part is not plugged in.
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

// TestBytes guards against traffic between regions that is not counted.
func TestBytes(t *testing.T) {
	is := is.New(t)
	address := serve(t, ServerConfig{AllowLoopbackPlaintext: true})
	scope := tally.NewTestScope("", nil)
	c := NewCache(CacheConfig{AllowLoopbackPlaintext: true, Scope: scope, RegionOf: func(string) ident.Region { return "caribe" }})
	is.NoErr(ping(t, c, address))
	c.Close()
	counters := scope.Snapshot().Counters()
	const bytes = 5 + 2 + 3 // gRPC's header, the digest's and its name's
	is.Equal(counters["peer_sent_bytes+peer_region=caribe"].Value(), int64(bytes))
	is.Equal(counters["peer_received_bytes+peer_region=caribe"].Value(), int64(bytes))
}

// TestCacheBound guards against connections that pile up, and against closing
// one with a running call.
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
		go func() { // never answered
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
		_, err = c.Client("127.0.0.1:3") // takes the place of the unused one
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
