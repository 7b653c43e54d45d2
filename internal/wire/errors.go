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
	// KindProtocol means that the caller broke the protocol.
	KindProtocol Kind = iota + 1
	// KindRefused means that the request was refused before it ran.
	KindRefused
	// KindLost means that a target was lost while the request ran.
	KindTargetLost
	// KindEnded means that the session ends.
	KindSessionEnded
)

// SQLSTATE codes of the answers that the proxy gives itself.
const (
	codeUnknown       = "08007"
	codeProtocol      = "08P01"
	codeUnsupported   = "0A000"
	codeBadValue      = "22023"
	codeReadOnly      = "25006"
	codeFailedTx      = "25P02"
	codeIdleTx        = "25P03"
	codeNoStatement   = "26000"
	codeKey           = "28P01"
	codeForbidden     = "28000"
	codeNoPortal      = "34000"
	codeSerialization = "40001"
	codeSyntax        = "42601"
	codeDuplicate     = "42P05"
	codeQueue         = "53300"
	codeTooLarge      = "54000"
	codeCancelled     = "57014"
	codeDrain         = "57P01"
	codeNotReady      = "57P03"
	// codeCommitted answers a transaction whose idempotency key is already
	// committed.
	codeCommitted = "CV006"
)

// SQLSTATE codes by which a target refuses a statement.
const (
	targetBehind     = "CV001"
	targetSuperseded = "CV002"
	targetTooOld     = "CV003"
	targetRebuild    = "CV004"
	targetStopping   = "57P01"
	targetStarting   = "57P03"
)

// Error is the error type of this package. It becomes an ErrorResponse.
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

// Error returns the text, which ends in the outcome, as callers see it.
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

// RequestOutcome returns what is known of the request.
func (e *Error) RequestOutcome() retry.Outcome { return e.Outcome }

func (e *Error) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if e.Fatal {
		severity = "FATAL"
	}
	r := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: e.Code, Message: e.Error()}
	if e.Err != nil {
		r.Detail = e.Err.Error()
	}
	return r
}

// refuse returns an error for a request that was not run.
func refuse(op, code, text string, cause error) *Error {
	return &Error{Op: op, Kind: KindRefused, Code: code, Text: text, Outcome: retry.NotRun, Err: cause}
}

// fatal returns an error that ends the session.
func fatal(op, code, text string, cause error) *Error {
	return &Error{Op: op, Kind: KindSessionEnded, Code: code, Text: text, Outcome: retry.NotRun, Fatal: true, Err: cause}
}

// lost returns an error for a request whose target was lost.
func lost(op, text string, o retry.Outcome, cause error) *Error {
	code := codeUnknown
	if o == retry.NotRun {
		code = codeSerialization
	}
	return &Error{Op: op, Kind: KindTargetLost, Code: code, Text: text, Outcome: o, Err: cause}
}

// errCancelled is the cause of a context that a cancel request ended.
var errCancelled = errors.New("cancelled by the caller")

// fromLimit turns an error of the limiter into a refusal.
func fromLimit(ctx context.Context, op string, err error) *Error {
	if errors.Is(context.Cause(ctx), errCancelled) {
		return refuse(op, codeCancelled, "cancelled on request while waiting", nil)
	}
	return refuse(op, sqlState(err, codeQueue), err.Error(), nil)
}

// sqlState returns the SQLSTATE that an error carries, else the given one.
func sqlState(err error, otherwise string) string {
	var s interface{ SQLState() string }
	if errors.As(err, &s) && s.SQLState() != "" {
		return s.SQLState()
	}
	return otherwise
}
