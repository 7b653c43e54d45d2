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
	// KindConfig means that a setting is invalid.
	KindConfig Kind = iota + 1
	// KindListen means that the target can't listen on its address.
	KindListen
	// KindStorage means that the data directory or the database failed, or that
	// a primary sent no data.
	KindStorage
	// KindInvalidFault means an unknown fault or an invalid value for one.
	KindInvalidFault
	// KindElection means that Elect could not set up a primary and its
	// followers.
	KindElection
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error implements the error interface.
func (e *Error) Error() string { return "target: " + e.Op + ": " + e.Text }

// SQLSTATEs that the target sends.
const (
	codeBelowFloor   = "CV001"
	codeSuperseded   = "CV002"
	codeTooOld       = "CV003"
	codeRebuilding   = "CV004"
	codeFingerprint  = "CV005"
	codeReadOnly     = "25006"
	codeNoActiveTxn  = "25P01"
	codeFailedBlock  = "25P02"
	codeCancelled    = "57014"
	codeTooManyConns = "53300"
	codeBadPassword  = "28P01"
	codeProtocol     = "08P01"
	codeUnsupported  = "0A000"
	codeInvalidValue = "22023"
	codeNoStatement  = "26000"
	codeNoPortal     = "34000"
	codeShutdown     = "57P01"
	codePermission   = "42501"
	codeInternal     = "XX000"
	codeMissingParam = "08P01"
)

// clientError is an error with the SQLSTATE and the text that the client gets.
type clientError struct{ code, text string }

func (r *clientError) Error() string { return r.code + ": " + r.text }

// notRunError returns an error which says that the statement did not run.
func notRunError(code, text string) error { return &clientError{code, text + "; not run"} }

// toClientError converts any error to the one that the client gets.
func toClientError(err error) *clientError {
	var r *clientError
	if errors.As(err, &r) {
		return r
	}
	var s *sqldb.Error
	if errors.As(err, &s) {
		return &clientError{s.Code, s.Text + "; not run"}
	}
	var p *repl.Error
	if errors.As(err, &p) {
		code := codeSuperseded
		switch p.Kind {
		case repl.KindNotPrimary:
			code = codeReadOnly
		case repl.KindMembership:
			code = codeInvalidValue
		}
		return &clientError{code, p.Text + "; not run"}
	}
	return &clientError{codeInternal, err.Error()}
}
