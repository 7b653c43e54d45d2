package admin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/spread"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// Catalogue is the part of *spread.Distributor that the service uses.
type Catalogue interface {
	Catalogue() *catal.Catalogue
	Edit(context.Context, spread.Edit) (spread.Outcome, error)
	StoredVersion(context.Context, ident.Version) (spread.Record, error)
	FormerVersion(context.Context, ident.Version) (spread.Record, error)
	Status() spread.Status
	Members() []member.Info
	Self() member.Info
}

// Clients provides gRPC clients of other VMs by address. *peer.Cache implements
// it.
type Clients interface {
	Admin(address string) (adminpb.AdminClient, error)
}

// Config has the parameters of a Service. Catalogue and Clients are required.
type Config struct {
	Catalogue Catalogue
	Clients   Clients
	// FillStatus adds the status of other packages on this VM: sessions, groups,
	// workspaces, slices and whether it is draining. May be nil.
	FillStatus func(*adminpb.VMStatus)
	// StartDrain starts a graceful stop and returns the number of open sessions;
	// nil means that operators can't drain the daemon.
	StartDrain func() uint32
	Log        zerolog.Logger
	// StatusTimeout limits the status call to each VM (default 1 s).
	StatusTimeout time.Duration
	// StatusConcurrency is the number of concurrent status calls (default 64).
	StatusConcurrency int
}

// Service implements adminpb.AdminServer.
type Service struct {
	adminpb.UnimplementedAdminServer
	cfg Config
}

// New returns a Service.
func New(cfg Config) *Service {
	cfg.StatusTimeout = cmp.Or(cfg.StatusTimeout, time.Second)
	cfg.StatusConcurrency = cmp.Or(cfg.StatusConcurrency, 64)
	return &Service{cfg: cfg}
}

// GetCatalogue implements adminpb.AdminServer. Version 0 stands for the catalogue in
// force; the reply is empty when there is none.
func (s *Service) GetCatalogue(ctx context.Context, r *adminpb.GetCatalogueRequest) (*adminpb.GetCatalogueReply, error) {
	if r.GetVersion() != 0 {
		rec, err := s.cfg.Catalogue.StoredVersion(ctx, ident.Version(r.GetVersion()))
		if err != nil {
			return nil, grpcError(err)
		}
		return &adminpb.GetCatalogueReply{Version: uint64(rec.Version), Document: rec.Document}, nil
	}
	c := s.cfg.Catalogue.Catalogue()
	if c == nil {
		return &adminpb.GetCatalogueReply{}, nil
	}
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, grpcError(err)
	}
	return &adminpb.GetCatalogueReply{Version: uint64(c.Version), Document: doc}, nil
}

// ApplyCatalogue implements adminpb.AdminServer.
func (s *Service) ApplyCatalogue(ctx context.Context, r *adminpb.ApplyCatalogueRequest) (*adminpb.ApplyCatalogueReply, error) {
	e := spread.Edit{BaseVersion: ident.Version(r.GetBaseVersion()), Document: r.GetDocument(), Operator: r.GetOperator(), Comment: r.GetComment()}
	if len(e.Operator) > catal.MaxTextBytes || len(e.Comment) > catal.MaxTextBytes {
		return nil, status.Error(codes.InvalidArgument, "the operator's name or the comment is too long")
	}
	out, err := s.cfg.Catalogue.Edit(ctx, e)
	if err != nil {
		evlog.At(s.cfg.Log, evlog.EditFailed).Str("operator", e.Operator).Str("reason", err.Error()).Send()
		return nil, grpcError(err)
	}
	reply := &adminpb.ApplyCatalogueReply{
		Accepted: out.Accepted, Confirmed: out.Confirmed, Version: uint64(out.Version),
		Won: out.Winner.Document, WonOperator: out.Winner.Operator,
	}
	for _, p := range out.Problems {
		reply.Errors = append(reply.Errors, p.String())
	}
	event := evlog.EditLost
	switch {
	case out.Accepted:
		event = evlog.EditAccepted
	case len(out.Problems) > 0:
		event = evlog.EditRefused
	}
	evlog.At(s.cfg.Log, event).Str("operator", e.Operator).Uint64("base", uint64(e.BaseVersion)).Uint64("version", uint64(out.Version)).Send()
	return reply, nil
}

// maxHistoryEntries equals the number of versions that the store keeps.
const maxHistoryEntries = 100

