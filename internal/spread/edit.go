package spread

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

// Edit is a wish to replace the catalogue.
type Edit struct {
	// Base is the version that the operator saw.
	BaseVersion ident.Version
	Document    []byte
	Operator    string
	Comment     string
}

// Outcome of an Edit.
type Outcome struct {
	Accepted bool
	// Confirmed tells that another VM has the accepted version, or that there
	// is no other.
	Confirmed bool
	// Version that the edit made, or the one that won.
	Version ident.Version
	// Problems are the rules that the document breaks.
	Problems []catal.Problem
	// Won is the version that won a lost race.
	Winner Record
}

// History limits.
const (
	// keepVersions is the number of former versions in the store.
	keepVersions = 100
	// pruneDelay is how long a former version is kept beyond keepVersions at
	// least. It must be above probeAge: a VM whose proof is younger than that
	// takes an absent entry for a proof.
	pruneDelay = time.Minute
	// editTries is how often an edit without an answer is sent.
	editTries = 4
)

// Edit replaces the catalogue by compare-and-swap. A lost answer is resolved
// by sending the same edit again: it carries an id by which it finds itself.
// It returns an *Error of kind KindAlone or KindStore when nothing was changed
// and of kind KindUnknown when that can't be told.
func (s *Distributor) Edit(ctx context.Context, e Edit) (Outcome, error) {
	if !s.inTouch() {
		return Outcome{}, &Error{Op: "edit", Kind: KindIsolated, Text: "this VM has no contact with any other; use another VM"}
	}
	now, err := s.read(ctx, CatalogueKey)
	if err != nil {
		return Outcome{}, err
	}
	if now.Version != e.BaseVersion {
		return Outcome{Version: now.Version, Winner: now}, nil
	}
	c, err := catal.Read(e.Document)
	if err != nil {
		return broken(err)
	}
	if bad := catal.ValidateChange(now.catalogue, c); len(bad) > 0 {
		return Outcome{Problems: bad}, nil
	}
	return s.replace(ctx, now, c, e.Operator, e.Comment)
}

// read reads a record and notes whether the store answers.
func (s *Distributor) read(ctx context.Context, key string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
	defer cancel()
	r, err := readRecord(ctx, s.cfg.Store, key)
	s.noteStore(!isStore(err))
	return r, err
}

func isStore(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindStore
}

func broken(err error) (Outcome, error) {
	var e *catal.Error
	if errors.As(err, &e) && len(e.Problems) > 0 {
		return Outcome{Problems: e.Problems}, nil
	}
	return Outcome{}, err
}

// inTouch reports whether this VM may accept edits: it is in contact with a
// peer, or there is no other member.
func (s *Distributor) inTouch() bool {
	s.state.Lock()
	defer s.state.Unlock()
	alone := len(s.node.Members()) == 1
	return alone || !s.lastPeer.IsZero() && time.Since(s.lastPeer) <= s.cfg.MaxStaleness
}

// replace stores c as the version after now.
func (s *Distributor) replace(ctx context.Context, now Record, c *catal.Catalogue, operator, comment string) (Outcome, error) {
	if now.Version > 0 {
		// Before the replacement: an absent entry says that the version is
		// still current.
		if err := s.keep(ctx, now); err != nil {
			return Outcome{}, err
		}
	}
	next := *c
	next.Version = now.Version + 1
	r := Record{Version: next.Version, ID: uuid.NewString(), Operator: operator, Comment: comment, UnixMS: time.Now().UnixMilli(), catalogue: &next}
	doc, err := catal.Encode(&next)
	if err != nil {
		return broken(err)
	}
	r.Document = doc
	raw, err := json.Marshal(r)
	if err != nil {
		return Outcome{}, &Error{Op: "edit", Kind: KindInvalidRecord, Text: "the record can't be written", Err: err}
	}
	won, err := s.swap(ctx, store.Write{Key: CatalogueKey, Value: raw, Expected: now.revision})
	if err != nil {
		return Outcome{}, err
	}
	if won.ID != r.ID {
		return Outcome{Version: won.Version, Winner: won}, nil
	}
	s.take(r.catalogue, "edit")
	s.tryStart()
	s.background(func(ctx context.Context) { s.prune(ctx, r.Version) })
	return Outcome{Accepted: true, Version: r.Version, Confirmed: s.confirm(ctx, r.Version)}, nil
}

