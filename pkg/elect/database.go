package elect

import (
	"context"
	"errors"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Database is the interface through which failover controls a target: the
// assumptions A1 to A4 and A9 of docs/design.md. The deadline of ctx bounds
// each call. A call that returns an error without an answer may have taken
// effect; OutcomeOf tells the cases apart.
type Database interface {
	// Status returns the database's report of its own state (A1).
	Status(ctx context.Context) (topo.Status, error)
	// RaiseTerm makes the database promise term, which must be above the term
	// promised so far, and returns the status after the promise (A2).
	RaiseTerm(ctx context.Context, term ident.Term) (topo.Status, error)
	// Promote makes the database the primary of the term it has promised (A3).
	Promote(ctx context.Context, term ident.Term, members []Member) error
	// Follow makes the database a replica of primary (A4).
	Follow(ctx context.Context, term ident.Term, primary ident.Target, address string) error
	// Has reports whether the log holds the entry at p (A9).
	Has(ctx context.Context, p ident.Position) (bool, error)
}

// Member is a database of the group as the catalogue lists it.
type Member struct {
	ID ident.Target
	// Address is IP:port.
	Address string
	Region  ident.Region
	// Leaving is true for a member that is being removed. It is promoted only
	// when no other member can be.
	Leaving bool
}

// Outcome is the result of a call that changes a database.
type Outcome uint8

// Outcomes. The zero value allows no conclusion about the call.
const (
	// OutcomeUnknown means that no answer arrived; the call may have taken
	// effect.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the database confirmed the call.
	OutcomeDone
	// OutcomeRefused means that the database refused the call.
	OutcomeRefused
)

// refuser is implemented by errors that carry a database's own answer.
type refuser interface{ Refused() bool }

// OutcomeOf returns the outcome of a call that returned err. An error counts as
// a refusal when it, or an error that it wraps, has a method Refused() bool
// that returns true. Any other error counts as a missing answer.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	var r refuser
	if errors.As(err, &r) && r.Refused() {
		return OutcomeRefused
	}
	return OutcomeUnknown
}
