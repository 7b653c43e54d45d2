package peer

import (
	"context"

	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
)

// service passes the calls of the Peer service on to the handlers.
type service struct {
	// The embedded type answers for parts that are nil.
	peerpb.UnimplementedPeerServer
	h Handlers
}

// Ping implements peerpb.PeerServer.
func (s *service) Ping(ctx context.Context, r *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if s.h.Membership == nil {
		return s.UnimplementedPeerServer.Ping(ctx, r)
	}
	return s.h.Membership.Ping(ctx, r)
}

// PingReq implements peerpb.PeerServer.
func (s *service) PingReq(ctx context.Context, r *peerpb.PingReqRequest) (*peerpb.PingReqReply, error) {
	if s.h.Membership == nil {
		return s.UnimplementedPeerServer.PingReq(ctx, r)
	}
	return s.h.Membership.PingReq(ctx, r)
}

// GetCatalogue implements peerpb.PeerServer.
func (s *service) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	if s.h.Catalogue == nil {
		return s.UnimplementedPeerServer.GetCatalogue(ctx, r)
	}
	return s.h.Catalogue.GetCatalogue(ctx, r)
}

// PushCatalogue implements peerpb.PeerServer.
func (s *service) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if s.h.Catalogue == nil {
		return s.UnimplementedPeerServer.PushCatalogue(ctx, r)
	}
	return s.h.Catalogue.PushCatalogue(ctx, r)
}

// Borrow implements peerpb.PeerServer.
func (s *service) Borrow(ctx context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if s.h.Lender == nil {
		return s.UnimplementedPeerServer.Borrow(ctx, r)
	}
	return s.h.Lender.Borrow(ctx, r)
}

// Slots implements peerpb.PeerServer.
func (s *service) Slots(stream grpc.BidiStreamingServer[peerpb.SlotDemand, peerpb.SlotLoan]) error {
	if s.h.Gate == nil {
		return s.UnimplementedPeerServer.Slots(stream)
	}
	return s.h.Gate.Slots(stream)
}

// Cancel implements peerpb.PeerServer.
func (s *service) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.h.Canceller == nil {
		return s.UnimplementedPeerServer.Cancel(ctx, r)
	}
	return s.h.Canceller.Cancel(ctx, r)
}

// Suspect implements peerpb.PeerServer.
func (s *service) Suspect(ctx context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	if s.h.Watcher == nil {
		return s.UnimplementedPeerServer.Suspect(ctx, r)
	}
	return s.h.Watcher.Suspect(ctx, r)
}

// Relay implements peerpb.PeerServer.
func (s *service) Relay(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]) error {
	if s.h.Relay == nil {
		return s.UnimplementedPeerServer.Relay(stream)
	}
	return s.h.Relay.Relay(stream)
}

// ReadList implements peerpb.PeerServer.
func (s *service) ReadList(ctx context.Context, r *peerpb.ReadListRequest) (*peerpb.ReadListReply, error) {
	if s.h.ListReader == nil {
		return s.UnimplementedPeerServer.ReadList(ctx, r)
	}
	return s.h.ListReader.ReadList(ctx, r)
}
