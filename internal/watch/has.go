package watch

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Has reports whether the commit at p has survived: it asks the primary of a
// term above after (A9) and waits for one until ctx ends.
//
// An answer counts only when that primary has an entry of its own term on a
// majority, before and after the question. Until then another database could
// still be elected, which has p or lacks it, and the answer would turn wrong. For
// the same reason yes is only said when p itself is on a majority, which matters
// when after is below p's own term.
func (w *Watcher) Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (bool, error) {
	w.Suspect(g)
	for {
		t, ok := w.cfg.Table.Group(g)
		if !ok {
			return false, &Error{Op: "has", Kind: KindUnknownGroup, Group: g}
		}
		if row, ok := t.Target(t.Primary); ok && t.Term > after {
			if has, err := w.ask(ctx, g, &row, p, t.Term); err == nil {
				return has, nil
			}
		}
		select {
		case <-time.After(hasPoll):
		case <-ctx.Done():
			return false, &Error{Op: "has", Kind: KindTimeout, Group: g, Err: ctx.Err()}
		case <-w.base.Done():
			return false, &Error{Op: "has", Kind: KindStopped, Group: g}
		}
	}
}

func (w *Watcher) ask(ctx context.Context, g ident.Group, row *topo.Target, p ident.Position, term ident.Term) (bool, error) {
	c := w.reader(g, row)
	if c == nil {
		return false, &Error{Op: "has", Kind: KindStopped, Group: g}
	}
	ctx, cancel := context.WithTimeout(ctx, hasTimeout)
	defer cancel()
	if _, err := w.settled(ctx, g, c, term); err != nil {
		return false, err
	}
	has, err := c.Has(ctx, p)
	if err != nil {
		return false, err
	}
	quorum, err := w.settled(ctx, g, c, term)
	if err == nil && has && quorum.Less(p) {
		err = &Error{Op: "has", Kind: KindNoMajority, Group: g}
	}
	return has, err
}

// settled returns the quorum position, or an error unless the database leads
// term and a majority has one of the term's entries.
func (w *Watcher) settled(ctx context.Context, g ident.Group, c Conn, term ident.Term) (ident.Position, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return ident.Position{}, err
	}
	w.cfg.Table.Observe(g, s, time.Now())
	if s.Role != topo.RolePrimary || s.Term != term || s.Quorum.Term != term {
		return ident.Position{}, &Error{Op: "has", Kind: KindNoMajority, Group: g}
	}
	return s.Quorum, nil
}
