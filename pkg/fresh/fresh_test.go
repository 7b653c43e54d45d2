package fresh

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
)

// The seed is fixed so that a run can be repeated; -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }

var (
	start = time.Unix(1e9, 0)
	zones = []ident.Zone{"z1", "z2"}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func state(v ident.Version) *State {
	s := New(Config{Zone: "z1"})
	s.Apply(v, zones)
	return s
}

// TestDecide guards against serving keyed routes although a newer version may
// be in force elsewhere, and against refusing them during an outage of the store
// that all zones see.
func TestDecide(t *testing.T) {
	heard := func(ms int, r Report) func(*State) {
		return func(s *State) { s.HandlePeerAnswer(r, "z2", at(ms), at(ms)) }
	}
	for _, test := range []struct {
		name  string
		now   int
		steps []func(*State)
		want  Reason
	}{
		{"nothing heard", 0, nil, ReasonCutOff},
		{"store answered", 5000, []func(*State){func(s *State) { s.HandleStoreAnswer(3, at(0), at(400)) }}, ReasonFresh},
		{"too long ago", 5001, []func(*State){func(s *State) { s.HandleStoreAnswer(3, at(0), at(400)) }}, ReasonCutOff},
		{"store has a newer version", 100, []func(*State){func(s *State) { s.HandleStoreAnswer(4, at(0), at(50)) }}, ReasonCutOff},
		{"stale answer of the store", 100, []func(*State){func(s *State) { s.HandleStoreAnswer(2, at(0), at(50)) }}, ReasonCutOff},
		{"peer has a proof", 4000, []func(*State){heard(0, Report{Version: 3, ConfirmedVersion: 3, ConfirmedAge: time.Second})}, ReasonFresh},
		{"proof of the peer is older", 4001, []func(*State){heard(0, Report{Version: 3, ConfirmedVersion: 3, ConfirmedAge: time.Second, Zones: []ZoneAge{{"z2", 0, 0}}})}, ReasonCutOff},
		{"all zones without the store", 100, []func(*State){heard(0, Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, 2501 * time.Millisecond}}})}, ReasonStoreDown},
		{"a zone with the store", 100, []func(*State){heard(0, Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, 2400 * time.Millisecond}}})}, ReasonCutOff},
		{"the zone had the store when it was last heard", 4900, []func(*State){heard(0, Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, 2 * time.Second}}})}, ReasonCutOff},
		{"a zone not heard", 5001, []func(*State){heard(0, Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, AgeNever}}})}, ReasonCutOff},
		{"a newer version heard of", 100, []func(*State){heard(0, Report{Version: 3, HighestKnown: 4, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, AgeNever}}})}, ReasonCutOff},
		{"a request of the zone alone", 100, []func(*State){func(s *State) {
			s.HandlePeerRequest(Report{Version: 3, ConfirmedVersion: 3, ConfirmedAge: 0, Zones: []ZoneAge{{"z2", 0, AgeNever}}}, at(0))
		}}, ReasonCutOff},
		{"contact with the store in an earlier request", 100, []func(*State){
			func(s *State) { s.HandlePeerRequest(Report{Version: 3, Zones: []ZoneAge{{"z2", 0, 0}}}, at(0)) },
			heard(50, Report{Version: 3, ConfirmedAge: AgeNever}),
		}, ReasonCutOff},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := state(3)
			for _, step := range test.steps {
				step(s)
			}
			d := s.Decide(at(test.now))
			is.Equal(d.Reason.String(), test.want.String())
			is.Equal(d.Serve, test.want != ReasonCutOff)
		})
	}
	is.New(t).Equal(New(Config{}).Decide(start).Serve, false)
}

// TestTransit guards against a proof whose age does not include its transit
// through slow peers.
func TestTransit(t *testing.T) {
	is := is.New(t)
	a, b := state(3), state(3)
	a.HandleStoreAnswer(3, at(0), at(1000))
	b.HandlePeerAnswer(a.Report(at(1500)), "z1", at(1400), at(4000))
	is.Equal(b.Decide(at(4000)).ProofAge, 4100*time.Millisecond)
}

// TestAhead guards against a VM that stays cut off after it has applied a
// version that the store confirmed before the VM had it.
func TestAhead(t *testing.T) {
	is := is.New(t)
	s := state(3)
	s.HandleStoreAnswer(4, at(0), at(10))
	is.True(s.Apply(4, zones))
	is.Equal(s.Decide(at(100)).Reason, ReasonFresh)
}

