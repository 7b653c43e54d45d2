package epoch

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindStore means that a call to the store failed.
	KindStore Kind = iota + 1
	// KindFormat means that a value could not be encoded.
	KindFormat
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return "epoch: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
