package follow

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// network maps addresses to the followers of several VMs.
type network map[string]*Follower

// networkMu guards the networks of tests that remove VMs.
var networkMu sync.Mutex

// remove makes VMs unreachable.
func (n network) remove(vms ...string) {
	networkMu.Lock()
	defer networkMu.Unlock()
	for _, vm := range vms {
		delete(n, vm)
	}
}

// Client implements Peers.
func (n network) Client(address string) (peerpb.PeerClient, error) {
	networkMu.Lock()
	defer networkMu.Unlock()
	f, ok := n[address]
	if !ok {
		return nil, errors.New("no such VM")
	}
	return client{f: f}, nil
}

// client calls a follower in the same process.
type client struct {
	peerpb.PeerClient
	f *Follower
}

func (c client) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest, _ ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	return c.f.PushCatalogue(ctx, r)
}

func (c client) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, _ ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	return c.f.GetCatalogue(ctx, r)
}

// addresses implements Fleet.
type addresses []string

func (a addresses) Addresses() []string { return append([]string(nil), a...) }

// Address implements Fleet. The name of a VM is its address.
func (a addresses) Address(vm ident.VM) string { return string(vm) }

func decode(raw []byte) (*catal.Catalogue, error) {
	v, err := strconv.ParseUint(string(raw), 10, 64)
	return &catal.Catalogue{Version: ident.Version(v)}, err
}

func put(is *is.I, s *linktest.Store, version string) {
	e, err := s.Get(context.Background(), "catalogue")
	is.NoErr(err)
	_, err = s.Put(context.Background(), store.Write{Key: "catalogue", Value: []byte(version), Expected: e.Revision})
	is.NoErr(err)
}

// run starts a follower for each store and calls f.
func run(t *testing.T, stores []*linktest.Store, f func(*is.I, []*Follower)) {
	synctest.Test(t, func(t *testing.T) {
		net := network{}
		var all addresses
		for i := range stores {
			all = append(all, fmt.Sprint(i))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var fs []*Follower
		done := make(chan struct{}, len(stores))
		for i, s := range stores {
			n := New(Config{Store: s, Key: "catalogue", Decode: decode, VM: ident.VM(all[i]), Fleet: all, Peers: net})
			net[all[i]] = n
			fs = append(fs, n)
		}
		for _, n := range fs {
			go func() { n.Run(ctx); done <- struct{}{} }()
		}
		f(is.New(t), fs)
		cancel()
		for range fs {
			<-done
		}
	})
}

// TestNeverLower guards against a decreasing version, from the store or from
// another VM, and against a catalogue that can't be decoded replacing one that can.
func TestNeverLower(t *testing.T) {
	s := &linktest.Store{}
	run(t, []*linktest.Store{s}, func(is *is.I, fs []*Follower) {
		f := fs[0]
		is.True(f.Index() == nil)
		put(is, s, "5")
		time.Sleep(time.Second)
		is.Equal(f.Version(), ident.Version(5))
		changed := f.Changed()
		put(is, s, "4")
		put(is, s, "unreadable")
		time.Sleep(time.Second)
		is.Equal(f.Version(), ident.Version(5))
		is.True(!f.Apply(&catal.Catalogue{Version: 5}, "peer"))
		select {
		case <-changed:
			is.Fail()
		default:
		}
		put(is, s, "9")
		time.Sleep(time.Second)
		is.Equal(f.Version(), ident.Version(9))
		<-changed
	})
}

// TestRejectedByStore guards against a VM whose calls the store rejects and that
// does not receive the versions of other VMs.
func TestRejectedByStore(t *testing.T) {
	up, down := &linktest.Store{}, &linktest.Store{}
	down.SetDown(true)
	run(t, []*linktest.Store{up, down, down}, func(is *is.I, fs []*Follower) {
		put(is, up, "3")
		time.Sleep(5 * time.Second)
		for _, f := range fs {
			is.Equal(f.Version(), ident.Version(3))
		}
		is.True(fs[0].StoreUp())
		is.True(!fs[1].StoreUp())
		put(is, up, "7")
		time.Sleep(5 * time.Second)
		for _, f := range fs {
			is.Equal(f.Version(), ident.Version(7))
		}
	})
}

// TestStoreReturns guards against a VM that stays without a catalogue after an
// outage of the store, and against one that polls the store without a delay
// during the outage.
func TestStoreReturns(t *testing.T) {
	s := &linktest.Store{}
	run(t, []*linktest.Store{s}, func(is *is.I, fs []*Follower) {
		put(is, s, "3")
		s.SetDown(true)
		time.Sleep(time.Second)
		before := s.CallCount()
		time.Sleep(10 * time.Second)
		is.True(s.CallCount()-before < 100)
		s.SetDown(false)
		time.Sleep(time.Second)
		is.Equal(fs[0].Version(), ident.Version(3))
	})
}
