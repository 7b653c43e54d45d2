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

// Suspect reports that errors were seen on a group's primary. If this VM watches
// the group, it probes at once; otherwise it asks the group's watchers to. Suspect
// does not block and may be called for every error.
func (w *Watcher) Suspect(id ident.Group) {
	if g := w.monitor(id); g != nil {
		g.requestProbe()
		w.extendLastResort(id)
		return
	}
	now := time.Now()
	w.mu.Lock()
	_, known := w.watchers[id]
	if !known || now.Sub(w.suspectSentAt[id]) < suspectInterval {
		w.mu.Unlock()
		return
	}
	w.suspectSentAt[id] = now
	watchers := w.watchers[id]
	w.mu.Unlock()
	w.askWatchers(id, watchers)
}

// extendLastResort extends a last-resort watch while errors continue.
func (w *Watcher) extendLastResort(id ident.Group) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if window, ok := w.lastResorts[id]; ok {
		w.lastResorts[id] = watchWindow{window.start, now.Add(lastResortPeriod)}
	}
}

// askWatchers asks all watchers of a group to probe. When none of them answers
// that it watches the group, this VM starts a last-resort watch.
func (w *Watcher) askWatchers(id ident.Group, watchers []ident.VM) {
	var pending atomic.Int32
	var anyWatching atomic.Bool
	pending.Store(int32(len(watchers)))
	for _, vm := range watchers {
		w.submit(w.failoverPool, func() {
			if w.askWatcher(id, vm) {
				anyWatching.Store(true)
			}
			if pending.Add(-1) == 0 && !anyWatching.Load() {
				w.startLastResort(id)
			}
		})
	}
	if len(watchers) == 0 {
		w.startLastResort(id)
	}
}

// askWatcher asks a VM to probe a group and reports whether the VM answered that
// it watches the group. A hint in the reply is recorded in the table.
func (w *Watcher) askWatcher(id ident.Group, vm ident.VM) bool {
	if w.cfg.Peers == nil {
		return false
	}
	c, err := w.cfg.Peers.Client(vm)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(w.baseCtx, suspectTimeout)
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

// startLastResort makes this VM watch the group for lastResortPeriod, after
// lastResortDelay. A window that has not ended keeps its start.
func (w *Watcher) startLastResort(id ident.Group) {
	if w.baseCtx.Err() != nil {
		return
	}
	now := time.Now()
	w.mu.Lock()
	window, ok := w.lastResorts[id]
	started := !ok || !now.Before(window.end)
	if started {
		window.start = now.Add(lastResortDelay)
	}
	w.lastResorts[id] = watchWindow{window.start, window.start.Add(lastResortPeriod)}
	w.mu.Unlock()
	if started {
		evlog.At(w.cfg.Log, evlog.LastResortWatch).Str("group", string(id)).Send()
	}
}

// ServeSuspect answers the Suspect call of a peer. If this VM watches the group,
// it probes at once and returns the primary that it knows as a hint.
func (w *Watcher) ServeSuspect(_ context.Context, r *peerpb.SuspectRequest) (*peerpb.SuspectReply, error) {
	id := ident.Group(r.GetGroup())
	g := w.monitor(id)
	if g == nil {
		return &peerpb.SuspectReply{}, nil
	}
	g.requestProbe()
	reply := &peerpb.SuspectReply{Watching: true}
	if t, ok := w.cfg.Table.Group(id); ok && t.Primary != "" {
		reply.Hint = &peerpb.GroupHint{Group: string(id), Term: uint64(t.Term), Primary: string(t.Primary)}
	}
	return reply, nil
}
