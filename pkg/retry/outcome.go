package retry

import "errors"

// Outcome says whether a request took effect. The zero Outcome is Unknown.
type Outcome uint8

// Outcomes of a request.
const (
	// Unknown means that the request may or may not have taken effect.
	Unknown Outcome = iota
	// NotRun means that the request did not take effect and never will.
	NotRun
	// Done means that the request took effect.
	Done
)

// String returns the words with which a message to a caller ends.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	}
	return "outcome unknown"
}

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFailed means that an attempt failed.
	KindFailed Kind = iota + 1
	// KindBudget means that the target's retry budget is spent.
	KindBudget
)

// Error is the error type of this package: a failure with its outcome.
type Error struct {
	// Op is the operation that failed.
	Op      string
	Kind    Kind
	Outcome Outcome
	Err     error
}

// Error returns the operation, the cause and the outcome.
func (e *Error) Error() string {
	s := e.Op
	if e.Kind == KindBudget {
		s += ": retry budget spent"
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s + "; " + e.Outcome.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// RequestOutcome returns the outcome that the error carries.
func (e *Error) RequestOutcome() Outcome { return e.Outcome }

// OutcomeOf returns the outcome of a request that ended with err: Done for nil, what
// the outermost error that carries an outcome says, else Unknown.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Done
	}
	var c interface{ RequestOutcome() Outcome }
	if errors.As(err, &c) {
		return c.RequestOutcome()
	}
	return Unknown
}
