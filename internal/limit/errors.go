package limit

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/ident"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package. No refused request has run.
const (
	// KindRate means that no token became available within the waiting time.
	KindRate Kind = iota + 1
	// KindQueueFull means that the workspace has too many requests waiting.
	KindQueueFull
	// KindDeadline means that no slot became free, or is expected to, before the
	// deadline.
	KindDeadline
	// KindUnknown means that the catalogue has no such workspace or target.
	KindUnknown
	// KindCancelled means that the caller's context ended while the request waited.
	KindCancelled
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op        string
	Kind      Kind
	Workspace ident.Workspace
	Target    ident.Target
	// RetryAfter is the time after which a new attempt may succeed; 0 if unknown.
	RetryAfter time.Duration
	Err        error
}

// Error returns the message that the caller sees: the reason, the time after which
// to retry if known, and "not run".
func (e *Error) Error() string {
	s := e.reason()
	if e.RetryAfter > 0 {
		s += fmt.Sprintf("; retry after %d ms", max(1, e.RetryAfter.Milliseconds()))
	}
	return s + "; not run"
}

func (e *Error) reason() string {
	switch e.Kind {
	case KindRate:
		return fmt.Sprintf("workspace %q is above its rate", e.Workspace)
	case KindQueueFull:
		return fmt.Sprintf("workspace %q has too many requests waiting for target %q", e.Workspace, e.Target)
	case KindDeadline:
		return fmt.Sprintf("no slot of target %q is free before the deadline", e.Target)
	case KindUnknown:
		return fmt.Sprintf("workspace %q or target %q is not in the catalogue", e.Workspace, e.Target)
	case KindCancelled:
		return "the caller has gone"
	}
	return "refused"
}

// SQLState returns the SQLSTATE code for the error response to the caller.
func (e *Error) SQLState() string {
	switch e.Kind {
	case KindRate:
		return "53400"
	case KindUnknown:
		return "28000"
	case KindCancelled:
		return "57014"
	}
	return "53300"
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
