package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/internal/spread"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
)

// fake is a fleet's catalogue.
type fake struct {
	out     spread.Outcome
	err     error
	version ident.Version
	first   ident.Version
	members []member.Info
}

func (*fake) Catalogue() *catal.Catalogue { return nil }
func (f *fake) Edit(context.Context, spread.Edit) (spread.Outcome, error) {
	return f.out, f.err
}

func (f *fake) StoredVersion(context.Context, ident.Version) (spread.Record, error) {
	return spread.Record{Version: f.version}, f.err
}

func (f *fake) FormerVersion(_ context.Context, v ident.Version) (spread.Record, error) {
	if v < f.first {
		return spread.Record{}, &spread.Error{Kind: spread.KindNoSuchVersion}
	}
	return spread.Record{Version: v}, f.err
}
func (f *fake) Status() spread.Status  { return spread.Status{Version: f.version} }
func (f *fake) Members() []member.Info { return f.members }
func (f *fake) Self() member.Info      { return f.members[0] }

// clients answers for VMs by address; "silent" never answers.
type clients struct {
	adminpb.AdminClient
	address string
}

func (clients) Admin(address string) (adminpb.AdminClient, error) {
	return clients{address: address}, nil
}

func (c clients) Status(ctx context.Context, _ *adminpb.StatusRequest, _ ...grpc.CallOption) (*adminpb.StatusReply, error) {
	if c.address == "silent" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &adminpb.StatusReply{Vms: []*adminpb.VMStatus{{Vm: c.address, Reachable: true, Version: 7}}}, nil
}

// TestStatus guards against a VM that doesn't answer and holds up the others'
// status or is missing from it, and against an answer of another VM.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fake{version: 8, members: []member.Info{
			{VM: "a", Address: "a"},
			{VM: "b", Address: "b"},
			{VM: "c", Address: "silent", State: member.StateDead},
			{VM: "d", Address: "b"},
		}}
		s := New(Config{Catalogue: f, Clients: clients{}, FillStatus: func(v *adminpb.VMStatus) { v.Sessions = 3 }})
		begin := time.Now()
		reply, err := s.Status(t.Context(), &adminpb.StatusRequest{})
		is.NoErr(err)
		is.True(time.Since(begin) <= time.Second)
		is.Equal(len(reply.Vms), 4)
		is.Equal(reply.Vms[0].Version, uint64(8))
		is.Equal(reply.Vms[0].Sessions, uint32(3))
		is.Equal(reply.Vms[1].Version, uint64(7))
		is.True(!reply.Vms[2].Reachable)
		is.Equal(reply.Vms[2].State, "dead")
		is.True(!reply.Vms[3].Reachable)
		reply, err = s.Status(t.Context(), &adminpb.StatusRequest{Local: true})
		is.NoErr(err)
		is.Equal(len(reply.Vms), 1)
	})
}

// TestApply guards against outcomes that operators can't tell apart.
func TestApply(t *testing.T) {
	for _, test := range []struct {
		name string
		fake fake
		want codes.Code
	}{
		{"accepted", fake{out: spread.Outcome{Accepted: true, Version: 4}}, codes.OK},
		{"store down", fake{err: &spread.Error{Kind: spread.KindStore}}, codes.Unavailable},
		{"unknown", fake{err: &spread.Error{Kind: spread.KindOutcomeUnknown}}, codes.Unknown},
		{"alone", fake{err: &spread.Error{Kind: spread.KindIsolated}}, codes.FailedPrecondition},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := New(Config{Catalogue: &test.fake}).ApplyCatalogue(t.Context(), &adminpb.ApplyCatalogueRequest{})
			is.New(t).Equal(status.Code(err), test.want)
		})
	}
	is := is.New(t)
	f := &fake{out: spread.Outcome{Version: 5, Winner: spread.Record{Version: 5, Operator: "bo", Document: []byte("{}")}}}
	reply, err := New(Config{Catalogue: f}).ApplyCatalogue(t.Context(), &adminpb.ApplyCatalogueRequest{})
	is.NoErr(err)
	is.True(!reply.Accepted)
	is.Equal(reply.WonOperator, "bo")
	is.Equal(string(reply.Won), "{}")
}

// TestListHistory guards against a list that fails at the first version that
// is no longer kept, or that is longer than asked for.
func TestListHistory(t *testing.T) {
	is := is.New(t)
	s := New(Config{Catalogue: &fake{version: 9, first: 6}})
	reply, err := s.ListHistory(t.Context(), &adminpb.ListHistoryRequest{})
	is.NoErr(err)
	is.Equal(len(reply.Entries), 4)
	reply, err = s.ListHistory(t.Context(), &adminpb.ListHistoryRequest{Limit: 2})
	is.NoErr(err)
	is.Equal(len(reply.Entries), 2)
	is.Equal(reply.Entries[0].Version, uint64(9))
}

// TestHTTP guards against a readiness that a load balancer can't read.
func TestHTTP(t *testing.T) {
	is := is.New(t)
	var reason error
	h := Handler(HandlerConfig{Ready: func() error { return reason }})
	get := func(path string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	is.Equal(get("/healthz"), 200)
	is.Equal(get("/readyz"), 200)
	reason = errors.New("draining")
	is.Equal(get("/readyz"), 503)
	is.Equal(get("/healthz"), 200)
	is.Equal(get("/debug/pprof/"), 200)
	is.Equal(get("/metrics"), 404)
}

// TestDrain guards against a drain that is accepted although nothing does it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{}).Drain(t.Context(), nil)
	is.Equal(status.Code(err), codes.Unimplemented)
	reply, err := New(Config{StartDrain: func() uint32 { return 5 }}).Drain(t.Context(), nil)
	is.NoErr(err)
	is.Equal(reply.Sessions, uint32(5))
}
