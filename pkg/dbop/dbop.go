package dbop

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements. Those after Deallocate are sent only by the proxy.
const (
	// Begin starts a transaction that may write; BeginRead one that only reads.
	Begin Kind = iota + 1
	BeginRead
	Commit
	Rollback
	Read
	Write
	// Set gives a session variable a value.
	Set
	// Prepare defines a named statement, Execute runs it, and Deallocate
	// removes its name.
	Prepare
	Execute
	Deallocate
	// Reset removes the variables and prepared statements of a connection.
	Reset
	// Status asks a database for its role, term and position.
	Status
	// Fence makes a replica refuse log entries of terms below Statement.Term;
	// Unfence ends that.
	Fence
	Unfence
	// Demote turns the primary of a term below Statement.Term into a replica.
	Demote
)

// TakesSlot reports whether a statement of the kind takes a slot at a database while it
// runs.
func (k Kind) TakesSlot() bool {
	switch k {
	case Read, Write, Execute, Commit:
		return true
	}
	return false
}

// BeginsTxn reports whether a statement of the kind begins a transaction.
func (k Kind) BeginsTxn() bool { return k == Begin || k == BeginRead }

// EndsTxn reports whether a statement of the kind ends a transaction.
func (k Kind) EndsTxn() bool { return k == Commit || k == Rollback }

// ChangesSession reports whether a statement of the kind changes the variables or prepared
// statements of its connection.
func (k Kind) ChangesSession() bool { return k == Set || k == Prepare || k == Reset }

// Statement is one statement of a caller or of the proxy itself.
type Statement struct {
	// ID is the caller's identifier; empty for the proxy's own statements.
	ID   string
	Kind Kind
	// Text is the statement as the caller sent it.
	Text string
	// Name is the name of the variable or prepared statement.
	Name string
	// Arg is the value of a Set, the parameterized statement of a Prepare, or
	// the arguments of an Execute.
	Arg string
	// Writes is true for a Prepare or Execute of a statement that writes.
	Writes bool
	// Floor, unless zero, is the position that the log must have reached before
	// a read or the start of a transaction.
	Floor ident.Position
	// Term is the term of a Fence or Demote.
	Term ident.Term
	// Scheduling sets how the statement queues when the database is busy.
	Scheduling Scheduling
}

// IsWrite reports whether the statement is a write, itself or by the statement that it
// executes.
func (s *Statement) IsWrite() bool {
	return s.Kind == Write || s.Kind == Execute && s.Writes
}

// Scheduling sets how a statement queues for a slot at a database. A statement
// with the zero value does not queue.
type Scheduling struct {
	// Class is the class of the request. Statements of one class take similar
	// times.
	Class ident.Class
	// Weight is the share of the database's time that the class gets, relative
	// to other classes.
	Weight uint32
	// MaxWait is the longest time that the statement may queue; with 0 it runs
	// without queueing.
	MaxWait time.Duration
	// Ranked is set where routes differ in priority: the request then waits for its
	// turn, by priority and objective, before it gets a connection.
	Ranked bool
	// Spent is how long the statement has been served for.
	Spent time.Duration
	// Gone, unless nil, reports whether the caller has closed its connection, so that
	// the statement need not run. It may be called from any goroutine while the
	// statement is served.
	Gone func() bool
}

// Code is the result of a statement.
type Code uint8

// Codes of answers. The zero value is OK.
const (
	OK Code = iota
	// Busy and the codes up to NoStatement mean that the statement did not run
	// at a database. Busy itself means that the database or the proxy can't run
	// it now.
	Busy
	// Crowded means that the statement would have waited in the queue for
	// longer than it may.
	Crowded
	// Lagging means that the log has not reached Statement.Floor.
	Lagging
	// ReadOnly means that the database is not the primary and takes no writes.
	ReadOnly
	// WrongTarget means that the database at the address is not the one asked for.
	WrongTarget
	// TooMany means that no connection to the database was available.
	TooMany
	// NoStatement means that no prepared statement has the name.
	NoStatement
	// Aborted means that the transaction was rolled back.
	Aborted
	// Failed and Timeout mean that the statement may have run.
	Failed
	Timeout
	// Unknown means that it can't be determined whether the statement took
	// effect.
	Unknown
	// BadKey, NoRoute, TooLarge and Malformed are refusals of a caller's
	// message.
	BadKey
	NoRoute
	TooLarge
	Malformed
)

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Crowded: "crowded", Lagging: "lagging", ReadOnly: "read_only", WrongTarget: "wrong_target",
	TooMany: "too_many", NoStatement: "no_statement", Aborted: "aborted", Failed: "failed", Timeout: "timeout",
	Unknown: "unknown", BadKey: "bad_key", NoRoute: "no_route", TooLarge: "too_large", Malformed: "malformed",
}

// String returns the code's name in logs.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "invalid"
}

// NotRun reports whether the code means that the statement did not run.
func (c Code) NotRun() bool { return c >= Busy && c <= NoStatement }

// Rejected reports whether the code is a refusal of a statement for what it is, which another
// database would refuse too.
func (c Code) Rejected() bool { return c == TooLarge || c == Malformed }

// State is the state of a connection between two statements.
type State uint8

// States of a connection.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open. InError means that the open
	// transaction has failed and accepts only its end.
	Open
	InError
)

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string
	// Signature is the database's proof of a read or commit; empty when the
	// proxy itself answered.
	Signature string
	Code      Code
	// Text explains a code other than OK.
	Text  string
	State State
	// Position is the position of the database's log; zero when the answer
	// carries none.
	Position ident.Position
}
