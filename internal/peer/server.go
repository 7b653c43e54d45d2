package peer

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/guard"
	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/proto/peerpb"
)

// Membership handles pings.
type Membership interface {
	Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error)
	PingReq(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error)
}

// Catalogue distributes the catalogue.
type Catalogue interface {
	GetCatalogue(context.Context, *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error)
	PushCatalogue(context.Context, *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error)
}

// Lender lends rate tokens.
type Lender interface {
	Borrow(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
}

// Gate lends slots of targets.
type Gate interface {
	Slots(grpc.BidiStreamingServer[peerpb.SlotDemand, peerpb.SlotLoan]) error
}

// Canceller handles forwarded cancel requests.
type Canceller interface {
	Cancel(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Watcher handles suspicions of primaries.
type Watcher interface {
	Suspect(context.Context, *peerpb.SuspectRequest) (*peerpb.SuspectReply, error)
}

// Relay lends connections to databases.
type Relay interface {
	Relay(grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error
}

// ListReader returns entries of the platform's store that this VM has read.
type ListReader interface {
	ReadList(context.Context, *peerpb.ReadListRequest) (*peerpb.ReadListReply, error)
}

// Handlers has the handlers of the server's calls. Calls to a nil handler fail with
// codes.Unimplemented.
type Handlers struct {
	Membership Membership
	Catalogue  Catalogue
	Lender     Lender
	Gate       Gate
	Canceller  Canceller
	Watcher    Watcher
	Relay      Relay
	ListReader ListReader
	Admin      adminpb.AdminServer
}

// ServerConfig has the parameters of a Server.
type ServerConfig struct {
	// Certificates for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// AllowPlaintext allows plaintext on every address, for a private network.
	AllowPlaintext bool
	// AllowLoopbackPlaintext allows plaintext on loopback addresses.
	AllowLoopbackPlaintext bool
	// Log receives the panics of handlers.
	Log zerolog.Logger
	// VMOrgUnit, unless empty, is the organizational unit that a client's
	// certificate must have for the Peer service.
	VMOrgUnit string
	// ServerOptions are added to those of the gRPC server.
	ServerOptions []grpc.ServerOption
}

// Server serves the Peer service and the Admin service on one port.
type Server struct {
	cfg ServerConfig
	srv *grpc.Server
}

// NewServer returns a server that is ready to serve.
func NewServer(cfg ServerConfig, h Handlers) *Server {
	s := &Server{cfg: cfg}
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if cfg.Certificates != nil {
		creds = cfg.Certificates.Credentials()
	}
	opts := append([]grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(connBufferBytes),
		grpc.WriteBufferSize(connBufferBytes),
		grpc.SharedWriteBuffer(true),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.ChainUnaryInterceptor(s.unaryInterceptor),
		grpc.ChainStreamInterceptor(s.streamInterceptor),
	}, cfg.ServerOptions...)
	s.srv = grpc.NewServer(opts...)
	peerpb.RegisterPeerServer(s.srv, &service{handlers: h})
	if h.Admin != nil {
		adminpb.RegisterAdminServer(s.srv, h.Admin)
	}
	return s
}

// Serve accepts connections until Stop. It returns an *Error of kind KindPlaintext
// when plaintext is not allowed on the listener's address.
func (s *Server) Serve(l net.Listener) error {
	if err := checkPlaintext("listen", l.Addr().String(), s.cfg.Certificates, s.cfg.AllowLoopbackPlaintext, s.cfg.AllowPlaintext); err != nil {
		return err
	}
	return s.srv.Serve(calledLoss.Listener(l))
}

// Stop waits for running calls to end, at most until ctx ends, and cancels the rest.
func (s *Server) Stop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.srv.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.srv.Stop()
		<-done
	}
}

// errPanic is the answer to a call whose handling ended in a panic.
var errPanic = status.Error(codes.Internal, "internal error")

func (s *Server) unaryInterceptor(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
	defer guard.Recover(s.cfg.Log, info.FullMethod, "", func() { reply, err = nil, errPanic })
	if err := s.authorize(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (s *Server) streamInterceptor(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer guard.Recover(s.cfg.Log, info.FullMethod, "", func() { err = errPanic })
	if err := s.authorize(ss.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, ss)
}

// authorize refuses calls of the Peer service from clients whose certificate lacks
// VMOrgUnit.
func (s *Server) authorize(ctx context.Context, method string) error {
	if s.cfg.VMOrgUnit == "" || s.cfg.Certificates == nil || !strings.HasPrefix(method, "/peer.v1.Peer/") {
		return nil
	}
	if p, ok := peer.FromContext(ctx); ok {
		tls, ok := p.AuthInfo.(credentials.TLSInfo)
		if ok && len(tls.State.VerifiedChains) > 0 {
			if slices.Contains(tls.State.VerifiedChains[0][0].Subject.OrganizationalUnit, s.cfg.VMOrgUnit) {
				return nil
			}
		}
	}
	return status.Error(codes.PermissionDenied, "the certificate is not one of a VM")
}
