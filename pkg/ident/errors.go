package ident

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindSyntax means that a text does not have the required form.
	KindSyntax Kind = iota + 1
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "ident: " + e.Op + ": " + e.Text }
