package fresh

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// DefaultMaxStaleness is the greatest age of the catalogue on keyed routes.
const DefaultMaxStaleness = 5 * time.Second

// Config has the parameters of a State. Zero fields take the defaults.
type Config struct {
	// Zone of this VM.
	Zone ident.Zone
	// MaxStale is the greatest age of a proof for keyed routes (5 s).
	MaxStaleness time.Duration
	// CutOffServe is how long a cut-off VM still serves keyed routes (0).
	// Revoked keys work for that time too.
	CutOffGracePeriod time.Duration
}

// AgeNever is the age of what has not happened.
const AgeNever time.Duration = -1

// ZoneAge says how long ago a zone was heard from, and how long ago any of its
// VMs was in contact with the store. Either may be Never.
type ZoneAge struct {
	Zone     ident.Zone
	HeardAge time.Duration
	StoreAge time.Duration
}

// Report is what a VM tells its peers.
type Report struct {
	// Version in force.
	Version ident.Version
	// Known is the highest version that the VM has heard of.
	HighestKnown ident.Version
	// Confirmed is the age of the latest proof that the store's version was
	// not above ConfirmedVersion, or Never.
	ConfirmedAge     time.Duration
	ConfirmedVersion ident.Version
	Zones            []ZoneAge
}

// proof states that the store's version was not above version at a moment.
type proof struct {
	version ident.Version
	at      time.Time
}

// zone has moments as this VM knows them; zero means never.
type zone struct {
	heard time.Time
	store time.Time
}

// State is one VM's knowledge about the version in force.
type State struct {
	cfg     Config
	version ident.Version
	known   ident.Version
	// current is the latest proof for the version in force, ahead the latest
	// one for a version that is not in force yet.
	current proof
	ahead   proof
	zones   map[ident.Zone]*zone
	names   []ident.Zone
	// down is the latest moment as of which the store was down for all.
	down time.Time
	// served is when Decide last found the VM not cut off.
	served time.Time
}

// New returns the State of a VM that starts.
func New(cfg Config) *State {
	cfg.MaxStaleness = cmp.Or(cfg.MaxStaleness, DefaultMaxStaleness)
	return &State{cfg: cfg, zones: map[ident.Zone]*zone{}}
}

// SetLimits changes the bounds while running; zero stands for the default of
// MaxStale and for no service when cut off.
func (s *State) SetLimits(maxStale, cutOffServe time.Duration) {
	s.cfg.MaxStaleness = cmp.Or(maxStale, DefaultMaxStaleness)
	s.cfg.CutOffGracePeriod = cutOffServe
}

// Version returns the version in force, 0 for none.
func (s *State) Version() ident.Version { return s.version }

// HighestKnown returns the highest version heard of.
func (s *State) HighestKnown() ident.Version { return s.known }

// Apply puts a version in force and reports whether it did: a version that is
// not above the present one is never applied, whoever sends it.
func (s *State) Apply(v ident.Version, zones []ident.Zone) bool {
	if v <= s.version {
		return false
	}
	s.version = v
	s.known = max(s.known, v)
	s.names = slices.Sorted(slices.Values(zones))
	if s.ahead.version <= v && s.ahead.at.After(s.current.at) {
		s.current, s.ahead = s.ahead, proof{}
	}
	return true
}

// HandleStoreAnswer takes an answer of the store: its version was not above v at some
// moment after sent. An answer below the version in force is a stale one and
// proves nothing, but it is contact with the store.
func (s *State) HandleStoreAnswer(v ident.Version, sent, got time.Time) {
	s.RecordStoreContact(got)
	if v >= s.version {
		s.prove(proof{v, sent})
	}
}

// RecordStoreContact notes that the store answered.
func (s *State) RecordStoreContact(got time.Time) {
	z := s.zone(s.cfg.Zone)
	z.store = later(z.store, got)
}

func (s *State) prove(p proof) {
	s.known = max(s.known, p.version)
	switch {
	case p.version <= s.version:
		if p.at.After(s.current.at) {
			s.current = p
		}
	case p.at.After(s.ahead.at):
		s.ahead = p
	}
}

func (s *State) zone(id ident.Zone) *zone {
	z := s.zones[id]
	if z == nil {
		z = &zone{}
		s.zones[id] = z
	}
	return z
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// HandlePeerAnswer takes the report in the answer to a request that was sent to a VM of
// the given zone.
func (s *State) HandlePeerAnswer(r Report, from ident.Zone, sent, got time.Time) {
	s.HandlePeerRequest(r, got)
	if r.ConfirmedAge >= 0 {
		s.prove(proof{r.ConfirmedVersion, sent.Add(-r.ConfirmedAge)})
	}
	z := s.zone(from)
	z.heard = later(z.heard, sent)
	for _, a := range r.Zones {
		if a.HeardAge >= 0 {
			z := s.zone(a.Zone)
			z.heard = later(z.heard, sent.Add(-a.HeardAge))
		}
	}
	s.certify(got)
}

// HandlePeerRequest takes the report in a request of a peer. How long it was on its way
// is unknown, so that its proofs are not taken.
func (s *State) HandlePeerRequest(r Report, got time.Time) {
	s.known = max(s.known, r.Version, r.HighestKnown)
	for _, a := range r.Zones {
		if a.StoreAge >= 0 {
			z := s.zone(a.Zone)
			z.store = later(z.store, got.Add(-a.StoreAge))
		}
	}
}

// Report returns what this VM tells its peers.
func (s *State) Report(now time.Time) Report {
	r := Report{
		Version:          s.version,
		HighestKnown:     s.known,
		ConfirmedAge:     age(s.current.at, now),
		ConfirmedVersion: s.version,
	}
	for _, id := range s.names {
		z := s.zone(id)
		a := ZoneAge{Zone: id, HeardAge: age(z.heard, now), StoreAge: age(z.store, now)}
		if id == s.cfg.Zone {
			a.HeardAge = 0
		}
		if a.HeardAge >= 0 || a.StoreAge >= 0 {
			r.Zones = append(r.Zones, a)
		}
	}
	return r
}

func age(t, now time.Time) time.Duration {
	if t.IsZero() {
		return AgeNever
	}
	return max(0, now.Sub(t))
}
