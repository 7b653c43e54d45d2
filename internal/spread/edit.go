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

// Edit is a request to replace the catalogue.
type Edit struct {
	// BaseVersion is the version that the operator edited. The edit is rejected
	// when the store has another one.
	BaseVersion ident.Version
	Document    []byte
	Operator    string
	Comment     string
}

// Outcome is the result of an Edit.
type Outcome struct {
	Accepted bool
	// Confirmed reports that another VM has the accepted version, or that there
	// is no other VM.
	Confirmed bool
	// Version is the version that the edit created, or that of Winner.
	Version ident.Version
	// Problems lists the rules that the document violates.
	Problems []catal.Problem
	// Winner is the version in the store that a rejected edit conflicts with.
	Winner Record
}

// History limits.
const (
	// formerVersionLimit is the number of former versions kept in the store.
	formerVersionLimit = 100
	// pruneDelay is the least time for which a former version is kept after it
	// exceeds formerVersionLimit. It must be above historyProofMaxAge: a VM whose
	// proof is younger than that takes an absent history entry for a proof.
	pruneDelay = time.Minute
	// editAttempts is how often a write of an edit is sent when the store does
	// not answer.
	editAttempts = 4
)

// Edit replaces the catalogue by compare-and-swap. When an answer is lost, the
// same write is sent again; the id in the record shows whether the earlier
// attempt took effect. Edit returns an *Error of kind KindIsolated or KindStore
// when nothing was changed and of kind KindOutcomeUnknown when the outcome is
// unknown.
func (s *Distributor) Edit(ctx context.Context, e Edit) (Outcome, error) {
	if !s.mayAcceptEdits() {
		return Outcome{}, &Error{Op: "edit", Kind: KindIsolated, Text: "this VM has no contact with any other; use another VM"}
	}
	current, err := s.readStoreRecord(ctx, CatalogueKey)
	if err != nil {
		return Outcome{}, err
	}
	if current.Version != e.BaseVersion {
		return Outcome{Version: current.Version, Winner: current}, nil
	}
	c, err := catal.Read(e.Document)
	if err != nil {
		return invalidOutcome(err)
	}
	if problems := catal.ValidateChange(current.catalogue, c); len(problems) > 0 {
		return Outcome{Problems: problems}, nil
	}
	return s.storeNextVersion(ctx, current, c, e.Operator, e.Comment)
}

// readStoreRecord reads a record and records whether the store answered.
func (s *Distributor) readStoreRecord(ctx context.Context, key string) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
	defer cancel()
	r, err := readRecord(ctx, s.cfg.Store, key)
	s.recordStoreResult(!isStoreError(err))
	return r, err
}

func isStoreError(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindStore
}

// invalidOutcome returns the outcome of an edit whose document can't be decoded
// or encoded with err. An error without a list of problems is returned as it is.
func invalidOutcome(err error) (Outcome, error) {
	var e *catal.Error
	if errors.As(err, &e) && len(e.Problems) > 0 {
		return Outcome{Problems: e.Problems}, nil
	}
	return Outcome{}, err
}

// mayAcceptEdits reports whether this VM may accept edits: it was in contact
// with a peer within MaxStaleness, or there is no other member.
func (s *Distributor) mayAcceptEdits() bool {
	s.stateMu.Lock()
	defer s.stateMu.Unlock()
	onlyMember := len(s.node.Members()) == 1
	return onlyMember || !s.lastPeerContact.IsZero() && time.Since(s.lastPeerContact) <= s.cfg.MaxStaleness
}

// storeNextVersion stores c as the version after current.
func (s *Distributor) storeNextVersion(ctx context.Context, current Record, c *catal.Catalogue, operator, comment string) (Outcome, error) {
	if current.Version > 0 {
		// The history entry is written first, because VMs conclude from its
		// absence that the version is still current.
		if err := s.storeFormerVersion(ctx, current); err != nil {
			return Outcome{}, err
		}
	}
	next := *c
	next.Version = current.Version + 1
	r := Record{Version: next.Version, ID: uuid.NewString(), Operator: operator, Comment: comment, UnixMS: time.Now().UnixMilli(), catalogue: &next}
	doc, err := catal.Encode(&next)
	if err != nil {
		return invalidOutcome(err)
	}
	r.Document = doc
	raw, err := json.Marshal(r)
	if err != nil {
		return Outcome{}, &Error{Op: "edit", Kind: KindInvalidRecord, Text: "the record can't be written", Err: err}
	}
	stored, err := s.swapCatalogue(ctx, store.Write{Key: CatalogueKey, Value: raw, Expected: current.revision})
	if err != nil {
		return Outcome{}, err
	}
	if stored.ID != r.ID {
		return Outcome{Version: stored.Version, Winner: stored}, nil
	}
	s.applyVersion(r.catalogue, "edit")
	s.tryPublish()
	s.background(func(ctx context.Context) { s.prune(ctx, r.Version) })
	return Outcome{Accepted: true, Version: r.Version, Confirmed: s.confirm(ctx, r.Version)}, nil
}

