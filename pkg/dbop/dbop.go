package dbop

import (
	"time"

	"chervilspan.example/pkg/ident"
)

// Kind says what a statement does.
type Kind uint8

// Kinds of statements. Those after Deallocate are only sent by the proxy.
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
	// Prepare names a statement; Execute runs it and Deallocate drops its name.
	Prepare
	Execute
	Deallocate
	// Reset drops the variables and prepared names of a connection.
	Reset
	// Status asks a database for its role, term and position.
	Status
	// Fence makes a replica refuse log entries of terms below Statement.Term;
	// Unfence ends that.
	Fence
	Unfence
	// Demote makes the primary of a term below Statement.Term a replica.
	Demote
)

// Statement is one statement of a caller or of the proxy itself.
type Statement struct {
	// ID is the caller's identifier; empty for the proxy's own statements.
	ID   string
	Kind Kind
	// Text is the statement as the caller sent it.
	Text string
	// Name of the variable or the prepared statement.
	Name string
	// Arg is the value of a Set, the shape of a Prepare, or the arguments of
	// an Execute.
	Arg string
	// Writes tells that a Prepare names a statement that writes.
	Writes bool
	// After, unless zero, is the position that the log must have before a read
	// or the start of a transaction.
	Floor ident.Position
	// Term of a Fence or Demote.
	Term ident.Term
	// Turn says how the statement waits where others wait for the database too.
	Scheduling Scheduling
}

// Scheduling says how a statement waits for its turn at a database. The zero Turn does
// not wait.
type Scheduling struct {
	// Class names the kind of the request, whose statements take similar times.
	Class ident.Class
	// Weight is the part of the database's time that the class should get,
	// against other classes.
	Weight uint32
	// Wait is how long the statement may wait; 0 lets it pass.
	MaxWait time.Duration
}

// Code is the result of a statement.
type Code uint8

// Codes of answers. OK is the zero value.
const (
	OK Code = iota
	// The statement did not run at a database.
	Busy
	// Crowded means that the statement's turn would not have come in time.
	Crowded
	Lagging
	ReadOnly
	WrongTarget
	TooMany
	NoStatement
	// Aborted means that the transaction was rolled back.
	Aborted
	// Failed and Timeout mean that the statement may have run.
	Failed
	Timeout
	// Unknown means that nobody can tell whether the statement took effect.
	Unknown
	// BadKey, NoRoute, TooLarge and Malformed refuse a caller's message.
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

// NotRun reports whether the code says that the statement did not run.
func (c Code) NotRun() bool { return c >= Busy && c <= NoStatement }

// State of a connection between two statements.
type State uint8

// States of a connection.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open, InError that it has failed and
	// takes nothing but its end.
	Open
	InError
)

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string
	// Signature is the database's proof of a read or commit; empty when the
	// answer is the proxy's own.
	Signature string
	Code      Code
	// Text explains a Code other than OK.
	Text  string
	State State
	// Position is that of the database's log; zero when it was not told.
	Position ident.Position
}
