package watch

import (
	"context"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Suspect tells that errors were seen on a group's primary. A watcher probes
// at once; any other VM asks the watchers to. Suspect does not wait and may be
// called for each error.
func (w *Watcher) Suspect(id ident.Group) {
	if g := w.guard(id); g != nil {
		g.hurry()
		w.prolong(id)
		return
	}
	now := time.Now()
	w.mu.Lock()
	_, known := w.roster[id]
	if !known || now.Sub(w.asked[id]) < askPeriod {
		w.mu.Unlock()
		return
	}
	w.asked[id] = now
	list := w.roster[id]
	w.mu.Unlock()
	w.askWatchers(id, list)
}

// prolong keeps a watch of last resort while errors go on.
func (w *Watcher) prolong(id ident.Group) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if s, ok := w.resort[id]; ok {
		w.resort[id] = span{s.from, now.Add(resortLength)}
	}
}

// askWatchers asks all watchers of a group; when none answers, this VM becomes
// a watcher of last resort.
func (w *Watcher) askWatchers(id ident.Group, list []ident.VM) {
	var left atomic.Int32
	var watching atomic.Bool
	left.Store(int32(len(list)))
	for _, vm := range list {
		w.submit(w.calls, func() {
			if w.askOne(id, vm) {
				watching.Store(true)
			}
			if left.Add(-1) == 0 && !watching.Load() {
				w.lastResort(id)
			}
		})
	}
	if len(list) == 0 {
		w.lastResort(id)
	}
}

// askOne reports whether the VM answered that it watches the group.
func (w *Watcher) askOne(id ident.Group, vm ident.VM) bool {
	if w.cfg.Peers == nil {
		return false
	}
	c, err := w.cfg.Peers.Client(vm)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(w.base, askTimeout)
	defer cancel()
	r, err := c.Suspect(ctx, &peerpb.SuspectRequest{Group: string(id)})
	if err != nil {
		return false
	}
	if h := r.GetHint(); h != nil {
		w.cfg.Table.Learn(topo.Hint{Group: id, Term: ident.Term(h.GetTerm()), Primary: ident.Target(h.GetPrimary())})
	}
	return r.GetWatching()
}

// lastResort lets this VM watch the group after a further second.
func (w *Watcher) lastResort(id ident.Group) {
	if w.base.Err() != nil {
		return
	}
	now := time.Now()
	w.mu.Lock()
	s, ok := w.resort[id]
	fresh := !ok || !now.Before(s.to)
	if fresh {
		s.from = now.Add(resortDelay)
	}
	w.resort[id] = span{s.from, s.from.Add(resortLength)}
	w.mu.Unlock()
	if fresh {
		evlog.At(w.cfg.Log, evlog.LastResortWatch).Str("group", string(id)).Send()
	}
}

// ServeSuspect answers the peers' Suspect call: a watcher of the group probes
// at once and tells what it knows.
func (w *Watcher) ServeSuspect(_ context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	id := ident.Group(r.GetGroup())
	g := w.guard(id)
	if g == nil {
		return &peerpb.SuspectReply{}, nil
	}
	g.hurry()
	reply := &peerpb.SuspectReply{Watching: true}
	if t, ok := w.cfg.Table.Group(id); ok && t.Primary != "" {
		reply.Hint = &peerpb.GroupHint{Group: string(id), Term: uint64(t.Term), Primary: string(t.Primary)}
	}
	return reply, nil
}
