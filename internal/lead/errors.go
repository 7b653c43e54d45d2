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
	KindNoAnswer
	// KindRefused means that the platform refused the promotion.
	KindRefused
	// KindLate means that the claim may have ended.
	KindClaimExpired
	// KindLed means that another database than the lost one leads already.
	KindOtherPrimary
	// KindUnsettled means that the list of databases may lack some.
	KindListIncomplete
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
	KindClaimed: "another VM decides", KindStore: "the store did not answer", KindNoAnswer: "a replica did not answer",
	KindRefused: "the platform refused", KindClaimExpired: "the claim may have ended",
	KindOtherPrimary: "it leads already", KindListIncomplete: "the list of databases may be incomplete",
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
