package follow

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/store"
	"chervilspan.example/pkg/wait"
)

const (
	// pauseCheckInterval is the interval of the checks for a pause of the VM.
	pauseCheckInterval = 100 * time.Millisecond
	// pauseDivisor divides Config.EvacuateWithin to give the pause after which a VM reads
	// the evacuations before it sends another statement. A shorter pause delays what the
	// VM learns by less than the reserve of a zone's deadline.
	pauseDivisor = 4
)

// evacuation is the part of a Follower that tracks evacuated zones. It is used only with
// Config.EvacuateWithin.
type evacuation struct {
	mu    sync.Mutex
	state place.Evacuation
	view  atomic.Pointer[place.View]
	// checkedAt is when checkPauses last ran, by Config.Clock, in nanoseconds since
	// Follower.started; resumed is closed when a pause was handled.
	checkedAt atomic.Int64
	resumed   chan struct{}
}

// evacuates reports whether evacuations are followed.
func (f *Follower) evacuates() bool { return f.cfg.EvacuateWithin > 0 }

// watchPrefix returns the prefix of the keys that are watched.
func (f *Follower) watchPrefix() string {
	if !f.evacuates() {
		return f.cfg.Key
	}
	n := 0
	for n < min(len(f.cfg.Key), len(f.cfg.EvacuatePrefix)) && f.cfg.Key[n] == f.cfg.EvacuatePrefix[n] {
		n++
	}
	return f.cfg.Key[:n]
}

// ZoneStatus returns how the databases of a zone may be used now. After a pause of the
// VM, it first waits for up to callTimeout until the evacuations have been read again.
func (f *Follower) ZoneStatus(z ident.Zone) place.Status {
	if !f.evacuates() {
		return place.InService
	}
	f.awaitResumed()
	return f.EvacuationView().Status(z, f.cfg.Clock())
}

// EvacuationView returns the evacuated zones.
func (f *Follower) EvacuationView() place.View {
	if v := f.evacuation.view.Load(); v != nil {
		return *v
	}
	return place.View{}
}

// readEvacuations lists the orders, as of a revision that the store reported before.
func (f *Follower) readEvacuations(ctx context.Context, rev store.Revision) error {
	asked := f.cfg.Clock()
	entries, err := f.cfg.Store.List(ctx, f.cfg.EvacuatePrefix)
	if err != nil {
		return err
	}
	var zones []ident.Zone
	for _, e := range entries {
		zones = append(zones, f.zoneOf(e.Key))
		rev = max(rev, e.Revision)
	}
	s := place.NewSnapshot(rev, zones)
	f.applyEvacuation(s, "store")
	f.confirmEvacuation(s, asked)
	return nil
}

func (f *Follower) zoneOf(key string) ident.Zone {
	return ident.Zone(strings.TrimPrefix(key, f.cfg.EvacuatePrefix))
}

// applyEvacuationEvent applies a change of a key, and reports whether the key is an order.
func (f *Follower) applyEvacuationEvent(ev *store.Event) bool {
	if !f.evacuates() || !strings.HasPrefix(ev.Entry.Key, f.cfg.EvacuatePrefix) {
		return false
	}
	z := f.zoneOf(ev.Entry.Key)
	f.evacuation.mu.Lock()
	s := f.evacuation.state.Snapshot()
	f.evacuation.mu.Unlock()
	if ev.Deleted {
		s = s.Without(z, ev.Entry.Revision)
	} else {
		s = s.With(z, ev.Entry.Revision)
	}
	f.applyEvacuation(s, "store")
	return true
}

// applyEvacuation merges a snapshot and logs what it begins and ends. from names the
// source in the log.
func (f *Follower) applyEvacuation(s place.Snapshot, from string) {
	e := &f.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	now := f.cfg.Clock()
	age := now.Sub(e.state.ConfirmedAt())
	began, ended := e.state.Apply(s, now)
	v := e.state.View()
	e.view.Store(&v)
	for _, z := range began {
		event := evlog.EvacuationBegan
		if f.cfg.KnowsZone != nil && !f.cfg.KnowsZone(z) {
			event = evlog.EvacuationUnknown
		}
		evlog.At(f.cfg.Log, event).Str("zone", string(z)).Int64("revision", int64(s.Revision)).Str("from", from).Dur("age", age).Send()
	}
	for _, z := range ended {
		evlog.At(f.cfg.Log, evlog.EvacuationEnded).Str("zone", string(z)).Int64("revision", int64(s.Revision)).Str("from", from).Dur("age", age).Send()
	}
	if len(began)+len(ended) > 0 {
		select {
		case f.newVersion <- struct{}{}:
		default:
		}
	}
}

