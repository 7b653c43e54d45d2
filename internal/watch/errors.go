package watch

import "chervilspan.example/pkg/ident"

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnknownGroup means that the catalogue has no such group.
	KindUnknownGroup Kind = iota + 1
	// KindNoMajority means that no majority of the group answered or holds the
	// entry in question.
	KindNoMajority
	// KindTimeout means that the caller's context ended before the answer.
	KindTimeout
	// KindStopped means that the Watcher has been stopped.
	KindStopped
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op    string
	Kind  Kind
	Group ident.Group
	Err   error
}

// Error returns the operation, the group and the cause.
func (e *Error) Error() string {
	s := "watch: " + e.Op + " " + string(e.Group)
	switch e.Kind {
	case KindUnknownGroup:
		s += ": the catalogue has no such group"
	case KindStopped:
		s += ": stopped"
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
