package lead

import "chervilspan.example/pkg/ident"

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindClaimed means that another VM decides about the group.
	KindClaimed Kind = iota + 1
	// KindStore means that the store did not answer.
	KindStore
	// KindUnheard means that a replica which may hold an acknowledged commit
	// did not answer.
	KindUnheard
	// KindRefused means that the platform refused the promotion.
	KindRefused
	// KindLate means that the claim may have ended.
	KindLate
	// KindLed means that another database than the lost one leads already.
	KindLed
	// KindUnsettled means that the list of databases may lack some.
	KindUnsettled
)

// Error is the error type of this package.
type Error struct {
	// Op is the step that failed.
	Op     string
	Kind   Kind
	Group  ident.Group
	Target ident.Target
	Err    error
}

var kindTexts = map[Kind]string{
	KindClaimed: "another VM decides", KindStore: "the store did not answer", KindUnheard: "a replica did not answer",
	KindRefused: "the platform refused", KindLate: "the claim may have ended",
	KindLed: "it leads already", KindUnsettled: "the list of databases may be incomplete",
}

// Error returns the step, the group and the cause.
func (e *Error) Error() string {
	s := "lead: " + e.Op + " " + string(e.Group)
	if e.Target != "" {
		s += "/" + string(e.Target)
	}
	s += ": " + kindTexts[e.Kind]
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