// keep stores a copy of a version under its history key.
func (s *Distributor) keep(ctx context.Context, r Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return &Error{Op: "edit", Kind: KindInvalidRecord, Text: "the former version can't be written", Err: err}
	}
	var res store.Result
	for try := range editTries {
		if !wait.For(ctx, time.Duration(try)*s.cfg.StoreTimeout) {
			break
		}
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		res, err = store.Swap(call, s.cfg.Store, store.Write{Key: HistoryKey(r.Version), Value: raw})
		cancel()
		if err == nil && (res.Done || res.Current.Revision != 0) {
			return nil // another editor may have kept it first
		}
	}
	return &Error{Op: "edit", Kind: KindStore, Text: "the store did not answer, nothing was changed", Err: err}
}

// swap writes the catalogue and returns the record that is there afterwards.
func (s *Distributor) swap(ctx context.Context, w store.Write) (Record, error) {
	var err error
	for try := range editTries {
		if !wait.For(ctx, time.Duration(try)*s.cfg.StoreTimeout) {
			break
		}
		var res store.Result
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		res, err = store.Swap(call, s.cfg.Store, w)
		cancel()
		s.noteStore(err == nil)
		if err == nil {
			return parseRecord(res.Current)
		}
	}
	return Record{}, &Error{Op: "edit", Kind: KindOutcomeUnknown, Text: "the store did not answer, the outcome is unknown; look at the version before another try", Err: err}
}

// repairAge is how long a mark of an interrupted edit stands before the
// unchanged catalogue is stored under the next version; until then each check
// of the version has to read the whole document.
const repairAge = 10 * time.Second

// repair ends the state that an interrupted edit has left: the history entry
// of the version in force exists.
func (s *Distributor) repair(ctx context.Context, v ident.Version) {
	s.state.Lock()
	due := s.relaying && s.fresh.Version() == v && !s.historySince.IsZero() && time.Since(s.historySince) > repairAge
	s.state.Unlock()
	if !due || !s.inTouch() {
		return
	}
	now, err := s.read(ctx, CatalogueKey)
	if err != nil || now.Version != v {
		return
	}
	res, err := s.replace(ctx, now, now.catalogue, now.Operator, now.Comment)
	if err == nil && res.Accepted {
		evlog.At(s.cfg.Log, evlog.CatalogueRepaired).Uint64("version", uint64(res.Version)).Send()
	}
}

// prune removes the history entries beyond keepVersions, some of them a second
// time for daemons that ended before they did.
func (s *Distributor) prune(ctx context.Context, v ident.Version) {
	const again = 5
	if v <= keepVersions+1 || !wait.For(ctx, pruneDelay) {
		return
	}
	last := v - keepVersions - 1
	for n := last - min(last-1, again); n <= last; n++ {
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		e, err := s.cfg.Store.Get(call, HistoryKey(n))
		if err == nil && e.Revision != 0 {
			// A failed removal is tried again after the next edit.
			_, _ = s.cfg.Store.Delete(call, e.Key, e.Revision)
		}
		cancel()
	}
}

// StoredVersion returns a version from the store; 0 is the current one. It returns an
// *Error of kind KindMissing when there is no such version.
func (s *Distributor) StoredVersion(ctx context.Context, v ident.Version) (Record, error) {
	now, err := s.read(ctx, CatalogueKey)
	if err != nil {
		return Record{}, err
	}
	if now.Version == 0 || v > now.Version {
		return Record{}, &Error{Op: "history", Kind: KindNoSuchVersion, Text: "there is no such version"}
	}
	if v == 0 || v == now.Version {
		return now, nil
	}
	return s.FormerVersion(ctx, v)
}

// FormerVersion returns a version that another one has replaced.
func (s *Distributor) FormerVersion(ctx context.Context, v ident.Version) (Record, error) {
	r, err := s.read(ctx, HistoryKey(v))
	if err == nil && r.Version == 0 {
		return Record{}, &Error{Op: "history", Kind: KindNoSuchVersion, Text: "the version is no longer kept"}
	}
	return r, err
}
