package spread

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/wait"
)

// fanOut is the number of VMs that a new version is pushed to.
const fanOut = 3

// pushTimeout bounds a push, in which the receiver pulls the version.
const pushTimeout = 2 * time.Second

// pullTimeout bounds the transfer of a catalogue.
const pullTimeout = 5 * time.Second

// push tells overlay peers of the region that a version is at hand.
func (s *Distributor) push(v ident.Version) {
	s.state.Lock()
	var peers []member.Info
	for _, l := range s.node.Links() {
		if l.Region == s.cfg.Self.Region && l.State != member.StateSuspect {
			peers = append(peers, l)
		}
	}
	s.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.state.Unlock()
	for _, p := range peers[:min(len(peers), fanOut)] {
		s.background(func(ctx context.Context) { _ = s.sendPush(ctx, p, v) })
	}
}

// sendPush pushes a version and reports whether the peer has it then.
func (s *Distributor) sendPush(ctx context.Context, to member.Info, v ident.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	client, err := s.cfg.Peers.Client(to.Address)
	if err != nil {
		return false
	}
	// A lost push is made good by the version in the next ping.
	reply, err := client.PushCatalogue(ctx, &peerpb.PushCatalogueRequest{Version: uint64(v), Vm: string(s.cfg.Self.VM)})
	if err != nil {
		return false
	}
	s.noteVersion(to.VM, to.Address, ident.Version(reply.GetVersion()))
	return ident.Version(reply.GetVersion()) >= v
}

// confirm pushes a version until another VM has it and reports whether one
// has. An edit is reported to its operator after that: when the VM that
// accepted it and the store fail together, the others still know of it.
func (s *Distributor) confirm(ctx context.Context, v ident.Version) bool {
	s.state.Lock()
	links := s.node.Links()
	alone := len(s.node.Members()) == 1
	s.rng.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	region := s.cfg.Self.Region
	s.state.Unlock()
	slices.SortStableFunc(links, func(a, b member.Info) int {
		return cmp.Compare(distance(a, region), distance(b, region))
	})
	for chunk := range slices.Chunk(links, fanOut) {
		done := make(chan bool, len(chunk))
		for _, to := range chunk {
			s.background(func(ctx context.Context) { done <- s.sendPush(ctx, to, v) })
		}
		if anyTrue(ctx, done, len(chunk)) {
			return true
		}
	}
	return alone
}

func distance(i member.Info, region ident.Region) int {
	if i.Region == region {
		return 0
	}
	return 1
}

