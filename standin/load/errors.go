package load

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindConfig means that a setting is wrong.
	KindConfig Kind = iota + 1
	// KindTarget means that the targets could not be prepared or read.
	KindTarget
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "load: " + e.Op + ": " + e.Text }
