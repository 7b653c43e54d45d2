package rindex

import "chervilspan.example/pkg/ident"

// Answer is the answer of another database of the group to a question sent after
// the read began.
type Answer struct {
	// Answered is false when there was no answer in time.
	Answered bool
	// Primary reports that the database takes itself for the primary.
	Primary bool
	// Position is that of the last log entry applied, or with Received that of the
	// last entry received.
	Position ident.Position
	Received bool
}

// Verdict is the result of Decide.
type Verdict uint8

// Verdicts.
const (
	// Unknown means that too few databases answered.
	Unknown Verdict = iota
	// Confirmed means that no newer primary had acknowledged a commit when the
	// questions were sent.
	Confirmed
	// Superseded means that another database has entries of a newer term.
	Superseded
	// Contested means that another database takes itself for the primary too.
	Contested
)

// Decide returns what the answers of all other databases show about a presumed
// primary whose log has reached own. syncReplicas is the number of replicas that
// must have received a commit before it is acknowledged.
func Decide(own ident.Position, answers []Answer, syncReplicas int) Verdict {
	answered, received := 0, 0
	for _, a := range answers {
		switch {
		case !a.Answered:
			continue
		case a.Position.Term > own.Term:
			return Superseded
		case a.Primary:
			return Contested
		}
		answered++
		if a.Received {
			received++
		}
	}
	if len(answers) < syncReplicas {
		return Unknown // some databases of the group are not known
	}
	if answered == len(answers) || received >= max(1, len(answers)-syncReplicas) {
		return Confirmed
	}
	return Unknown
}

// NeedsStatus reports whether the received positions of the databases that answered
// can still confirm the primary, although some databases did not answer.
func NeedsStatus(answers []Answer, syncReplicas int) bool {
	answered := 0
	for _, a := range answers {
		if a.Answered {
			answered++
		}
	}
	return answered < len(answers) && answered >= max(1, len(answers)-syncReplicas)
}
