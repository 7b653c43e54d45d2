package watch

import (
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// readConnKey identifies a read connection. Reads have connections of their own,
// so that a probe that hangs does not delay them.
type readConnKey struct {
	group  ident.Group
	target ident.Target
}

// readConn returns the read connection to a target, nil after the Watcher has
// stopped. It dials again when the target's address has changed.
func (w *Watcher) readConn(g ident.Group, t *topo.Target) Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.readConns == nil || w.baseCtx.Err() != nil {
		return nil
	}
	key := readConnKey{g, t.ID}
	tc := w.readConns[key]
	if tc != nil && tc.address == t.Config.Address {
		return tc.conn
	}
	if tc != nil {
		w.closeAsync(tc.conn)
	}
	tc = &targetConn{address: t.Config.Address, conn: w.cfg.Dial(g, t.ID, t.Config.Address)}
	w.readConns[key] = tc
	return tc.conn
}

// pruneReadConns closes the read connections to targets that the catalogue no
// longer has, and returns the others. The caller holds mu.
func (w *Watcher) pruneReadConns() []*targetConn {
	out := make([]*targetConn, 0, len(w.readConns))
	for key, tc := range w.readConns {
		g, ok := w.cfg.Table.Group(key.group)
		if _, found := g.Target(key.target); ok && found {
			out = append(out, tc)
			continue
		}
		delete(w.readConns, key)
		w.closeAsync(tc.conn)
	}
	return out
}
