package follow

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// errWrongHash is the cause of an error when a document has another hash than its sender
// states.
var errWrongHash = errors.New("the document has another hash than stated")

// minPullRate is the rate, in bytes per second, at which a document comes at least: that of
// a link of 10 Mbit/s with twelve VMs that pull at once.
const minPullRate = 100_000

// pullTimeout returns the timeout for a document of a size.
func pullTimeout(bytes uint64) time.Duration {
	return callTimeout + time.Duration(min(bytes, maxReplyBytes))*time.Second/minPullRate
}

// maxReplyBytes exceeds the size of any document, in bytes.
const maxReplyBytes = 4 << 20

// beginPull waits for its turn to pull, and reports whether it has come within callTimeout.
func (f *Follower) beginPull(ctx context.Context) bool {
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case f.pulling <- struct{}{}:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (f *Follower) endPull() { <-f.pulling }

// pull fetches the catalogue that the VM at an address has offered, verifies its hash and
// applies it. One VM after the other is asked, as a round may find several that have it.
func (f *Follower) pull(ctx context.Context, c peerpb.PeerClient, address string, offer *peerpb.PushCatalogueReply) {
	if !f.beginPull(ctx) {
		return
	}
	defer f.endPull()
	offered := ident.Version(offer.GetVersion())
	if offered <= f.Version() {
		return // it came from another VM meanwhile
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout(offer.GetDocumentBytes()))
	defer cancel()
	asked := time.Now()
	r, err := c.GetCatalogue(ctx, &peerpb.GetCatalogueRequest{HaveVersion: uint64(f.Version()), Gzip: true})
	if err != nil {
		f.logFetchFailed(delivery{from: address, took: time.Since(asked)}, offered, err)
		return // the next comparison tries again
	}
	bytes := max(len(r.GetDocumentGzip()), len(r.GetDocument()))
	if bytes == 0 {
		return // the version came from elsewhere meanwhile
	}
	took := time.Since(asked)
	cat, err := readReply(r)
	if err != nil {
		evlog.At(f.cfg.Log, evlog.CatalogueUnread).Str("from", address).Err(err).Send()
		return
	}
	f.apply(cat, delivery{from: address, bytes: bytes, took: took})
}

// readReply returns the catalogue that a VM has sent.
func readReply(r *peerpb.GetCatalogueReply) (*catal.Catalogue, error) {
	doc := r.GetDocument()
	if packed := r.GetDocumentGzip(); len(packed) > 0 {
		var err error
		if doc, err = catal.Decompress(packed); err != nil {
			return nil, err
		}
	}
	sum := sha256.Sum256(doc)
	if string(sum[:]) != string(r.GetSha256()) {
		return nil, errWrongHash
	}
	var c catal.Catalogue
	if err := json.Unmarshal(doc, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// logFetchFailed logs that a document did not come; offered is 0 if its version is not
// known.
func (f *Follower) logFetchFailed(d delivery, offered ident.Version, err error) {
	evlog.At(f.cfg.Log, evlog.CatalogueFetchFailed).Str("from", d.from).Uint64("version", uint64(f.Version())).
		Uint64("offered", uint64(offered)).Dur("took", d.took).Err(err).Send()
}

// encoded is a catalogue as it is sent to other VMs.
type encoded struct {
	version ident.Version
	gzip    []byte
	sha256  []byte
}

func newEncoded(c *catal.Catalogue) (*encoded, error) {
	doc, err := catal.Encode(c)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(doc)
	return &encoded{version: c.Version, gzip: catal.Compress(doc), sha256: sum[:]}, nil
}

// encode returns a catalogue as it is sent to other VMs. The last one is kept: the VMs that
// learn from this one ask for it at about the same time.
func (f *Follower) encode(c *catal.Catalogue) (*encoded, error) {
	f.encodeMu.Lock()
	defer f.encodeMu.Unlock()
	if e := f.encoded; e != nil && e.version == c.Version {
		return e, nil
	}
	e, err := newEncoded(c)
	if err != nil {
		return nil, err
	}
	f.encoded = e
	return e, nil
}

// documentBytes returns the size of the document for a VM that has a version, 0 if it needs
// none.
func (f *Follower) documentBytes(have ident.Version) uint64 {
	c := f.Catalogue()
	if c == nil || have >= c.Version {
		return 0
	}
	e, err := f.encode(c)
	if err != nil {
		return 0 // GetCatalogue returns the error
	}
	return uint64(len(e.gzip))
}

// GetCatalogue implements peer.Catalogue.
func (f *Follower) GetCatalogue(_ context.Context, r *peerpb.GetCatalogueRequest) (*peerpb.GetCatalogueReply, error) {
	c := f.Catalogue()
	if c == nil || ident.Version(r.GetHaveVersion()) >= c.Version {
		return &peerpb.GetCatalogueReply{}, nil
	}
	e, err := f.encode(c)
	if err != nil {
		return nil, err
	}
	reply := &peerpb.GetCatalogueReply{Version: uint64(e.version), Sha256: e.sha256}
	if r.GetGzip() {
		reply.DocumentGzip = e.gzip
		return reply, nil
	}
	reply.Document, err = catal.Decompress(e.gzip)
	return reply, err
}
