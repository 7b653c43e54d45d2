package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// TestDocumentForms guards against VMs of an earlier release, which know no compressed
// documents, being sent one, and against a document that is read in one form only.
func TestDocumentForms(t *testing.T) {
	is := is.New(t)
	f := New(Config{})
	f.Apply(&catal.Catalogue{Version: 5, Sharing: catal.Sharing{Shards: 1, Slices: 36}}, FromStore)
	for _, gzip := range []bool{false, true} {
		r, err := f.GetCatalogue(t.Context(), &peerpb.GetCatalogueRequest{HaveVersion: 4, Gzip: gzip})
		is.NoErr(err)
		is.Equal(len(r.GetDocumentGzip()) > 0, gzip)
		is.Equal(len(r.GetDocument()) > 0, !gzip)
		c, err := readReply(r)
		is.NoErr(err)
		is.Equal(c.Version, ident.Version(5))
		is.Equal(c.Sharing.Slices, f.Catalogue().Sharing.Slices)
		r.Sha256[0]++
		_, err = readReply(r)
		is.Equal(err, errWrongHash)
		r.Sha256[0]-- // the reply shares the hash with later ones
	}
}

// slowPeer sends a document in a time that its size explains.
type slowPeer struct {
	peerpb.PeerClient
	f *Follower
}

// Client implements Peers.
func (p slowPeer) Client(string) (peerpb.PeerClient, error) { return p, nil }

func (p slowPeer) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest, _ ...grpc.CallOption) (*peerpb.PushCatalogueReply, error) {
	return p.f.PushCatalogue(ctx, r)
}

func (p slowPeer) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, _ ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	reply, err := p.f.GetCatalogue(ctx, r)
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Duration(len(reply.GetDocumentGzip())) * time.Second / minPullRate):
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestSlowPull guards against a document that is given up each time before it has come, as
// its size isn't known to the VM that asks for it.
func TestSlowPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owner := make([]byte, 200_000)
		for i := range owner {
			owner[i] = byte('0' + rand.N(64)) // three quarters are left when it is compressed
		}
		sender, f := New(Config{}), New(Config{})
		sender.Apply(&catal.Catalogue{Version: 5, Workspaces: map[ident.Workspace]catal.Workspace{"w": {Owner: string(owner)}}}, FromStore)
		f.cfg.Peers = slowPeer{f: sender}
		is.True(sender.documentBytes(4) > minPullRate)
		f.compare(t.Context(), "address")
		is.Equal(f.Version(), ident.Version(5))
	})
}

// TestOnePull guards against a VM that searches for a newer version and pulls the document
// from each VM that has it at the same time.
func TestOnePull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var all addresses
		for i := range 8 {
			all = append(all, fmt.Sprint(i))
		}
		sender := New(Config{})
		sender.Apply(&catal.Catalogue{Version: 5}, FromStore)
		peers := &countingPeer{slowPeer: slowPeer{f: sender}}
		f := New(Config{Fleet: all, Peers: peers})
		f.failedRounds.Store(maxFanoutDoublings)
		f.compareRound(t.Context(), false)
		is.Equal(f.Version(), ident.Version(5))
		is.Equal(peers.pulls.Load(), int32(1))
	})
}

// countingPeer counts the documents that it sends.
type countingPeer struct {
	slowPeer
	pulls atomic.Int32
}

// Client implements Peers.
func (p *countingPeer) Client(string) (peerpb.PeerClient, error) { return p, nil }

func (p *countingPeer) GetCatalogue(ctx context.Context, r *peerpb.GetCatalogueRequest, o ...grpc.CallOption) (*peerpb.GetCatalogueReply, error) {
	p.pulls.Add(1)
	return p.slowPeer.GetCatalogue(ctx, r, o...)
}