// anyTrue waits for the first true of n results.
func anyTrue(ctx context.Context, results <-chan bool, n int) bool {
	timer := time.NewTimer(pushTimeout)
	defer timer.Stop()
	for range n {
		select {
		case ok := <-results:
			if ok {
				return true
			}
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// noteVersion pulls from a peer that has a higher version. A VM of another
// region is asked only by the relay, or when the version has not arrived
// within the region after a while: one copy crosses to each region.
func (s *Distributor) noteVersion(vm ident.VM, address string, v ident.Version) {
	s.state.Lock()
	behind := v > s.fresh.Version() && !s.pulling[vm]
	var delay time.Duration
	if from, ok := s.node.Lookup(vm); ok && s.serving && from.Region != s.cfg.Self.Region && !s.relaying {
		delay = time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	}
	if behind {
		s.pulling[vm] = true
	}
	s.state.Unlock()
	if !behind {
		return
	}
	s.background(func(ctx context.Context) {
		defer func() {
			s.state.Lock()
			delete(s.pulling, vm)
			s.state.Unlock()
		}()
		if !wait.For(ctx, delay) || v <= s.version() {
			return
		}
		// After an error the next ping tells of the version again.
		if s.pull(ctx, address) == nil {
			s.tryStart()
		}
	})
}

func (s *Distributor) version() ident.Version {
	s.state.Lock()
	defer s.state.Unlock()
	return s.fresh.Version()
}

// pull gets the catalogue from a peer, as a delta when there is a base for it.
func (s *Distributor) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.state.Lock()
	base := s.held
	s.state.Unlock()
	c, err := s.fetch(ctx, address, base)
	if err != nil && base != nil {
		// The delta did not fit; the whole document does not depend on the base.
		c, err = s.fetch(ctx, address, nil)
	}
	if err != nil {
		return err
	}
	if c != nil {
		s.take(c, "peer")
	}
	return nil
}

// fetch returns nil when the peer has nothing newer than base.
func (s *Distributor) fetch(ctx context.Context, address string, base *catal.Catalogue) (*catal.Catalogue, error) {
	client, err := s.cfg.Peers.Client(address)
	if err != nil {
		return nil, err
	}
	r := &peerpb.GetCatalogueRequest{}
	if base != nil {
		r.HaveVersion = uint64(base.Version)
	}
	reply, err := client.GetCatalogue(ctx, r)
	if err != nil {
		return nil, &Error{Op: "pull", Kind: KindPeer, Text: "the peer did not answer", Err: err}
	}
	switch {
	case len(reply.GetDelta()) > 0 && base != nil:
		s.cfg.Scope.Counter("catalogue_deltas").Inc(1)
		var d catal.Delta
		if err := json.Unmarshal(reply.GetDelta(), &d); err != nil {
			return nil, &Error{Op: "pull", Kind: KindPeer, Text: "the delta can't be read", Err: err}
		}
		return d.Apply(base)
	case len(reply.GetDocument()) > 0:
		s.cfg.Scope.Counter("catalogue_documents").Inc(1)
		return readDocument(reply)
	}
	return nil, nil
}

func readDocument(reply *peerpb.GetCatalogueReply) (*catal.Catalogue, error) {
	sum := sha256.Sum256(reply.GetDocument())
	if !bytes.Equal(sum[:], reply.GetSha256()) {
		return nil, &Error{Op: "pull", Kind: KindPeer, Text: "the document has another hash than stated"}
	}
	c, err := catal.Read(reply.GetDocument())
	if err != nil {
		return nil, &Error{Op: "pull", Kind: KindPeer, Text: "the document breaks rules", Err: err}
	}
	return c, nil
}

// GetCatalogue implements peer.Catalogue.
func (s *Distributor) GetCatalogue(_ context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	have := ident.Version(r.GetHaveVersion())
	s.state.Lock()
	c := s.held
	var base *catal.Catalogue
	for _, p := range s.past {
		if p.Version == have {
			base = p
		}
	}
	s.state.Unlock()
	if c == nil || have >= c.Version {
		return &peerpb.GetCatalogueReply{}, nil
	}
	reply := &peerpb.GetCatalogueReply{Version: uint64(c.Version)}
	if base != nil {
		return reply, fillDelta(reply, base, c)
	}
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	sum := sha256.Sum256(doc)
	reply.Document, reply.Sha256 = doc, sum[:]
	return reply, nil
}

func fillDelta(reply *peerpb.GetCatalogueReply, base, c *catal.Catalogue) error {
	d, err := catal.NewDelta(base, c)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	if reply.Delta, err = json.Marshal(d); err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	reply.Sha256, err = hex.DecodeString(d.SHA256)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	return nil
}

// PushCatalogue implements peer.Catalogue. It answers when the version has been
// pulled, or could not be.
func (s *Distributor) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	v := ident.Version(r.GetVersion())
	s.state.Lock()
	from, ok := s.node.Lookup(ident.VM(r.GetVm()))
	mine := ok && v > s.fresh.Version() && !s.pulling[from.VM]
	if mine {
		s.pulling[from.VM] = true
	}
	s.state.Unlock()
	if mine {
		// After an error the next ping tells of the version again.
		err := s.pull(ctx, from.Address)
		s.state.Lock()
		delete(s.pulling, from.VM)
		s.state.Unlock()
		if err == nil {
			s.tryStart()
		}
	}
	for ok && s.version() < v {
		// Another goroutine pulls it.
		s.state.Lock()
		busy := s.pulling[from.VM]
		s.state.Unlock()
		if !busy || !wait.For(ctx, 10*time.Millisecond) {
			break
		}
	}
	return &peerpb.PushCatalogueReply{Version: uint64(s.version())}, nil
}
