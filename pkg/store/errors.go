package store

import "errors"

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnavailable means that the store did not answer; a write may have
	// taken effect.
	KindUnavailable Kind = iota + 1
	// KindTooLarge means that the value exceeds the store's size limit, or an answer that of
	// WithMaxAnswer.
	KindTooLarge
	// KindLeaseEnded means that the lease of a write has ended; nothing was
	// written.
	KindLeaseEnded
	// KindFormat means that a value could not be encoded or decoded.
	KindFormat
	// KindCompacted means that the store no longer has the history from which a
	// watch was to start: it has discarded it, or lost it in a restoration.
	KindCompacted
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Key  string
	Kind Kind
	Err  error
}

// Error returns the operation, the key and the cause.
func (e *Error) Error() string {
	s := "store: " + e.Op
	if e.Key != "" {
		s += " " + e.Key
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// IsKind reports whether an error is an *Error of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
