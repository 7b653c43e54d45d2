package limit

import (
	"fmt"
	"time"

	"chervilspan.example/pkg/ident"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package. None of the refused requests was run.
const (
	// KindRate means that no token came within the waiting time.
	KindRate Kind = iota + 1
	// KindQueue means that the workspace has too many requests waiting.
	KindQueueFull
	// KindDeadline means that no slot came, or is expected, before the deadline.
	KindDeadline
	// KindUnknown means that the catalogue has no such workspace or target.
	KindUnknown
	// KindCancelled means that the caller gave up while it waited.
	KindCancelled
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op        string
	Kind      Kind
	Workspace ident.Workspace
	Target    ident.Target
	// Retry is when a new attempt may succeed; 0 when that is not known.
	RetryAfter time.Duration
	Err        error
}

// Error returns the reason with a hint when to retry, and ends in "not run", as
// callers see it.
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

// SQLState returns the code for the caller's error response.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
