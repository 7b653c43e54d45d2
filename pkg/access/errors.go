package access

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindUnknownRoute means that the catalogue has no such route.
	KindUnknownRoute Kind = iota + 1
	// KindKeyRefused means that the key is missing, wrong, withdrawn or outside
	// its validity period. The message does not tell which of these applies, nor
	// whether the workspace exists.
	KindKeyRefused
	// KindForbidden means that the workspace may not use the route.
	KindForbidden
	// KindNotReady means that there is no catalogue yet.
	KindNotReady
	// KindCutOff means that the VM is cut off: its catalogue may be older than
	// the staleness bound.
	KindCutOff
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Text is the message for the caller. It never contains a key.
	Text string
}

// Error returns Text. No statement has run when this package returns an error;
// the session adds that to the message for the caller.
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
