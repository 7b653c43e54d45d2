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

// Catalogue is what the service needs of a *spread.Spread.
type Catalogue interface {
	Catalogue() *catal.Catalogue
	Edit(context.Context, spread.Edit) (spread.Outcome, error)
	StoredVersion(context.Context, ident.Version) (spread.Record, error)
	FormerVersion(context.Context, ident.Version) (spread.Record, error)
	Status() spread.Status
	Members() []member.Info
	Self() member.Info
}

// Clients gives clients of other VMs' services by address. A *peer.Cache is
// one.
type Clients interface {
	Admin(address string) (adminpb.AdminClient, error)
}

// Config has the parameters of a Service. Catalogue and Clients are required.
type Config struct {
	Catalogue Catalogue
	Clients   Clients
	// Fill adds what other parts know of this VM: sessions, groups,
	// workspaces, slices and whether it drains. May be nil.
	FillStatus func(*adminpb.VMStatus)
	// Drain starts a graceful stop and returns the number of sessions; nil
	// means that the daemon can't be drained by operators.
	StartDrain func() uint32
	Log        zerolog.Logger
	// Timeout bounds the question to each VM (1 s).
	StatusTimeout time.Duration
	// Workers is the number of VMs asked at once (64).
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

// GetCatalogue implements adminpb.AdminServer. Version 0 without a catalogue
// in force gives an empty document.
func (s *Service) GetCatalogue(ctx context.Context, r *adminpb.GetCatalogueRequest) (*adminpb.GetCatalogueReply, error) {
	if r.GetVersion() != 0 {
		rec, err := s.cfg.Catalogue.StoredVersion(ctx, ident.Version(r.GetVersion()))
		if err != nil {
			return nil, toStatus(err)
		}
		return &adminpb.GetCatalogueReply{Version: uint64(rec.Version), Document: rec.Document}, nil
	}
	c := s.cfg.Catalogue.Catalogue()
	if c == nil {
		return &adminpb.GetCatalogueReply{}, nil
	}
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, toStatus(err)
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
		return nil, toStatus(err)
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

// maxHistory is the number of versions that the store keeps.
const maxHistory = 100

// ListHistory implements adminpb.AdminServer; the newest version is first.
func (s *Service) ListHistory(ctx context.Context, r *adminpb.ListHistoryRequest) (*adminpb.ListHistoryReply, error) {
	limit := min(cmp.Or(r.GetLimit(), 20), maxHistory)
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
	return nil, toStatus(err)
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
	local := s.local()
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
		group.Submit(func() { vms[i] = s.remote(ctx, m) })
	}
	if err := group.Wait(); err != nil {
		return nil, toStatus(err)
	}
	slices.SortFunc(vms, func(a, b *adminpb.VMStatus) int { return cmp.Compare(a.Vm, b.Vm) })
	return &adminpb.StatusReply{Vms: vms}, nil
}

func (s *Service) local() *adminpb.VMStatus {
	self, f := s.cfg.Catalogue.Self(), s.cfg.Catalogue.Status()
	v := about(self)
	v.Reachable = true
	v.Version, v.RefusedVersion, v.RefusedReason = uint64(f.Version), uint64(f.RefusedVersion), f.RefusalReason
	v.Relay, v.StoreReachable, v.CutOff = f.IsRelay, f.StoreReachable, f.Decision.CutOff()
	v.StaleMs = f.Decision.ProofAge.Milliseconds()
	if f.Decision.ProofAge < 0 {
		v.StaleMs = -1
	}
	if s.cfg.FillStatus != nil {
		s.cfg.FillStatus(v)
	}
	return v
}

func about(i member.Info) *adminpb.VMStatus {
	return &adminpb.VMStatus{Vm: string(i.VM), Zone: string(i.Zone), Region: string(i.Region), Address: i.Address, State: i.State.String()}
}

// remote asks a VM for its own status; what the membership knows stands for a
// VM that doesn't answer.
func (s *Service) remote(ctx context.Context, m member.Info) *adminpb.VMStatus {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StatusTimeout)
	defer cancel()
	client, err := s.cfg.Clients.Admin(m.Address)
	if err != nil {
		return about(m)
	}
	reply, err := client.Status(ctx, &adminpb.StatusRequest{Local: true})
	if err != nil || len(reply.GetVms()) != 1 || reply.Vms[0].GetVm() != string(m.VM) {
		return about(m)
	}
	reply.Vms[0].State = m.State.String()
	return reply.Vms[0]
}

func toStatus(err error) error {
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
