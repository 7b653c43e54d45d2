package fresh

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Reason says why keyed routes are served or not.
type Reason uint8

// Reasons of a Decision.
const (
	// ReasonNone means that there is no catalogue.
	ReasonNone Reason = iota
	// ReasonFresh means that the proof is younger than MaxStale.
	ReasonFresh
	// ReasonStoreDown means that the store is down for all zones.
	ReasonStoreDown
	// ReasonGrace means that the VM is cut off and CutOffServe is not over.
	ReasonGrace
	// ReasonCutOff means that a newer version may be in force elsewhere.
	ReasonCutOff
)

// String returns the reason in lower case.
func (r Reason) String() string {
	return [...]string{"no_catalogue", "fresh", "store_down", "grace", "cut_off"}[r]
}

// Decision tells whether keyed routes are served.
type Decision struct {
	Serve  bool
	Reason Reason
	// Age of the latest proof, or Never.
	ProofAge time.Duration
	// Missing are the zones that were not heard from within MaxStale.
	MissingZones []ident.Zone
}

// CutOff reports whether the VM is cut off, in grace or not.
func (d Decision) CutOff() bool { return d.Reason == ReasonGrace || d.Reason == ReasonCutOff }

// Decide applies the cut-off rule. CutOffServe counts from the last call that
// found the VM not cut off.
func (s *State) Decide(now time.Time) Decision {
	if s.version == 0 {
		return Decision{ProofAge: AgeNever}
	}
	d := Decision{ProofAge: age(s.current.at, now), MissingZones: s.certify(now)}
	switch {
	case s.young(s.current.at, now):
		d.Reason = ReasonFresh
		s.served = now
	case s.young(s.down, now):
		d.Reason = ReasonStoreDown
		s.served = now
	case s.cfg.CutOffGracePeriod > 0 && !s.served.IsZero() && now.Sub(s.served) <= s.cfg.CutOffGracePeriod:
		d.Reason = ReasonGrace
	default:
		d.Reason = ReasonCutOff
	}
	d.Serve = d.Reason != ReasonCutOff
	return d
}

func (s *State) young(t, now time.Time) bool {
	return !t.IsZero() && now.Sub(t) <= s.cfg.MaxStaleness
}

// certify finds out whether the store is down for all zones, so that nobody
// can accept an edit, and as of when. It returns the zones that were not heard
// from within MaxStale. When a zone gains contact again, what was certified
// before stands until it is too old: like a proof it bounds for how long an
// edit can be missed.
func (s *State) certify(now time.Time) (missing []ident.Zone) {
	down := s.known <= s.version && len(s.names) > 0
	asOf := now
	for _, id := range s.names {
		z := s.zone(id)
		if id == s.cfg.Zone {
			z.heard = now
		}
		// A zone that was not heard from lately makes asOf too old as well.
		if !s.young(z.heard, now) {
			missing = append(missing, id)
		}
		if !z.store.IsZero() && z.heard.Sub(z.store) <= s.cfg.MaxStaleness/2 {
			down = false
		}
		if z.heard.Before(asOf) {
			asOf = z.heard
		}
	}
	if down {
		s.down = later(s.down, asOf)
	}
	return missing
}
