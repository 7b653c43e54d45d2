package watch

import (
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// linkKey names a read connection. Reads have their own connections, so that a
// probe that hangs does not delay them.
type linkKey struct {
	group  ident.Group
	target ident.Target
}

// reader returns the read connection to a target, nil after the Watcher has
// stopped.
func (w *Watcher) reader(g ident.Group, t *topo.Target) Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.links == nil || w.base.Err() != nil {
		return nil
	}
	key := linkKey{g, t.ID}
	l := w.links[key]
	if l != nil && l.address == t.Config.Address {
		return l.conn
	}
	if l != nil {
		w.discard(l.conn)
	}
	l = &link{address: t.Config.Address, conn: w.cfg.Dial(g, t.ID, t.Config.Address)}
	w.links[key] = l
	return l.conn
}

// staleLinks returns the read connections, after those of targets that the
// catalogue no longer has were closed. The caller holds mu.
func (w *Watcher) staleLinks() []*link {
	out := make([]*link, 0, len(w.links))
	for key, l := range w.links {
		g, ok := w.cfg.Table.Group(key.group)
		if _, has := g.Target(key.target); ok && has {
			out = append(out, l)
			continue
		}
		delete(w.links, key)
		w.discard(l.conn)
	}
	return out
}