// TestStoreReturns guards against refusals when the store recovers and another
// zone reaches it slightly earlier, and against a certificate of the outage that
// does not expire.
func TestStoreReturns(t *testing.T) {
	is := is.New(t)
	s := state(3)
	s.HandlePeerAnswer(Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, AgeNever}}}, "z2", at(0), at(10))
	s.HandlePeerRequest(Report{Version: 3, Zones: []ZoneAge{{"z2", 0, 0}}}, at(100))
	is.Equal(s.Decide(at(5000)).Reason, ReasonStoreDown)
	s.HandlePeerAnswer(Report{Version: 3, ConfirmedAge: AgeNever, Zones: []ZoneAge{{"z2", 0, 0}}}, "z2", at(4900), at(4910))
	is.Equal(s.Decide(at(5001)).Reason, ReasonCutOff)
}

// TestGrace guards against a grace period that does not end or that restarts
// with each decision.
func TestGrace(t *testing.T) {
	is := is.New(t)
	s := New(Config{Zone: "z1", CutOffGracePeriod: 3 * time.Second})
	s.Apply(3, zones)
	is.Equal(s.Decide(at(0)).Reason, ReasonCutOff)
	s.HandleStoreAnswer(3, at(0), at(0))
	is.Equal(s.Decide(at(5000)).Reason, ReasonFresh)
	is.Equal(s.Decide(at(7000)).Reason, ReasonGrace)
	is.Equal(s.Decide(at(8000)).Reason, ReasonGrace)
	is.Equal(s.Decide(at(8001)).Reason, ReasonCutOff)
}

// TestNeverLower guards against replacing a version by a lower one, whatever the
// order in which versions, proofs and reports arrive, and against treating a
// version as current at a time when the store already had a higher one.
func TestNeverLower(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{Zone: "z1"})
		store := ident.Version(0) // the store's version grows with the steps
		type sample struct {
			version ident.Version
			at      time.Time
		}
		var samples []sample
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := at(i * 100)
			if rapid.Bool().Draw(t, "edit") {
				store++
			}
			samples = append(samples, sample{store, now})
			old := samples[rapid.IntRange(0, len(samples)-1).Draw(t, "which")]
			before := s.Version()
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				s.Apply(old.version, zones)
			case 1:
				s.HandleStoreAnswer(old.version, old.at, now)
			case 2:
				s.HandlePeerAnswer(Report{Version: old.version, ConfirmedVersion: old.version, ConfirmedAge: now.Sub(old.at)}, "z2", now, now)
			}
			if s.Version() < before {
				t.Fatalf("version %d after %d", s.Version(), before)
			}
			if d := s.Decide(now); d.Reason == ReasonFresh {
				moment := now.Add(-d.ProofAge)
				for _, m := range samples {
					if !m.at.After(moment) && m.version > s.Version() {
						t.Fatalf("version %d is treated as current at %v, when the store had %d", s.Version(), moment, m.version)
					}
				}
			}
		}
	})
}

// TestStartupCheck guards against a VM that serves an outdated version after a
// restart.
func TestStartupCheck(t *testing.T) {
	for _, test := range []struct {
		name  string
		store int // -1: no answer
		peers []ident.Version
		have  ident.Version
		want  bool
	}{
		{"nothing", -1, nil, 0, false},
		{"store", 4, nil, 4, true},
		{"store without a catalogue", 0, nil, 0, false},
		{"stale store", 3, []ident.Version{4}, 3, false},
		{"one of three peers", -1, []ident.Version{4}, 4, false},
		{"two of three peers", -1, []ident.Version{4, 3}, 4, true},
		{"the higher one is not there yet", -1, []ident.Version{4, 3}, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := StartupCheck{PeerCount: 3}
			if test.store >= 0 {
				b.RecordStoreAnswer(ident.Version(test.store))
			}
			for i, v := range test.peers {
				b.RecordPeerAnswer(string(rune('a'+i)), v)
			}
			is.New(t).Equal(b.Ready(test.have), test.want)
		})
	}
	b := StartupCheck{PeerCount: 3}
	b.RecordPeerAnswer("a", 4)
	b.RecordPeerAnswer("a", 4)
	is.New(t).True(!b.Ready(4)) // the same peer counts once
}
