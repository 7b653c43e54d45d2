package capac

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFleet means that a fleet did not start or settle.
	KindFleet Kind = iota + 1
	// KindRead means that a counter of a process or of the store could not be
	// read.
	KindRead
	// KindLoad means that a load, a connection or an edit failed.
	KindLoad
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return "capac: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapError returns nil when err is nil.
func wrapError(op string, k Kind, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: k, Err: err}
}
