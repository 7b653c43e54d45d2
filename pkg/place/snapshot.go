package place

import (
	"slices"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/store"
)

// Snapshot is the set of evacuated zones as of a revision of the store. The zero value
// is older than any other and has no zones.
type Snapshot struct {
	Revision store.Revision
	// Zones are in sorted order.
	Zones []ident.Zone
	// Ended is set when an evacuation is known to have ended before Revision.
	Ended bool
}

// NewSnapshot returns the snapshot of the zones read as of a revision.
func NewSnapshot(rev store.Revision, zones []ident.Zone) Snapshot {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return Snapshot{Revision: rev, Zones: slices.Compact(zones)}
}

// Announced reports whether the snapshot has to be sent to other VMs: it has a zone, or
// it ended an evacuation.
func (s Snapshot) Announced() bool { return len(s.Zones) > 0 || s.Ended }

// With returns the snapshot after an order for a zone was written.
func (s Snapshot) With(z ident.Zone, rev store.Revision) Snapshot {
	out := NewSnapshot(rev, append(slices.Clone(s.Zones), z))
	out.Ended = s.Ended
	return out
}

// Without returns the snapshot after the order for a zone was deleted.
func (s Snapshot) Without(z ident.Zone, rev store.Revision) Snapshot {
	zones := slices.DeleteFunc(slices.Clone(s.Zones), func(o ident.Zone) bool { return o == z })
	return Snapshot{Revision: rev, Zones: zones, Ended: true}
}

// Merge returns the snapshot with the higher revision. It has Ended set if the other one
// was announced: VMs that know only that one must hear of its end.
func (s Snapshot) Merge(o Snapshot) Snapshot {
	newer, older := s, o
	if o.Revision > s.Revision {
		newer, older = o, s
	}
	if older.Announced() && older.Revision < newer.Revision {
		newer.Ended = true
	}
	return newer
}

// SameZones reports whether two snapshots have the same zones.
func (s Snapshot) SameZones(o Snapshot) bool { return slices.Equal(s.Zones, o.Zones) }
