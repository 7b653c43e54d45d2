package access

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindRoute means that the catalogue has no such route.
	KindUnknownRoute Kind = iota + 1
	// KindKey means that the key is missing, wrong, withdrawn or not in its
	// time. The message doesn't tell these apart.
	KindKeyRefused
	// KindForbidden means that the workspace may not use the route.
	KindForbidden
	// KindNotReady means that there is no catalogue yet.
	KindNotReady
	// KindCutOff means that the catalogue's age is above its bound.
	KindCutOff
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Text is the message for the caller; it never has a key in it.
	Text string
}

// Error returns the message. A refusal here means that nothing has run; the
// session adds that to what the caller sees.
func (e *Error) Error() string { return e.Text }

// SQLState returns the code of the PostgreSQL error message.
func (e *Error) SQLState() string {
	switch e.Kind {
	case KindUnknownRoute:
		return "3D000"
	case KindForbidden:
		return "28000"
	case KindNotReady, KindCutOff:
		return "57P03"
	}
	return "28P01"
}
