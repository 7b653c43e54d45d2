package bench

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindFleet means that the fleet did not start or settle.
	KindFleet Kind = iota + 1
	// KindCase means that a case could not be run.
	KindCase
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "bench: " + e.Op + ": " + e.Text }

func caseError(op string, err error) error {
	return &Error{Op: op, Kind: KindCase, Text: err.Error()}
}
