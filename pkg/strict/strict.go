package strict

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Path is the JSON Pointer of the value.
	Path string `json:"path"`
	// Line is the line of the value in the text, or 0 if there is no text.
	Line int `json:"line,omitempty"`
	// Text says what is wrong.
	Text string `json:"text"`
	// Allowed describes the allowed values.
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

// Document is a parsed JSON text with the problems found in it.
type Document struct {
	tree     node
	problems []Problem
}

// Decode decodes data into v, a pointer to a struct. It continues after a
// problem, so that all are found at once. Fields that could not be decoded keep
// their zero value. Document.Problems returns the problems; Document.WellFormed
// reports whether the text was JSON at all.
func Decode(data []byte, v any) *Document {
	tree, problem := readTree(data)
	if problem != nil {
		return &Document{problems: []Problem{*problem}}
	}
	var d decoder
	d.decodeValue("", tree, reflect.ValueOf(v).Elem())
	return &Document{tree: tree, problems: d.problems}
}

// WellFormed reports whether the text was JSON.
func (d *Document) WellFormed() bool { return d.tree.line > 0 }

// AddProblems adds problems that other checks found in the decoded value, and
// sets their lines. It drops those at or below a value that could not be decoded,
// because the checks saw its zero value there.
func (d *Document) AddProblems(problems []Problem) {
	unread := d.problems
	for _, p := range problems {
		if !isWithin(p.Path, unread) {
			p.Line = d.tree.lineOf(p.Path)
			d.problems = append(d.problems, p)
		}
	}
}

// Problems returns all problems in the order of their lines.
func (d *Document) Problems() []Problem {
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

// isWithin reports whether path is at or below the path of one of the problems.
func isWithin(path string, problems []Problem) bool {
	return slices.ContainsFunc(problems, func(p Problem) bool {
		return strings.HasPrefix(path+"/", p.Path+"/")
	})
}