// confirmEvacuation records that a snapshot had the zones in the store as of a time.
func (f *Follower) confirmEvacuation(s place.Snapshot, at time.Time) {
	f.evacuation.mu.Lock()
	defer f.evacuation.mu.Unlock()
	f.evacuation.state.Confirm(s, at)
}

// confirmEvacuationFromStore records that this VM knew all orders in the store at a time.
func (f *Follower) confirmEvacuationFromStore(at time.Time) {
	f.evacuation.mu.Lock()
	defer f.evacuation.mu.Unlock()
	f.evacuation.state.Confirm(f.evacuation.state.Snapshot(), at)
}

// evacuationMessage returns the snapshot for another VM, nil if it need not be sent.
func (f *Follower) evacuationMessage() *peerpb.Evacuation {
	f.evacuation.mu.Lock()
	defer f.evacuation.mu.Unlock()
	s := f.evacuation.state.Snapshot()
	if !s.Announced() {
		return nil
	}
	m := &peerpb.Evacuation{Revision: int64(s.Revision)}
	for _, z := range s.Zones {
		m.Zones = append(m.Zones, string(z))
	}
	return m
}

// receiveEvacuation merges a snapshot that another VM sent, and returns it. A message
// without zones ends an evacuation; no message is the state before any evacuation.
func (f *Follower) receiveEvacuation(m *peerpb.Evacuation) place.Snapshot {
	if m == nil || !f.evacuates() {
		return place.Snapshot{}
	}
	var zones []ident.Zone
	for _, z := range m.GetZones() {
		zones = append(zones, ident.Zone(z))
	}
	s := place.NewSnapshot(store.Revision(m.GetRevision()), zones)
	s.Ended = len(zones) == 0
	f.applyEvacuation(s, "peer")
	return s
}

// oldestConfirmation returns the older of a confirmation of the version in force and that
// of the evacuated zones, if these are followed.
func (f *Follower) oldestConfirmation(at time.Time) time.Time {
	if !f.evacuates() {
		return at
	}
	f.evacuation.mu.Lock()
	defer f.evacuation.mu.Unlock()
	if c := f.evacuation.state.ConfirmedAt(); c.Before(at) {
		return c
	}
	return at
}

// checkPauses notices when the VM did not run for a while, as when it was frozen, and
// reads the evacuations then. Until that has been tried, ZoneStatus waits.
func (f *Follower) checkPauses(ctx context.Context) {
	for {
		if f.paused() {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			// Without an answer, the VM is not in contact with the store and goes on with
			// what it knows. The revision of the snapshot stays a lower bound.
			f.evacuation.mu.Lock()
			rev := f.evacuation.state.Snapshot().Revision
			f.evacuation.mu.Unlock()
			_ = f.readEvacuations(call, rev)
			cancel()
		}
		f.markRunning()
		if !wait.For(ctx, pauseCheckInterval) {
			return
		}
	}
}

func (f *Follower) markRunning() {
	f.evacuation.mu.Lock()
	defer f.evacuation.mu.Unlock()
	f.evacuation.checkedAt.Store(int64(f.cfg.Clock().Sub(f.started)))
	close(f.evacuation.resumed)
	f.evacuation.resumed = make(chan struct{})
}

// paused reports whether checkPauses has not run for longer than a pause that matters.
func (f *Follower) paused() bool {
	return f.cfg.Clock().Sub(f.started)-time.Duration(f.evacuation.checkedAt.Load()) > f.cfg.EvacuateWithin/pauseDivisor
}

// awaitResumed waits while the VM has not yet read the evacuations after a pause.
func (f *Follower) awaitResumed() {
	if !f.paused() {
		return
	}
	f.evacuation.mu.Lock()
	resumed := f.evacuation.resumed
	f.evacuation.mu.Unlock()
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case <-resumed:
	case <-t.C:
	}
}
