package peer

import (
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/proto/peerpb"
)

// Membership handles pings.
type Membership interface {
	Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error)
	PingReq(context.Context, *peerpb.PingReqRequest) (*peerpb.PingReqReply, error)
}

// Catalogue hands out the catalogue.
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

// Canceller takes forwarded cancel requests.
type Canceller interface {
	Cancel(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error)
}

// Watcher takes suspicions of primaries.
type Watcher interface {
	Suspect(context.Context, *peerpb.SuspectRequest) (*peerpb.SuspectReply, error)
}

// Relay lends connections to databases.
type Relay interface {
	Relay(grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error
}

// ListReader answers with lists of the platform's store.
type ListReader interface {
	ReadList(context.Context, *peerpb.ReadListRequest) (*peerpb.ReadListReply, error)
}

// Handlers are the parts of the daemon behind the server. Methods of nil parts
// answer with codes.Unimplemented.
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
	// Keys for mutual TLS; nil means plain text.
	Certificates *Certificates
	// Private allows plain text on every address; the network is private.
	AllowPlaintext bool
	// Plain allows plain text on loopback addresses.
	AllowLoopbackPlaintext bool
	// VMUnit, unless empty, is the organizational unit that a certificate
	// needs for the Peer service.
	VMOrgUnit string
	// Options are added to the gRPC server's.
	ServerOptions []grpc.ServerOption
}

// Server serves the Peer and the Admin service on one port.
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
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.ConnectionTimeout(5 * time.Second),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 30 * time.Second, Timeout: 10 * time.Second}),
		grpc.ChainUnaryInterceptor(s.unary),
		grpc.ChainStreamInterceptor(s.stream),
	}, cfg.ServerOptions...)
	s.srv = grpc.NewServer(opts...)
	peerpb.RegisterPeerServer(s.srv, &service{h: h})
	if h.Admin != nil {
		adminpb.RegisterAdminServer(s.srv, h.Admin)
	}
	return s
}

// Serve accepts connections until Stop. It returns an *Error of kind KindPlain
// when plain text is not allowed on the listener's address.
func (s *Server) Serve(l net.Listener) error {
	if err := allowPlain("listen", l.Addr().String(), s.cfg.Certificates, s.cfg.AllowLoopbackPlaintext, s.cfg.AllowPlaintext); err != nil {
		return err
	}
	return s.srv.Serve(l)
}

// Stop lets running calls end, at most until ctx ends, and closes the rest.
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

func (s *Server) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := s.allow(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (s *Server) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := s.allow(ss.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, ss)
}

// allow refuses the Peer service to certificates without the unit of VMs.
func (s *Server) allow(ctx context.Context, method string) error {
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
