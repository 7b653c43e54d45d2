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

// hintPrefix begins the store keys of the groups' hints.
const hintPrefix = "hint/"

// hint is the value of a hint in the store.
type hint struct {
	Term    ident.Term   `json:"term"`
	Primary ident.Target `json:"primary"`
}

// pendingHint waits to be written.
type pendingHint struct {
	hint topo.Hint
	due  time.Time
	busy bool
}

// noteHint lets a hint be written when the store is up. A later one of the same
// group replaces it.
func (w *Watcher) noteHint(h topo.Hint) {
	if w.cfg.Store == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hints[h.Group] = &pendingHint{hint: h}
	w.dirty = true
}

// writeHints starts the writes that are due.
func (w *Watcher) writeHints(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.hints {
		if p.busy || now.Before(p.due) {
			continue
		}
		p.busy = w.submit(w.reads, func() { w.writeHint(p) })
	}
}

func (w *Watcher) writeHint(p *pendingHint) {
	err := w.putHint(p.hint)
	if err != nil && w.base.Err() == nil {
		evlog.At(w.cfg.Log, evlog.HintUnwritten).Str("group", string(p.hint.Group)).Err(err).Send()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.busy = false
	p.due = time.Now().Add(storeRetry)
	if err == nil && w.hints[p.hint.Group] == p {
		delete(w.hints, p.hint.Group)
	}
}

// putHint writes a hint unless the store has one of the same or a higher term.
func (w *Watcher) putHint(h topo.Hint) error {
	ctx, cancel := context.WithTimeout(w.base, storeTimeout)
	defer cancel()
	key := hintPrefix + string(h.Group)
	e, err := store.Read(ctx, w.cfg.Store, key)
	if err != nil {
		return err
	}
	var was hint
	if e.Revision != 0 && json.Unmarshal(e.Value, &was) == nil && was.Term >= h.Term {
		return nil
	}
	raw, err := json.Marshal(hint{Term: h.Term, Primary: h.Primary})
	if err != nil {
		return err
	}
	res, err := store.Swap(ctx, w.cfg.Store, store.Write{Key: key, Value: raw, Expected: e.Revision})
	if err == nil && !res.Done {
		err = &store.Error{Op: "write hint", Key: key, Kind: store.KindUnavailable}
	}
	return err
}

// loadHints reads the store's hints once, in the background.
func (w *Watcher) loadHints() {
	if w.cfg.Store == nil {
		return
	}
	w.submit(w.reads, func() {
		ctx, cancel := context.WithTimeout(w.base, storeTimeout)
		defer cancel()
		list, err := w.cfg.Store.List(ctx, hintPrefix)
		if err != nil {
			return // the targets and peers tell the same
		}
		for _, e := range list {
			plain, err := store.DecodeEntry(e)
			var h hint
			if err != nil || json.Unmarshal(plain.Value, &h) != nil {
				continue
			}
			id := ident.Group(strings.TrimPrefix(e.Key, hintPrefix))
			w.cfg.Table.Learn(topo.Hint{Group: id, Term: h.Term, Primary: h.Primary})
		}
	})
}
