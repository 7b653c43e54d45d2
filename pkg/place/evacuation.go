package place

import (
	"maps"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// Status is how the databases of a zone may be used.
type Status uint8

// Values of Status.
const (
	// InService means that the zone is not being evacuated.
	InService Status = iota
	// Leaving means that the zone is being evacuated: no read may choose its databases,
	// but what only one of them can run may still be sent there.
	Leaving
	// Closed means that no request may be sent to the zone's databases.
	Closed
)

const (
	// graceDivisor divides the time within which an evacuation must be in force to give
	// the longest time for which a VM that knows of it still uses a primary there.
	graceDivisor = 2
	// reserveDivisor divides the same time to give the reserve for statements that are
	// on their way when the zone closes.
	reserveDivisor = 10
)

// Evacuation tracks the evacuated zones known to a VM. Within must be set before the
// first use. It is not safe for concurrent use.
type Evacuation struct {
	// Within is the time within which an evacuation must be in force.
	Within time.Duration

	snapshot Snapshot
	// confirmedAt is the last time as of which the zones of snapshot were those in the
	// store.
	confirmedAt time.Time
	view        View
}

// View is the state of an Evacuation at one time. It is immutable; its zero value has no
// evacuated zones.
type View struct {
	// closeAt is when each evacuated zone closes.
	closeAt map[ident.Zone]time.Time
}

// Status returns the status of a zone at a time.
func (v View) Status(z ident.Zone, now time.Time) Status {
	at, ok := v.closeAt[z]
	switch {
	case !ok:
		return InService
	case now.Before(at):
		return Leaving
	}
	return Closed
}

// Zones returns the evacuated zones in sorted order.
func (v View) Zones() []ident.Zone { return slices.Sorted(maps.Keys(v.closeAt)) }

// Snapshot returns the newest snapshot.
func (e *Evacuation) Snapshot() Snapshot { return e.snapshot }

// ConfirmedAt returns the last time as of which the zones of the snapshot were those in
// the store; zero if there is none.
func (e *Evacuation) ConfirmedAt() time.Time { return e.confirmedAt }

// View returns the present state.
func (e *Evacuation) View() View { return e.view }

// Apply merges a snapshot that became known at now, and returns the zones whose
// evacuation began and ended.
//
// An evacuation that the VM learns of may have been ordered at any time since the former
// snapshot was last confirmed. Its zone closes Within after that, less a reserve, and at
// the latest half of Within after the VM learned of it.
func (e *Evacuation) Apply(s Snapshot, now time.Time) (began, ended []ident.Zone) {
	merged := e.snapshot.Merge(s)
	latest := now.Add(e.Within / graceDivisor)
	if byOrder := e.confirmedAt.Add(e.Within - e.Within/reserveDivisor); byOrder.Before(latest) {
		latest = byOrder
	}
	closeAt := make(map[ident.Zone]time.Time, len(merged.Zones))
	for _, z := range merged.Zones {
		at, known := e.view.closeAt[z]
		if !known {
			at, began = latest, append(began, z)
		}
		closeAt[z] = at
	}
	for _, z := range e.snapshot.Zones {
		if _, stays := closeAt[z]; !stays {
			ended = append(ended, z)
		}
	}
	e.snapshot, e.view = merged, View{closeAt}
	return began, ended
}

// Confirm records that a snapshot's zones were those in the store as of a time. It counts
// only if they are those of the newest snapshot.
func (e *Evacuation) Confirm(s Snapshot, at time.Time) {
	if s.SameZones(e.snapshot) && at.After(e.confirmedAt) {
		e.confirmedAt = at
	}
}
