package peer

import (
	"context"

	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
)

// service implements peerpb.PeerServer by passing calls to the handlers.
type service struct {
	// The embedded type answers for handlers that are nil.
	peerpb.UnimplementedPeerServer
	handlers Handlers
}

// Ping implements peerpb.PeerServer.
func (s *service) Ping(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if s.handlers.Membership == nil {
		return s.UnimplementedPeerServer.Ping(ctx, r)
	}
	return s.handlers.Membership.Ping(ctx, r)
}

// PingReq implements peerpb.PeerServer.
func (s *service) PingReq(ctx context.Context, r *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	if s.handlers.Membership == nil {
		return s.UnimplementedPeerServer.PingReq(ctx, r)
	}
	return s.handlers.Membership.PingReq(ctx, r)
}

// GetCatalogue implements peerpb.PeerServer.
func (s *service) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	if s.handlers.Catalogue == nil {
		return s.UnimplementedPeerServer.GetCatalogue(ctx, r)
	}
	return s.handlers.Catalogue.GetCatalogue(ctx, r)
}

// PushCatalogue implements peerpb.PeerServer.
func (s *service) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if s.handlers.Catalogue == nil {
		return s.UnimplementedPeerServer.PushCatalogue(ctx, r)
	}
	return s.handlers.Catalogue.PushCatalogue(ctx, r)
}

// Borrow implements peerpb.PeerServer.
func (s *service) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if s.handlers.Lender == nil {
		return s.UnimplementedPeerServer.Borrow(ctx, r)
	}
	return s.handlers.Lender.Borrow(ctx, r)
}

// Slots implements peerpb.PeerServer.
func (s *service) Slots(stream grpc.BidiStreamingServer[peerpb.SlotDemand, peerpb.SlotLoan]) error {
	if s.handlers.Gate == nil {
		return s.UnimplementedPeerServer.Slots(stream)
	}
	return s.handlers.Gate.Slots(stream)
}

// Cancel implements peerpb.PeerServer.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.handlers.Canceller == nil {
		return s.UnimplementedPeerServer.Cancel(ctx, r)
	}
	return s.handlers.Canceller.Cancel(ctx, r)
}

// Suspect implements peerpb.PeerServer.
func (s *service) Suspect(ctx context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	if s.handlers.Watcher == nil {
		return s.UnimplementedPeerServer.Suspect(ctx, r)
	}
	return s.handlers.Watcher.Suspect(ctx, r)
}

// Relay implements peerpb.PeerServer.
func (s *service) Relay(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error {
	if s.handlers.Relay == nil {
		return s.UnimplementedPeerServer.Relay(stream)
	}
	return s.handlers.Relay.Relay(stream)
}

// ReadList implements peerpb.PeerServer.
func (s *service) ReadList(ctx context.Context, r *peerpb.ReadListRequest) (*peerpb.ReadListReply, error) {
	if s.handlers.ListReader == nil {
		return s.UnimplementedPeerServer.ReadList(ctx, r)
	}
	return s.handlers.ListReader.ReadList(ctx, r)
}