// storeFormerVersion stores a copy of a version under its history key.
func (s *Distributor) storeFormerVersion(ctx context.Context, r Record) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return &Error{Op: "edit", Kind: KindInvalidRecord, Text: "the former version can't be written", Err: err}
	}
	var res store.Result
	for attempt := range editAttempts {
		if !wait.For(ctx, time.Duration(attempt)*s.cfg.StoreTimeout) {
			break
		}
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		res, err = store.Swap(call, s.cfg.Store, store.Write{Key: HistoryKey(r.Version), Value: raw})
		cancel()
		if err == nil && (res.Done || res.Current.Revision != 0) {
			return nil // another VM may have stored it first
		}
	}
	return &Error{Op: "edit", Kind: KindStore, Text: "the store did not answer, nothing was changed", Err: err}
}

// swapCatalogue writes the catalogue and returns the record that the store has
// afterwards.
func (s *Distributor) swapCatalogue(ctx context.Context, w store.Write) (Record, error) {
	var err error
	for attempt := range editAttempts {
		if !wait.For(ctx, time.Duration(attempt)*s.cfg.StoreTimeout) {
			break
		}
		var res store.Result
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		res, err = store.Swap(call, s.cfg.Store, w)
		cancel()
		s.recordStoreResult(err == nil)
		if err == nil {
			return parseRecord(res.Current)
		}
	}
	return Record{}, &Error{Op: "edit", Kind: KindOutcomeUnknown, Text: "the store did not answer, the outcome is unknown; look at the version before another try", Err: err}
}

// repairDelay is the time from the first sight of an interrupted edit to its
// repair. Until the repair, each check of the version has to read the whole
// document.
const repairDelay = 10 * time.Second

// repair clears the state that an interrupted edit has left: the history entry
// of the version in force exists. It stores the unchanged catalogue as the next
// version, whose history entry is absent, so that the cheap check works again.
func (s *Distributor) repair(ctx context.Context, v ident.Version) {
	s.stateMu.Lock()
	due := s.relaying && s.fresh.Version() == v && !s.historySeenAt.IsZero() && time.Since(s.historySeenAt) > repairDelay
	s.stateMu.Unlock()
	if !due || !s.mayAcceptEdits() {
		return
	}
	current, err := s.readStoreRecord(ctx, CatalogueKey)
	if err != nil || current.Version != v {
		return
	}
	res, err := s.storeNextVersion(ctx, current, current.catalogue, current.Operator, current.Comment)
	if err == nil && res.Accepted {
		evlog.At(s.cfg.Log, evlog.CatalogueRepaired).Uint64("version", uint64(res.Version)).Send()
	}
}

// prune deletes the history entry that exceeds formerVersionLimit after an edit
// to version v. It also tries the few entries before it again, in case a daemon
// stopped before it had deleted them.
func (s *Distributor) prune(ctx context.Context, v ident.Version) {
	const repeats = 5
	if v <= formerVersionLimit+1 || !wait.For(ctx, pruneDelay) {
		return
	}
	last := v - formerVersionLimit - 1
	for n := last - min(last-1, repeats); n <= last; n++ {
		call, cancel := context.WithTimeout(ctx, s.cfg.StoreTimeout)
		e, err := s.cfg.Store.Get(call, HistoryKey(n))
		if err == nil && e.Revision != 0 {
			// A failed deletion is tried again after the next edit.
			_, _ = s.cfg.Store.Delete(call, e.Key, e.Revision)
		}
		cancel()
	}
}

// StoredVersion returns a version from the store, the current one for v = 0. It
// returns an *Error of kind KindNoSuchVersion when the store does not have it.
func (s *Distributor) StoredVersion(ctx context.Context, v ident.Version) (Record, error) {
	current, err := s.readStoreRecord(ctx, CatalogueKey)
	if err != nil {
		return Record{}, err
	}
	if current.Version == 0 || v > current.Version {
		return Record{}, &Error{Op: "history", Kind: KindNoSuchVersion, Text: "there is no such version"}
	}
	if v == 0 || v == current.Version {
		return current, nil
	}
	return s.FormerVersion(ctx, v)
}

// FormerVersion returns a version that has been replaced. It returns an *Error
// of kind KindNoSuchVersion when the store does not have it.
func (s *Distributor) FormerVersion(ctx context.Context, v ident.Version) (Record, error) {
	r, err := s.readStoreRecord(ctx, HistoryKey(v))
	if err == nil && r.Version == 0 {
		return Record{}, &Error{Op: "history", Kind: KindNoSuchVersion, Text: "the version is no longer kept"}
	}
	return r, err
}
