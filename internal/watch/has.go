package watch

import (
	"context"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Has reports whether the commit at p has survived a failover: it asks the
// primary of a term above after (assumption A9), and waits for such a primary
// until ctx ends.
//
// An answer counts only when that primary has an entry of its own term on a
// majority, both before and after the question. Until then another database,
// whose log differs at p, could still be elected and make the answer wrong. For
// the same reason Has returns true only when p itself is on a majority, which
// matters when after is below p's own term.
func (w *Watcher) Has(ctx context.Context, g ident.Group, p ident.Position, after ident.Term) (bool, error) {
	w.Suspect(g)
	for {
		t, ok := w.cfg.Table.Group(g)
		if !ok {
			return false, &Error{Op: "has", Kind: KindUnknownGroup, Group: g}
		}
		if primary, ok := t.Target(t.Primary); ok && t.Term > after {
			if has, err := w.askPrimary(ctx, g, &primary, p, t.Term); err == nil {
				return has, nil
			}
		}
		select {
		case <-time.After(hasPollInterval):
		case <-ctx.Done():
			return false, &Error{Op: "has", Kind: KindTimeout, Group: g, Err: ctx.Err()}
		case <-w.baseCtx.Done():
			return false, &Error{Op: "has", Kind: KindStopped, Group: g}
		}
	}
}

func (w *Watcher) askPrimary(ctx context.Context, g ident.Group, primary *topo.Target, p ident.Position, term ident.Term) (bool, error) {
	c := w.readConn(g, primary)
	if c == nil {
		return false, &Error{Op: "has", Kind: KindStopped, Group: g}
	}
	ctx, cancel := context.WithTimeout(ctx, hasTimeout)
	defer cancel()
	if _, err := w.quorumInTerm(ctx, g, c, term); err != nil {
		return false, err
	}
	has, err := c.Has(ctx, p)
	if err != nil {
		return false, err
	}
	quorum, err := w.quorumInTerm(ctx, g, c, term)
	if err == nil && has && quorum.Less(p) {
		err = &Error{Op: "has", Kind: KindNoMajority, Group: g}
	}
	return has, err
}

// quorumInTerm returns the quorum position of a database. It returns an error
// unless the database is the primary of term and a majority has an entry of that
// term.
func (w *Watcher) quorumInTerm(ctx context.Context, g ident.Group, c Conn, term ident.Term) (ident.Position, error) {
	s, err := c.Status(ctx)
	if err != nil {
		return ident.Position{}, err
	}
	w.cfg.Table.RecordStatus(g, s, time.Now())
	if s.Role != topo.RolePrimary || s.Term != term || s.Quorum.Term != term {
		return ident.Position{}, &Error{Op: "has", Kind: KindNoMajority, Group: g}
	}
	return s.Quorum, nil
}
