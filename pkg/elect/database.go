package elect

import (
	"context"
	"errors"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// Database is a target as the failover needs it: the assumptions A1 to A4 and
// A9 of docs/design.md. The deadline of ctx bounds each call. After an error
// without an answer a call may have taken effect; OutcomeOf tells the cases
// apart.
type Database interface {
	// Status returns what the database says of itself (A1).
	Status(ctx context.Context) (topo.Status, error)
	// RaiseTerm promises term, which must be above the promised one, and
	// returns the status after the promise (A2).
	RaiseTerm(ctx context.Context, term ident.Term) (topo.Status, error)
	// Promote makes the database the primary of the term it has promised (A3).
	Promote(ctx context.Context, term ident.Term, members []Member) error
	// Follow makes the database a replica of primary (A4).
	Follow(ctx context.Context, term ident.Term, primary ident.Target, address string) error
	// Has reports whether the log holds the entry at p (A9).
	Has(ctx context.Context, p ident.Position) (bool, error)
}

// Member is a database of the group as the catalogue has it.
type Member struct {
	ID ident.Target
	// Address is IP:port.
	Address string
	Region  ident.Region
	// Leaving members are not promoted unless no other can be.
	Leaving bool
}

// Outcome of a call that changes a database.
type Outcome uint8

// Outcomes. The zero value is the one from which nothing can be concluded.
const (
	// OutcomeLost means that no answer came; the call may have taken effect.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the database confirmed the call.
	OutcomeDone
	// OutcomeRefused means that the database refused the call.
	OutcomeRefused
)

// refusal is implemented by errors that carry a database's own answer.
type refusal interface{ Refused() bool }

// OutcomeOf returns the outcome of a call that returned err. An error counts as
// a refusal when it, or one that it wraps, has a method Refused() bool that
// returns true; any other error counts as a lost answer.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeDone
	}
	var r refusal
	if errors.As(err, &r) && r.Refused() {
		return OutcomeRefused
	}
	return OutcomeUnknown
}
