package strict

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path is the JSON Pointer of the value.
	Path string `json:"path"`
	// Line of the value in the text, 0 when there is no text.
	Line int `json:"line,omitempty"`
	// Text says what is wrong.
	Text string `json:"text"`
	// Allowed says what would be right.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Text)
	if p.Allowed != "" {
		b.WriteString("; allowed: " + p.Allowed)
	}
	return b.String()
}

// Document is a parsed JSON text.
type Document struct {
	tree     node
	problems []Problem
}

// Decode parses data into v, a pointer to a struct, and goes on after a
// problem, so that all are found at once. Fields that could not be read keep
// their zero value. Problems returns what was found; Syntax tells whether the
// text was JSON at all.
func Decode(data []byte, v any) *Document {
	tree, bad := readTree(data)
	if bad != nil {
		return &Document{problems: []Problem{*bad}}
	}
	var d decoder
	d.value("", tree, reflect.ValueOf(v).Elem())
	return &Document{tree: tree, problems: d.problems}
}

// WellFormed reports whether the text was JSON.
func (d *Document) WellFormed() bool { return d.tree.line > 0 }

// AddProblems takes further problems, of rules that the document breaks, and finds
// their lines. Those at or below a value that could not be read are dropped:
// the rules would report its zero value again.
func (d *Document) AddProblems(problems []Problem) {
	unread := d.problems
	for _, p := range problems {
		if !under(p.Path, unread) {
			p.Line = d.tree.lineOf(p.Path)
			d.problems = append(d.problems, p)
		}
	}
}

// Problems returns everything found, in the order of the lines.
func (d *Document) Problems() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// under reports whether path is at or below one of the problems.
func under(path string, problems []Problem) bool {
	return slices.ContainsFunc(problems, func(p Problem) bool {
		return strings.HasPrefix(path+"/", p.Path+"/")
	})
}
