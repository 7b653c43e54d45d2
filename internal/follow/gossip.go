package follow

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// gossip compares versions with other VMs until ctx is cancelled: with a reader, or
// with random VMs if this VM watches the store or reaches no reader.
func (f *Follower) gossip(ctx context.Context) {
	t := time.NewTimer(f.gossipDelay())
	defer t.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.newVersion:
			n = gossipFanout
		}
		if !f.compareWithReader(ctx) {
			f.compareWithOthers(ctx, n)
		}
		f.reportUnconfirmed()
		t.Reset(f.gossipDelay())
	}
}

// gossipDelay returns the time to the next comparison, which differs at random by a
// tenth, so that the VMs that learned of a version together spread out again.
func (f *Follower) gossipDelay() time.Duration {
	d := gossipInterval
	if !f.watches() {
		d = readerInterval
	}
	return d*9/10 + rand.N(d/5)
}

// compareWithReader compares versions with the first reader that answers, and reports
// whether one did.
func (f *Follower) compareWithReader(ctx context.Context) bool {
	readers, _ := f.cfg.Readers()
	for _, address := range readers {
		if f.compare(ctx, address, readerTimeout) {
			return true
		}
	}
	return false
}

// compareWithOthers compares versions with n random VMs.
func (f *Follower) compareWithOthers(ctx context.Context, n int) {
	all := f.cfg.Fleet.Addresses()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var wg sync.WaitGroup
	for _, address := range all[:min(n, len(all))] {
		wg.Go(func() { f.compare(ctx, address, callTimeout) })
	}
	wg.Wait()
}

// compare sends the version in force to a VM, pulls the VM's catalogue if that is
// newer, and takes over its confirmation. It reports whether the VM answered. Errors
// are ignored: the next round asks again or asks another VM.
func (f *Follower) compare(ctx context.Context, address string, timeout time.Duration) bool {
	c, err := f.cfg.Peers.Client(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	asked := f.cfg.Clock()
	r, err := c.PushCatalogue(ctx, &peerpb.PushCatalogueRequest{Version: uint64(f.Version()), Vm: string(f.cfg.VM), Evacuation: f.evacuationMessage()})
	if err != nil {
		return false
	}
	zones := f.receiveEvacuation(r.GetEvacuation()) // before a version by which the VM may start to serve
	if ident.Version(r.GetVersion()) > f.Version() {
		f.pull(ctx, c, address)
	}
	f.mu.Lock()
	f.compared = true
	f.mu.Unlock()
	if age := r.GetConfirmedAgeMs(); age > 0 {
		at := asked.Add(-time.Duration(age) * time.Millisecond)
		f.confirm(ident.Version(r.GetVersion()), at, address)
		f.confirmEvacuation(zones, at)
	}
	return true
}

// pull fetches a newer catalogue from the VM at an address, verifies its hash and applies
// it.
func (f *Follower) pull(ctx context.Context, c peerpb.PeerClient, address string) {
	r, err := c.GetCatalogue(ctx, &peerpb.GetCatalogueRequest{HaveVersion: uint64(f.Version())})
	if err != nil || len(r.GetDocument()) == 0 {
		return // the next comparison tries again
	}
	sum := sha256.Sum256(r.GetDocument())
	var cat catal.Catalogue
	if string(sum[:]) != string(r.GetSha256()) || json.Unmarshal(r.GetDocument(), &cat) != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Str("from", address).Send()
		return
	}
	f.Apply(&cat, address)
}

// GetCatalogue implements peer.Catalogue.
func (f *Follower) GetCatalogue(_ context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	c := f.Catalogue()
	if c == nil || ident.Version(r.GetHaveVersion()) >= c.Version {
		return &peerpb.GetCatalogueReply{}, nil
	}
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(doc)
	return &peerpb.GetCatalogueReply{Version: uint64(c.Version), Document: doc, Sha256: sum[:]}, nil
}

// PushCatalogue implements peer.Catalogue. A VM that receives a higher version
// starts a round of gossip at once.
func (f *Follower) PushCatalogue(_ context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	if ident.Version(r.GetVersion()) > f.Version() {
		select {
		case f.newVersion <- struct{}{}:
		default:
		}
	}
	f.receiveEvacuation(r.GetEvacuation())
	reply := &peerpb.PushCatalogueReply{Evacuation: f.evacuationMessage()}
	f.mu.Lock()
	defer f.mu.Unlock()
	// Read under the lock, since the confirmation refers to this version.
	reply.Version = uint64(f.Version())
	if at := f.oldestConfirmation(f.confirmedAt); !at.IsZero() {
		reply.ConfirmedAgeMs = uint64(f.cfg.Clock().Sub(at).Milliseconds()) + 1
	}
	return reply, nil
}
