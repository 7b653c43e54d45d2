package entry

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindConfig means that the settings name a file that can't be read or is
	// invalid, or a store that can't be opened.
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
