package lead

import "chervilspan.example/pkg/ident"

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindClaimed means that another VM holds the claim to the group.
	KindClaimed Kind = iota + 1
	// KindStore means that the store did not answer.
	KindStore
	// KindNoAnswer means that a replica which may hold an acknowledged commit
	// did not answer.
	KindNoAnswer
	// KindRefused means that the platform refused the promotion.
	KindRefused
	// KindClaimExpired means that the claim may have expired before the promotion.
	KindClaimExpired
	// KindOtherPrimary means that another database is the primary already.
	KindOtherPrimary
	// KindListIncomplete means that the list of databases may lack some.
	KindListIncomplete
	// KindPrimaryWorks means that another VM is in contact with the primary.
	KindPrimaryWorks
	// KindNoSuccessor means that no replica in service has the primary's log.
	KindNoSuccessor
	// KindNotPromoted means that the promoted database has not become the primary
	// in time.
	KindNotPromoted
	// KindConflict means that another VM has changed an in-sync set meanwhile.
	KindConflict
	// KindSettled means that the primary's replicas had been left fenced, and that it need
	// not be replaced now that the fences are lifted.
	KindSettled
	// KindRestored means that the store was restored from an older copy, and may have
	// forgotten a claim that has not expired.
	KindRestored
	// KindCommitsMissing means that the database chosen lacks a commit that a VM has seen
	// acknowledged.
	KindCommitsMissing
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
	KindPrimaryWorks: "another VM is in contact with the primary", KindNoSuccessor: "no replica in service has the log of the primary",
	KindNotPromoted: "the promoted database has not become the primary in time",
	KindConflict:    "another VM has changed it meanwhile",
	KindSettled:     "its replicas had been left fenced",
	KindRestored:    "the store may have forgotten the claim of another VM",

	KindCommitsMissing: "it lacks acknowledged commits",
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
