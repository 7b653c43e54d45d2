package elect

import (
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Event is what a Machine is told.
type Event interface{ event() }

// Events.
type (
	// Configured has the members of the group after a catalogue change.
	Configured struct{ Members []Member }
	// Ranked has this watcher's place among the watchers of the group, 0 for
	// the first.
	Ranked struct{ Rank int }
	// ProbeAnswered has the status that answers a Probe.
	ProbeAnswered struct {
		Status topo.Status
		// New is that of the Probe.
		NewConn bool
	}
	// ProbeFailed says that a Probe had no answer.
	ProbeFailed struct {
		Target  ident.Target
		NewConn bool
	}
	// TermRaised is the end of a RaiseTerm. Status counts when the outcome is
	// OutcomeDone.
	TermRaised struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
		Status  topo.Status
	}
	// Promoted is the end of a Promote.
	Promoted struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
	}
	// Followed is the end of a Follow.
	Followed struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
	}
	// ErrorsReported says that a daemon saw errors on the primary.
	ErrorsReported struct{}
	// Hinted says what another VM or the store knows of the group.
	Hinted struct {
		Term    ident.Term
		Primary ident.Target
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Configured) event()     {}
func (Ranked) event()         {}
func (ProbeAnswered) event()  {}
func (ProbeFailed) event()    {}
func (TermRaised) event()     {}
func (Promoted) event()       {}
func (Followed) event()       {}
func (ErrorsReported) event() {}
func (Hinted) event()         {}
func (Tick) event()           {}

// Action is what a Machine asks for.
type Action interface{ action() }

// Actions.
type (
	// Probe asks for the status of a target.
	Probe struct {
		Target ident.Target
		// New asks for a new connection. When the target answers on it, the
		// new connection replaces the existing one.
		NewConn bool
	}
	// RaiseTerm asks a target to promise a term.
	RaiseTerm struct {
		Target ident.Target
		Term   ident.Term
	}
	// Promote makes a target the primary of a term.
	Promote struct {
		Target  ident.Target
		Term    ident.Term
		Members []Member
	}
	// Follow makes a target follow the primary of a term.
	Follow struct {
		Target  ident.Target
		Term    ident.Term
		Primary ident.Target
		Address string
	}
	// PrimaryLearned says that the group has another primary than known before.
	PrimaryLearned struct {
		Term    ident.Term
		Primary ident.Target
		// Elected is true when this machine's own promotion was confirmed.
		Elected bool
	}
	// Transition reports a step of the decision for logs and metrics.
	Transition struct {
		Kind   TransitionKind
		Reason Reason
		Term   ident.Term
	}
)

func (Probe) action()          {}
func (RaiseTerm) action()      {}
func (Promote) action()        {}
func (Follow) action()         {}
func (PrimaryLearned) action() {}
func (Transition) action()     {}

// TransitionKind says what a Noted action reports.
type TransitionKind uint8

// Notes.
const (
	// NoteSuspected means that the group needs another primary.
	TransitionSuspected TransitionKind = iota + 1
	// NoteRefuted means that the reason has gone without an election, or that
	// replicas still hear the primary.
	TransitionRefuted
	// NoteElection means that the machine raises the term.
	TransitionElectionStarted
	// NoteAbandoned means that an election ended without a new primary.
	TransitionElectionAbandoned
)

// Reason says why a group needs another primary.
type Reason uint8

// Reasons. ReasonNone is the zero value.
const (
	ReasonNone Reason = iota
	// ReasonSilent: the primary answers neither on an existing nor on a new
	// connection.
	ReasonSilent
	// ReasonStalled: the primary answers, but no majority takes its entries.
	ReasonStalled
	// ReasonAbsent: no database is the primary.
	ReasonAbsent
	// ReasonAhead: a database has promised a higher term than the primary's,
	// because an election was abandoned, and can't follow the primary.
	ReasonAhead
	// ReasonLeaving: the primary is leaving and a replica can replace it.
	ReasonLeaving
	// ReasonMembers: the catalogue has other members than the primary was
	// promoted with.
	ReasonMembers
)

// String returns the reason's name in lower case.
func (r Reason) String() string {
	names := [...]string{"none", "silent", "stalled", "absent", "ahead", "leaving", "members"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
