package evlog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// Event is a kind of event that the daemons log.
type Event struct {
	Number int
	// Name is the value of the field "name" of the log line, in snake case.
	Name    string
	Level   zerolog.Level
	Meaning string
	// Action says what an operator should do.
	Action string
}

var events []Event

// register adds an event to those of this package. It is called at initialization.
func register(e Event) Event {
	events = append(events, e)
	return e
}

// Events returns all events in the order of their numbers.
func Events() []Event {
	out := slices.Clone(events)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// At begins a log line with the number, level and name of e. The caller adds fields
// and calls Send.
func At(l zerolog.Logger, e Event) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Markdown returns the content of docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEach log line of the daemon carries one of these numbers in its field `event`. This page is generated from `internal/evlog` by `make generate`.\n\n| number | name | level | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, e := range Events() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}
