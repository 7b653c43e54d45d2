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

// fanOut is the number of VMs to which a version is pushed at the same time.
const fanOut = 3

// pushTimeout bounds a push. It includes the time in which the receiver pulls the
// version.
const pushTimeout = 2 * time.Second

// pullTimeout bounds the transfer of a catalogue.
const pullTimeout = 5 * time.Second

// pushToPeers announces a version to up to fanOut overlay peers in this region.
func (s *Distributor) pushToPeers(v ident.Version) {
	s.stateMu.Lock()
	var peers []member.Info
	for _, l := range s.node.Links() {
		if l.Region == s.cfg.Self.Region && l.State != member.StateSuspect {
			peers = append(peers, l)
		}
	}
	s.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.stateMu.Unlock()
	for _, p := range peers[:min(len(peers), fanOut)] {
		s.background(func(ctx context.Context) { _ = s.sendPush(ctx, p, v) })
	}
}

// sendPush announces a version to a peer and reports whether the peer has it
// afterwards.
func (s *Distributor) sendPush(ctx context.Context, to member.Info, v ident.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	client, err := s.cfg.Peers.Client(to.Address)
	if err != nil {
		return false
	}
	// After a lost push, the peer learns of the version from the next ping.
	reply, err := client.PushCatalogue(ctx, &peerpb.PushCatalogueRequest{Version: uint64(v), Vm: string(s.cfg.Self.VM)})
	if err != nil {
		return false
	}
	s.handlePeerVersion(to.VM, to.Address, ident.Version(reply.GetVersion()))
	return ident.Version(reply.GetVersion()) >= v
}

// confirm pushes a version until another VM has it, and reports whether one has
// it or there is no other VM. An edit is reported to its operator only after
// that, so that another VM still has it when the store and the VM that accepted
// it fail together.
func (s *Distributor) confirm(ctx context.Context, v ident.Version) bool {
	s.stateMu.Lock()
	links := s.node.Links()
	onlyMember := len(s.node.Members()) == 1
	s.rng.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
	region := s.cfg.Self.Region
	s.stateMu.Unlock()
	slices.SortStableFunc(links, func(a, b member.Info) int {
		return cmp.Compare(distance(a, region), distance(b, region))
	})
	for chunk := range slices.Chunk(links, fanOut) {
		results := make(chan bool, len(chunk))
		for _, to := range chunk {
			s.background(func(ctx context.Context) { results <- s.sendPush(ctx, to, v) })
		}
		if anyTrue(ctx, results, len(chunk)) {
			return true
		}
	}
	return onlyMember
}

// distance returns 0 for a VM in the region and 1 for any other.
func distance(i member.Info, region ident.Region) int {
	if i.Region == region {
		return 0
	}
	return 1
}

// anyTrue waits for n results and reports whether one is true. It returns at the
// first one, after pushTimeout or when ctx ends.
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

// handlePeerVersion pulls from a peer that has a higher version than this VM.
// Only the relay pulls from another region at once. Other VMs wait 1 to 2 s and
// pull only if the version has not arrived from within their region by then, so
// that normally one copy is transferred to each region.
func (s *Distributor) handlePeerVersion(vm ident.VM, address string, v ident.Version) {
	s.stateMu.Lock()
	shouldPull := v > s.fresh.Version() && !s.pulling[vm]
	var delay time.Duration
	if from, ok := s.node.Lookup(vm); ok && s.serving && from.Region != s.cfg.Self.Region && !s.relaying {
		delay = time.Second + time.Duration(s.rng.Int64N(int64(time.Second)))
	}
	if shouldPull {
		s.pulling[vm] = true
	}
	s.stateMu.Unlock()
	if !shouldPull {
		return
	}
	s.background(func(ctx context.Context) {
		defer func() {
			s.stateMu.Lock()
			delete(s.pulling, vm)
			s.stateMu.Unlock()
		}()
		if !wait.For(ctx, delay) || v <= s.version() {
			return
		}
		// After an error, the next ping announces the version again.
		if s.pull(ctx, address) == nil {
			s.tryPublish()
		}
	})
}

func (s *Distributor) version() ident.Version {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	return s.fresh.Version()
}

// pull gets the catalogue from a peer, as a delta when this VM has a version, and
// applies it.
func (s *Distributor) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.stateMu.Lock()
	base := s.latest
	s.stateMu.Unlock()
	c, err := s.fetchCatalogue(ctx, address, base)
	if err != nil && base != nil {
		// The delta may not apply to the base. The whole document does not depend
		// on it.
		c, err = s.fetchCatalogue(ctx, address, nil)
	}
	if err != nil {
		return err
	}
	if c != nil {
		s.applyVersion(c, "peer")
	}
	return nil
}

// fetchCatalogue gets the catalogue from a peer. It returns nil when the peer has
// nothing newer than base.
func (s *Distributor) fetchCatalogue(ctx context.Context, address string, base *catal.Catalogue) (*catal.Catalogue, error) {
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

// readDocument verifies the hash of a whole document and decodes it.
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
	peerVersion := ident.Version(r.GetHaveVersion())
	s.stateMu.Lock()
	c := s.latest
	var base *catal.Catalogue
	for _, p := range s.deltaBases {
		if p.Version == peerVersion {
			base = p
		}
	}
	s.stateMu.Unlock()
	if c == nil || peerVersion >= c.Version {
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

// fillDelta sets the delta from base to c and the hash of c in reply.
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

// PushCatalogue implements peer.Catalogue. It answers after the version has been
// pulled or the attempt has failed.
func (s *Distributor) PushCatalogue(ctx context.Context, r *peerpb.PushCatalogueRequest) (*peerpb.PushCatalogueReply, error) {
	v := ident.Version(r.GetVersion())
	s.stateMu.Lock()
	from, ok := s.node.Lookup(ident.VM(r.GetVm()))
	shouldPull := ok && v > s.fresh.Version() && !s.pulling[from.VM]
	if shouldPull {
		s.pulling[from.VM] = true
	}
	s.stateMu.Unlock()
	if shouldPull {
		// After an error, the next ping announces the version again.
		err := s.pull(ctx, from.Address)
		s.stateMu.Lock()
		delete(s.pulling, from.VM)
		s.stateMu.Unlock()
		if err == nil {
			s.tryPublish()
		}
	}
	for ok && s.version() < v {
		// Another goroutine may be pulling it.
		s.stateMu.Lock()
		inProgress := s.pulling[from.VM]
		s.stateMu.Unlock()
		if !inProgress || !wait.For(ctx, 10*time.Millisecond) {
			break
		}
	}
	return &peerpb.PushCatalogueReply{Version: uint64(s.version())}, nil
}
