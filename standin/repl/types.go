package repl

import "chervilspan.example/pkg/ident"

// Arg is one argument of a statement; with no field set it is NULL.
type Arg struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"s,omitempty"`
	Bool  *bool    `json:"b,omitempty"`
	Bytes []byte   `json:"x,omitempty"`
}

// Statement is one write of a transaction, in the data's own SQL.
type Statement struct {
	SQL  string `json:"sql"`
	Args []Arg  `json:"args,omitempty"`
}

// IdempotencyRecord is an idempotency key that a transaction records.
type IdempotencyRecord struct {
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	Tag         string `json:"tag"`
}

// Entry is one committed transaction. The first entry of a term has no
// statements.
type Entry struct {
	Term               ident.Term          `json:"term"`
	Index              uint64              `json:"index"`
	Statements         []Statement         `json:"statements,omitempty"`
	IdempotencyRecords []IdempotencyRecord `json:"once,omitempty"`
}

// Position returns the entry's place in the log.
func (e *Entry) Position() ident.Position { return ident.Position{Term: e.Term, Index: e.Index} }

// Member is a target of the group.
type Member struct {
	ID      ident.Target `json:"id"`
	Address string       `json:"address"`
}

// Pull asks the primary of Term for the entries after Last, which is an entry
// of the follower's log.
type Pull struct {
	Term     ident.Term     `json:"term"`
	Follower ident.Target   `json:"follower"`
	Last     ident.Position `json:"last"`
}

// PullAnswer is the primary's answer to a pull.
type PullAnswer struct {
	Term ident.Term `json:"term"`
	// Last is the pull's.
	Last ident.Position `json:"last"`
	// Match tells whether the primary's log has Last. If not, Probe is the
	// index to ask for next.
	Match      bool    `json:"match"`
	ProbeIndex uint64  `json:"probe,omitempty"`
	Entries    []Entry `json:"entries,omitempty"`
	// End is the primary's last entry.
	End    ident.Position `json:"end"`
	Quorum ident.Position `json:"quorum"`
}

// Durable is the part of a State, next to the log, that must survive a restart.
type Durable struct {
	PromisedTerm   ident.Term   `json:"promised"`
	PrimaryTerm    ident.Term   `json:"given"`
	Primary        ident.Target `json:"primary"`
	PrimaryAddress string       `json:"address"`
	Members        []Member     `json:"members,omitempty"`
}
