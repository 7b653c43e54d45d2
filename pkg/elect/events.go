package elect

import (
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Events.
type (
	// Configured reports the members of the group after a catalogue change.
	Configured struct{ Members []Member }
	// Ranked reports this watcher's rank among the watchers of the group, 0 for
	// the first.
	Ranked struct{ Rank int }
	// ProbeAnswered reports the status that answers a Probe.
	ProbeAnswered struct {
		Status topo.Status
		// NewConn is copied from the Probe.
		NewConn bool
	}
	// ProbeFailed reports that a Probe got no answer.
	ProbeFailed struct {
		Target  ident.Target
		NewConn bool
	}
	// TermRaised reports the result of a RaiseTerm. Status is valid only when
	// the outcome is OutcomeDone.
	TermRaised struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
		Status  topo.Status
	}
	// Promoted reports the result of a Promote.
	Promoted struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
	}
	// Followed reports the result of a Follow.
	Followed struct {
		Target  ident.Target
		Term    ident.Term
		Outcome Outcome
	}
	// ErrorsReported reports that a daemon saw errors on the primary.
	ErrorsReported struct{}
	// Hinted reports a primary that another VM or the store knows of.
	Hinted struct {
		Term    ident.Term
		Primary ident.Target
	}
	// Tick reports that time has passed.
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

// Action is an output of a Machine that the caller has to carry out.
type Action interface{ action() }

// Actions.
type (
	// Probe asks for the status of a target.
	Probe struct {
		Target ident.Target
		// NewConn asks for a new connection. When the target answers on it, the
		// new connection replaces the existing one.
		NewConn bool
	}
	// RaiseTerm asks a target to promise a term.
	RaiseTerm struct {
		Target ident.Target
		Term   ident.Term
	}
	// Promote asks a target to become the primary of a term.
	Promote struct {
		Target  ident.Target
		Term    ident.Term
		Members []Member
	}
	// Follow asks a target to become a replica of the primary of a term.
	Follow struct {
		Target  ident.Target
		Term    ident.Term
		Primary ident.Target
		Address string
	}
	// PrimaryLearned reports that the group has a different primary or a higher
	// term than known before.
	PrimaryLearned struct {
		Term    ident.Term
		Primary ident.Target
		// Elected is true when the promotion was made by this machine and
		// confirmed.
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

// TransitionKind is the kind of step that a Transition reports.
type TransitionKind uint8

// Kinds of transitions.
const (
	// TransitionSuspected means that a reason to replace the primary has
	// arisen.
	TransitionSuspected TransitionKind = iota + 1
	// TransitionRefuted means that the reason no longer holds and no election
	// was needed, or that replicas still have contact with the primary.
	TransitionRefuted
	// TransitionElectionStarted means that the machine raises the term.
	TransitionElectionStarted
	// TransitionElectionAbandoned means that an election ended without a new
	// primary.
	TransitionElectionAbandoned
)

// Reason is why a group needs another primary.
type Reason uint8

// Reasons. ReasonNone is the zero value.
const (
	ReasonNone Reason = iota
	// ReasonSilent: the primary answers neither on an existing connection nor
	// on a new one.
	ReasonSilent
	// ReasonStalled: the primary answers, but no majority confirms its entries.
	ReasonStalled
	// ReasonAbsent: no database of the group acts as the primary.
	ReasonAbsent
	// ReasonAhead: a database has promised a term above the primary's, because
	// an election was abandoned, and therefore can't follow the primary.
	ReasonAhead
	// ReasonLeaving: the primary is leaving and a replica can replace it.
	ReasonLeaving
	// ReasonMembers: the members in the catalogue differ from those that the
	// primary was promoted with.
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
