package watch

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/topo"
)

// hintPrefix is the prefix of the store keys of hints; the group's name follows.
const hintPrefix = "hint/"

// hintRecord is the JSON value of a hint in the store.
type hintRecord struct {
	Term    ident.Term   `json:"term"`
	Primary ident.Target `json:"primary"`
}

// pendingHint is a hint that is not yet written to the store. It is written when
// dueAt has passed and no write of it is running.
type pendingHint struct {
	hint    topo.Hint
	dueAt   time.Time
	writing bool
}

// queueHint queues a hint, which is written as soon as the store is up unless a
// later hint of the same group replaces it.
func (w *Watcher) queueHint(h topo.Hint) {
	if w.cfg.Store == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingHints[h.Group] = &pendingHint{hint: h}
	w.hintsChanged = true
}

// writeHints starts the writes of the pending hints that are due.
func (w *Watcher) writeHints(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.pendingHints {
		if p.writing || now.Before(p.dueAt) {
			continue
		}
		p.writing = w.submit(w.readPool, func() { w.writeHint(p) })
	}
}

func (w *Watcher) writeHint(p *pendingHint) {
	err := w.putHint(p.hint)
	if err != nil && w.baseCtx.Err() == nil {
		evlog.At(w.cfg.Log, evlog.HintUnwritten).Str("group", string(p.hint.Group)).Err(err).Send()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.writing = false
	p.dueAt = time.Now().Add(storeRetryDelay)
	if err == nil && w.pendingHints[p.hint.Group] == p {
		delete(w.pendingHints, p.hint.Group)
	}
}

// putHint writes a hint unless the store has one of the same or a higher term.
func (w *Watcher) putHint(h topo.Hint) error {
	ctx, cancel := context.WithTimeout(w.baseCtx, storeTimeout)
	defer cancel()
	key := hintPrefix + string(h.Group)
	e, err := store.Read(ctx, w.cfg.Store, key)
	if err != nil {
		return err
	}
	var stored hintRecord
	if e.Revision != 0 && json.Unmarshal(e.Value, &stored) == nil && stored.Term >= h.Term {
		return nil
	}
	value, err := json.Marshal(hintRecord{Term: h.Term, Primary: h.Primary})
	if err != nil {
		return err
	}
	res, err := store.Swap(ctx, w.cfg.Store, store.Write{Key: key, Value: value, Expected: e.Revision})
	if err == nil && !res.Done {
		err = &store.Error{Op: "write hint", Key: key, Kind: store.KindUnavailable}
	}
	return err
}

// loadHints reads the hints of the store into the table once, in the background.
func (w *Watcher) loadHints() {
	if w.cfg.Store == nil {
		return
	}
	w.submit(w.readPool, func() {
		ctx, cancel := context.WithTimeout(w.baseCtx, storeTimeout)
		defer cancel()
		list, err := w.cfg.Store.List(ctx, hintPrefix)
		if err != nil {
			return // probes and the replies of peers give the same information
		}
		for _, e := range list {
			decoded, err := store.DecodeEntry(e)
			var h hintRecord
			if err != nil || json.Unmarshal(decoded.Value, &h) != nil {
				continue
			}
			id := ident.Group(strings.TrimPrefix(e.Key, hintPrefix))
			w.cfg.Table.Learn(topo.Hint{Group: id, Term: h.Term, Primary: h.Primary})
		}
	})
}
