package wire

import (
	"context"
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/retry"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindProtocol is not used: the error for a violation of the protocol is of
	// KindRefused or KindSessionEnded and has the code 08P01.
	KindProtocol Kind = iota + 1
	// KindRefused means that the request was refused before it ran.
	KindRefused
	// KindTargetLost means that a target was lost while the request ran.
	KindTargetLost
	// KindSessionEnded means that the session ends.
	KindSessionEnded
)

// SQLSTATE codes of the proxy's own errors.
const (
	codeOutcomeUnknown     = "08007"
	codeProtocol           = "08P01"
	codeUnsupported        = "0A000"
	codeInvalidValue       = "22023"
	codeReadOnly           = "25006"
	codeFailedTx           = "25P02"
	codeIdleTxTimeout      = "25P03"
	codeNoStatement        = "26000"
	codeKeyRefused         = "28P01"
	codeForbidden          = "28000"
	codeNoPortal           = "34000"
	codeSerialization      = "40001"
	codeSyntax             = "42601"
	codeDuplicateStatement = "42P05"
	codeTooMany            = "53300"
	codeTooLarge           = "54000"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeNotReady           = "57P03"
	// codeCommitted means that the transaction's idempotency key is already
	// committed.
	codeCommitted = "CV006"
)

// SQLSTATE codes by which a target refuses a statement.
const (
	targetBehind     = "CV001"
	targetSuperseded = "CV002"
	targetStale      = "CV003"
	targetRebuilding = "CV004"
	targetStopping   = "57P01"
	targetStarting   = "57P03"
)

// Error is the error type of this package. It is sent as an ErrorResponse.
type Error struct {
	// Op is the operation that failed.
	Op      string
	Kind    Kind
	Code    string
	Text    string
	Outcome retry.Outcome
	// Fatal errors end the session.
	Fatal bool
	Err   error
}

// Error returns the text as callers get it, which ends with the outcome.
func (e *Error) Error() string {
	end := "; " + e.Outcome.String()
	if strings.HasSuffix(e.Text, end) {
		return e.Text
	}
	return e.Text + end
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SQLState returns the SQLSTATE.
func (e *Error) SQLState() string { return e.Code }

// RequestOutcome returns what is known about the execution of the request.
func (e *Error) RequestOutcome() retry.Outcome { return e.Outcome }

func (e *Error) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	r := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.Code, Message: fieldText(e.Error())}
	if e.Err != nil {
		r.Detail = fieldText(e.Err.Error())
	}
	return r
}

// fieldText returns a text without zero bytes, which end a field of an ErrorResponse.
func fieldText(s string) string { return strings.ReplaceAll(s, "\x00", "") }

// refusedError returns the error of a request that was not run.
func refusedError(op, code, text string, cause error) *Error {
	return &Error{Op: op, Kind: KindRefused, Code: code, Text: text, Outcome: retry.NotRun, Err: cause}
}

// fatalError returns an error that ends the session.
func fatalError(op, code, text string, cause error) *Error {
	return &Error{Op: op, Kind: KindSessionEnded, Code: code, Text: text, Outcome: retry.NotRun, Fatal: true, Err: cause}
}

// lostError returns the error of a request whose target was lost.
func lostError(op, text string, o retry.Outcome, cause error) *Error {
	code := codeOutcomeUnknown
	if o == retry.NotRun {
		code = codeSerialization
	}
	return &Error{Op: op, Kind: KindTargetLost, Code: code, Text: text, Outcome: o, Err: cause}
}

// errCancelled is the cause of a context that a cancel request ended.
var errCancelled = errors.New("cancelled by the caller")

// limitError returns the error of a request that the limiter refused.
func limitError(ctx context.Context, op string, err error) *Error {
	if errors.Is(context.Cause(ctx), errCancelled) {
		return refusedError(op, codeCancelled, "cancelled on request while waiting", nil)
	}
	return refusedError(op, sqlState(err, codeTooMany), err.Error(), nil)
}

// sqlState returns the SQLSTATE that an error carries, else the given one.
func sqlState(err error, otherwise string) string {
	var s interface{ SQLState() string }
	if errors.As(err, &s) && s.SQLState() != "" {
		return s.SQLState()
	}
	return otherwise
}
