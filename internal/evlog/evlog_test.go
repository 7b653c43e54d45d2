package evlog

import (
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

// TestEvents guards against events that share a number or a name, names that are
// not in snake case, and events without a meaning or an action.
func TestEvents(t *testing.T) {
	is := is.New(t)
	numbers, names := map[int]bool{}, map[string]bool{}
	snake := regexp.MustCompile(`^[a-z]+(_[a-z0-9]+)*$`)
	for _, e := range Events() {
		is.True(!numbers[e.Number])
		is.True(!names[e.Name])
		is.True(snake.MatchString(e.Name))
		is.True(e.Meaning != "" && e.Action != "")
		numbers[e.Number], names[e.Name] = true, true
	}
}

// TestPage guards against a docs/events.md that does not match the table of events.
func TestPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	is.Equal(string(page), Markdown()) // run make generate
}
