package entry

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindConfig means that a file named by the settings is wrong.
	KindConfig Kind = iota + 1
	// KindListen means that a listener could not be opened or failed.
	KindListen
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