// ListHistory implements adminpb.AdminServer. The newest version comes first.
func (s *Service) ListHistory(ctx context.Context, r *adminpb.ListHistoryRequest) (*adminpb.ListHistoryReply, error) {
	limit := min(cmp.Or(r.GetLimit(), 20), maxHistoryEntries)
	reply := &adminpb.ListHistoryReply{}
	rec, err := s.cfg.Catalogue.StoredVersion(ctx, 0)
	for err == nil {
		reply.Entries = append(reply.Entries, &adminpb.HistoryEntry{
			Version: uint64(rec.Version), Operator: rec.Operator, Comment: rec.Comment, UnixMs: rec.UnixMS,
		})
		if rec.Version <= 1 || uint32(len(reply.Entries)) >= limit {
			return reply, nil
		}
		rec, err = s.cfg.Catalogue.FormerVersion(ctx, rec.Version-1)
	}
	var e *spread.Error
	if errors.As(err, &e) && e.Kind == spread.KindNoSuchVersion {
		return reply, nil
	}
	return nil, grpcError(err)
}

// Drain implements adminpb.AdminServer.
func (s *Service) Drain(context.Context, *adminpb.DrainRequest) (*adminpb.DrainReply, error) {
	if s.cfg.StartDrain == nil {
		return nil, status.Error(codes.Unimplemented, "this daemon can't be drained")
	}
	evlog.At(s.cfg.Log, evlog.DrainAsked).Send()
	return &adminpb.DrainReply{Sessions: s.cfg.StartDrain()}, nil
}

// Status implements adminpb.AdminServer.
func (s *Service) Status(ctx context.Context, r *adminpb.StatusRequest) (*adminpb.StatusReply, error) {
	local := s.localStatus()
	if r.GetLocal() {
		return &adminpb.StatusReply{Vms: []*adminpb.VMStatus{local}}, nil
	}
	others := slices.DeleteFunc(s.cfg.Catalogue.Members(), func(i member.Info) bool { return i.VM == ident.VM(local.Vm) })
	vms := make([]*adminpb.VMStatus, len(others)+1)
	vms[len(others)] = local
	poolCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	pool := pond.NewPool(s.cfg.StatusConcurrency, pond.WithContext(poolCtx))
	group := pool.NewGroup()
	for i, m := range others {
		group.Submit(func() { vms[i] = s.remoteStatus(ctx, m) })
	}
	if err := group.Wait(); err != nil {
		return nil, grpcError(err)
	}
	slices.SortFunc(vms, func(a, b *adminpb.VMStatus) int { return cmp.Compare(a.Vm, b.Vm) })
	return &adminpb.StatusReply{Vms: vms}, nil
}

func (s *Service) localStatus() *adminpb.VMStatus {
	self, st := s.cfg.Catalogue.Self(), s.cfg.Catalogue.Status()
	v := memberStatus(self)
	v.Reachable = true
	v.Version, v.RefusedVersion, v.RefusedReason = uint64(st.Version), uint64(st.RefusedVersion), st.RefusalReason
	v.Relay, v.StoreReachable, v.CutOff = st.IsRelay, st.StoreReachable, st.Decision.CutOff()
	v.StaleMs = st.Decision.ProofAge.Milliseconds()
	if st.Decision.ProofAge < 0 {
		v.StaleMs = -1
	}
	if s.cfg.FillStatus != nil {
		s.cfg.FillStatus(v)
	}
	return v
}

// memberStatus returns the status of a VM as far as the membership knows it.
func memberStatus(i member.Info) *adminpb.VMStatus {
	return &adminpb.VMStatus{Vm: string(i.VM), Zone: string(i.Zone), Region: string(i.Region), Address: i.Address, State: i.State.String()}
}

// remoteStatus asks a VM for its own status. For a VM that doesn't answer, it
// returns the data of the membership.
func (s *Service) remoteStatus(ctx context.Context, m member.Info) *adminpb.VMStatus {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StatusTimeout)
	defer cancel()
	client, err := s.cfg.Clients.Admin(m.Address)
	if err != nil {
		return memberStatus(m)
	}
	reply, err := client.Status(ctx, &adminpb.StatusRequest{Local: true})
	if err != nil || len(reply.GetVms()) != 1 || reply.Vms[0].GetVm() != string(m.VM) {
		return memberStatus(m)
	}
	reply.Vms[0].State = m.State.String()
	return reply.Vms[0]
}

// grpcError converts an error of package spread to a gRPC status.
func grpcError(err error) error {
	var e *spread.Error
	code := codes.Internal
	if errors.As(err, &e) {
		switch e.Kind {
		case spread.KindStore:
			code = codes.Unavailable
		case spread.KindOutcomeUnknown:
			code = codes.Unknown
		case spread.KindIsolated:
			code = codes.FailedPrecondition
		case spread.KindNoSuchVersion:
			code = codes.NotFound
		}
	}
	return status.Error(code, err.Error())
}
