package target

import (
	"errors"

	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/sqldb"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindConfig means that a setting is wrong.
	KindConfig Kind = iota + 1
	// KindListen means that the address could not be listened on.
	KindListen
	// KindData means that the data directory or the database failed.
	KindStorage
	// KindFault means an unknown fault or a wrong value for one.
	KindInvalidFault
	// KindElect means that no primary could be set up.
	KindElection
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "target: " + e.Op + ": " + e.Text }

// SQLSTATEs that the target sends.
const (
	codeFloor        = "CV001"
	codeTerm         = "CV002"
	codeAge          = "CV003"
	codeRebuild      = "CV004"
	codeFingerprint  = "CV005"
	codeReadOnly     = "25006"
	codeNoBlock      = "25P01"
	codeFailedBlock  = "25P02"
	codeCancelled    = "57014"
	codeConnections  = "53300"
	codePassword     = "28P01"
	codeProtocol     = "08P01"
	codeUnsupported  = "0A000"
	codeValue        = "22023"
	codeNoStatement  = "26000"
	codeNoPortal     = "34000"
	codeShutdown     = "57P01"
	codePermission   = "42501"
	codeInternal     = "XX000"
	codeParamMissing = "08P01"
)

// refusal is an error that a client is told.
type refusal struct{ code, text string }

func (r *refusal) Error() string { return r.code + ": " + r.text }

// refuse says that the statement did not run.
func refuse(code, text string) error { return &refusal{code, text + "; not run"} }

// asRefusal returns what the client is told of an error.
func asRefusal(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	var s *sqldb.Error
	if errors.As(err, &s) {
		return &refusal{s.Code, s.Text + "; not run"}
	}
	var p *repl.Error
	if errors.As(err, &p) {
		code := codeTerm
		switch p.Kind {
		case repl.KindNotPrimary:
			code = codeReadOnly
		case repl.KindMembership:
			code = codeValue
		}
		return &refusal{code, p.Text + "; not run"}
	}
	return &refusal{codeInternal, err.Error()}
}
