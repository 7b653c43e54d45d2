package fresh

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// DefaultMaxStaleness is the default of Config.MaxStaleness.
const DefaultMaxStaleness = 5 * time.Second

// Config has the parameters of a State. Zero fields take the defaults.
type Config struct {
	// Zone of this VM.
	Zone ident.Zone
	// MaxStaleness is the greatest age of a proof with which keyed routes are
	// served (5 s).
	MaxStaleness time.Duration
	// CutOffGracePeriod is how long a cut-off VM still serves keyed routes (0).
	// Revoked keys remain valid for that time too.
	CutOffGracePeriod time.Duration
}

// AgeNever is the age of an event that has not happened.
const AgeNever time.Duration = -1

// ZoneAge says how long ago a zone was heard from, and how long ago any of its
// VMs was in contact with the store. Either age may be AgeNever.
type ZoneAge struct {
	Zone     ident.Zone
	HeardAge time.Duration
	StoreAge time.Duration
}

// Report is the state of the catalogue that a VM sends to its peers.
type Report struct {
	// Version is the version in force.
	Version ident.Version
	// HighestKnown is the highest version that the VM has heard of.
	HighestKnown ident.Version
	// ConfirmedAge is the age of the latest proof that the store's version was
	// not above ConfirmedVersion, or AgeNever.
	ConfirmedAge     time.Duration
	ConfirmedVersion ident.Version
	Zones            []ZoneAge
}

// proof states that the store's version was not above version at the time at.
type proof struct {
	version ident.Version
	at      time.Time
}

// zoneContact holds the latest known times of contact with a zone, and of that
// zone with the store; the zero time means never.
type zoneContact struct {
	heardAt        time.Time
	storeContactAt time.Time
}

// State is what one VM knows about the version in force.
type State struct {
	cfg          Config
	version      ident.Version
	highestKnown ident.Version
	// currentProof is the latest proof for the version in force, pendingProof
	// the latest one for a version that is not in force yet.
	currentProof proof
	pendingProof proof
	zones        map[ident.Zone]*zoneContact
	zoneNames    []ident.Zone
	// storeDownAt is the latest time at which the store was certified down for
	// all zones.
	storeDownAt time.Time
	// lastNotCutOff is when Decide last found the VM not cut off.
	lastNotCutOff time.Time
}

// New returns the State of a VM that starts without a catalogue.
func New(cfg Config) *State {
	cfg.MaxStaleness = cmp.Or(cfg.MaxStaleness, DefaultMaxStaleness)
	return &State{cfg: cfg, zones: map[ident.Zone]*zoneContact{}}
}

// SetLimits changes the limits at run time. A zero maxStaleness selects the
// default; a zero cutOffGracePeriod means no service when cut off.
func (s *State) SetLimits(maxStaleness, cutOffGracePeriod time.Duration) {
	s.cfg.MaxStaleness = cmp.Or(maxStaleness, DefaultMaxStaleness)
	s.cfg.CutOffGracePeriod = cutOffGracePeriod
}

// Version returns the version in force, 0 for none.
func (s *State) Version() ident.Version { return s.version }

// HighestKnown returns the highest version heard of.
func (s *State) HighestKnown() ident.Version { return s.highestKnown }

// Apply puts version v in force and reports whether it did. A version that is
// not above the one in force is never applied, whichever VM sends it.
func (s *State) Apply(v ident.Version, zones []ident.Zone) bool {
	if v <= s.version {
		return false
	}
	s.version = v
	s.highestKnown = max(s.highestKnown, v)
	s.zoneNames = slices.Sorted(slices.Values(zones))
	if s.pendingProof.version <= v && s.pendingProof.at.After(s.currentProof.at) {
		s.currentProof, s.pendingProof = s.pendingProof, proof{}
	}
	return true
}

// HandleStoreAnswer processes an answer of the store, whose version was not
// above v at some time after sent. An answer below the version in force is stale
// and proves nothing, but it counts as contact with the store.
func (s *State) HandleStoreAnswer(v ident.Version, sent, got time.Time) {
	s.RecordStoreContact(got)
	if v >= s.version {
		s.recordProof(proof{v, sent})
	}
}

// RecordStoreContact records that the store answered at got.
func (s *State) RecordStoreContact(got time.Time) {
	z := s.zoneContact(s.cfg.Zone)
	z.storeContactAt = latest(z.storeContactAt, got)
}

func (s *State) recordProof(p proof) {
	s.highestKnown = max(s.highestKnown, p.version)
	switch {
	case p.version <= s.version:
		if p.at.After(s.currentProof.at) {
			s.currentProof = p
		}
	case p.at.After(s.pendingProof.at):
		s.pendingProof = p
	}
}

func (s *State) zoneContact(id ident.Zone) *zoneContact {
	z := s.zones[id]
	if z == nil {
		z = &zoneContact{}
		s.zones[id] = z
	}
	return z
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// HandlePeerAnswer processes the report in the answer to a request that was sent
// to a VM of the zone from.
func (s *State) HandlePeerAnswer(r Report, from ident.Zone, sent, got time.Time) {
	s.HandlePeerRequest(r, got)
	if r.ConfirmedAge >= 0 {
		s.recordProof(proof{r.ConfirmedVersion, sent.Add(-r.ConfirmedAge)})
	}
	z := s.zoneContact(from)
	z.heardAt = latest(z.heardAt, sent)
	for _, a := range r.Zones {
		if a.HeardAge >= 0 {
			z := s.zoneContact(a.Zone)
			z.heardAt = latest(z.heardAt, sent.Add(-a.HeardAge))
		}
	}
	s.certifyStoreDown(got)
}

// HandlePeerRequest processes the report in a request from a peer. Its proofs
// are ignored, since the time that the request was in transit is unknown.
func (s *State) HandlePeerRequest(r Report, got time.Time) {
	s.highestKnown = max(s.highestKnown, r.Version, r.HighestKnown)
	for _, a := range r.Zones {
		if a.StoreAge >= 0 {
			z := s.zoneContact(a.Zone)
			z.storeContactAt = latest(z.storeContactAt, got.Add(-a.StoreAge))
		}
	}
}

// Report returns the report for this VM's peers.
func (s *State) Report(now time.Time) Report {
	r := Report{
		Version:          s.version,
		HighestKnown:     s.highestKnown,
		ConfirmedAge:     ageAt(s.currentProof.at, now),
		ConfirmedVersion: s.version,
	}
	for _, id := range s.zoneNames {
		z := s.zoneContact(id)
		a := ZoneAge{Zone: id, HeardAge: ageAt(z.heardAt, now), StoreAge: ageAt(z.storeContactAt, now)}
		if id == s.cfg.Zone {
			a.HeardAge = 0
		}
		if a.HeardAge >= 0 || a.StoreAge >= 0 {
			r.Zones = append(r.Zones, a)
		}
	}
	return r
}

func ageAt(t, now time.Time) time.Duration {
	if t.IsZero() {
		return AgeNever
	}
	return max(0, now.Sub(t))
}
