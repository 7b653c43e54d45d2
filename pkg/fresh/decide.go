package fresh

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Reason is why keyed routes are served or refused.
type Reason uint8

// Reasons of a Decision.
const (
	// ReasonNone means that there is no catalogue.
	ReasonNone Reason = iota
	// ReasonFresh means that the proof is not older than MaxStaleness.
	ReasonFresh
	// ReasonStoreDown means that no zone can reach the store.
	ReasonStoreDown
	// ReasonGrace means that the VM is cut off and CutOffGracePeriod has not
	// ended.
	ReasonGrace
	// ReasonCutOff means that the VM is cut off, so that a newer version may be
	// in force elsewhere.
	ReasonCutOff
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{"no_catalogue", "fresh", "store_down", "grace", "cut_off"}[r]
}

// Decision states whether keyed routes are served, and why.
type Decision struct {
	Serve  bool
	Reason Reason
	// ProofAge is the age of the latest proof, or AgeNever.
	ProofAge time.Duration
	// MissingZones are the zones that were not heard from within MaxStaleness.
	MissingZones []ident.Zone
}

// CutOff reports whether the VM is cut off, within the grace period or after it.
func (d Decision) CutOff() bool { return d.Reason == ReasonGrace || d.Reason == ReasonCutOff }

// Decide applies the cut-off rule. CutOffGracePeriod counts from the last call
// that found the VM not cut off.
func (s *State) Decide(now time.Time) Decision {
	if s.version == 0 {
		return Decision{ProofAge: AgeNever}
	}
	d := Decision{ProofAge: ageAt(s.currentProof.at, now), MissingZones: s.certifyStoreDown(now)}
	switch {
	case s.withinMaxStaleness(s.currentProof.at, now):
		d.Reason = ReasonFresh
		s.lastNotCutOff = now
	case s.withinMaxStaleness(s.storeDownAt, now):
		d.Reason = ReasonStoreDown
		s.lastNotCutOff = now
	case s.cfg.CutOffGracePeriod > 0 && !s.lastNotCutOff.IsZero() && now.Sub(s.lastNotCutOff) <= s.cfg.CutOffGracePeriod:
		d.Reason = ReasonGrace
	default:
		d.Reason = ReasonCutOff
	}
	d.Serve = d.Reason != ReasonCutOff
	return d
}

func (s *State) withinMaxStaleness(t, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= s.cfg.MaxStaleness
}

// certifyStoreDown determines whether the store is down for all zones, so that
// no VM can accept an edit, and as of which time. It returns the zones that were
// not heard from within MaxStaleness. When a zone regains contact with the store,
// an earlier certificate stays valid until it is older than MaxStaleness: like a
// proof, it bounds the time for which an edit can be missed.
func (s *State) certifyStoreDown(now time.Time) (missing []ident.Zone) {
	storeDown := s.highestKnown <= s.version && len(s.zoneNames) > 0
	asOf := now
	for _, id := range s.zoneNames {
		z := s.zoneContact(id)
		if id == s.cfg.Zone {
			z.heardAt = now
		}
		// Such a zone also makes asOf too old for the certificate to be valid.
		if !s.withinMaxStaleness(z.heardAt, now) {
			missing = append(missing, id)
		}
		if !z.storeContactAt.IsZero() && z.heardAt.Sub(z.storeContactAt) <= s.cfg.MaxStaleness/2 {
			storeDown = false
		}
		if z.heardAt.Before(asOf) {
			asOf = z.heardAt
		}
	}
	if storeDown {
		s.storeDownAt = latest(s.storeDownAt, asOf)
	}
	return missing
}
