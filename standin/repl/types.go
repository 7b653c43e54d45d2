package repl

import "chervilspan.example/pkg/ident"

// Arg is one argument of a statement. An Arg with no field set is NULL.
type Arg struct {
	Int   *int64   `json:"i,omitempty"`
	Float *float64 `json:"f,omitempty"`
	Text  *string  `json:"s,omitempty"`
	Bool  *bool    `json:"b,omitempty"`
	Bytes []byte   `json:"x,omitempty"`
}

// Statement is one write of a transaction in the SQL dialect of sqldb.
type Statement struct {
	SQL  string `json:"sql"`
	Args []Arg  `json:"args,omitempty"`
}

// IdempotencyRecord is the idempotency key of a transaction, with the
// fingerprint of the request and the command tag that a repetition returns.
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

// Position returns the entry's term and index.
func (e *Entry) Position() ident.Position { return ident.Position{Term: e.Term, Index: e.Index} }

// Member is a target of the group.
type Member struct {
	ID      ident.Target `json:"id"`
	Address string       `json:"address"`
}

// Pull asks the primary of Term for the entries after Last, the position of an
// entry in the follower's log.
type Pull struct {
	Term     ident.Term     `json:"term"`
	Follower ident.Target   `json:"follower"`
	Last     ident.Position `json:"last"`
}

// PullAnswer is the primary's answer to a pull.
type PullAnswer struct {
	Term ident.Term `json:"term"`
	// Last is copied from the pull.
	Last ident.Position `json:"last"`
	// Match reports whether the primary's log contains Last. If not, ProbeIndex
	// is the index that the follower compares next.
	Match      bool    `json:"match"`
	ProbeIndex uint64  `json:"probe,omitempty"`
	Entries    []Entry `json:"entries,omitempty"`
	// End is the position of the primary's last entry.
	End    ident.Position `json:"end"`
	Quorum ident.Position `json:"quorum"`
}

// Durable is the part of a State that, together with the log, must survive a
// restart. PrimaryTerm is the last term of which the target knew the primary;
// Primary is that primary, empty once a higher term is promised.
type Durable struct {
	PromisedTerm   ident.Term   `json:"promised"`
	PrimaryTerm    ident.Term   `json:"given"`
	Primary        ident.Target `json:"primary"`
	PrimaryAddress string       `json:"address"`
	Members        []Member     `json:"members,omitempty"`
}
