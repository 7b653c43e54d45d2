package catal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"chervilspan.example/pkg/strict"
)

// Change is one difference between two documents. Old is unset for what was
// added, New for what was removed.
type Change struct {
	// Path is the JSON Pointer of the value.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// String returns the change as one line that starts with +, - or ~.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ %s %s", c.Path, c.New)
	case c.New == nil:
		return fmt.Sprintf("- %s %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences from old to next in the order of their paths,
// without the version. An added or removed entry is one change; within an
// entry that stays, each field is.
func Diff(old, next *Catalogue) ([]Change, error) {
	was, err := entries(old)
	if err != nil {
		return nil, err
	}
	is, err := entries(next)
	if err != nil {
		return nil, err
	}
	return diffFields("", was, is), nil
}

// FormatChanges returns the changes as lines.
func FormatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

func diffFields(path string, was, is map[string]json.RawMessage) []Change {
	all := maps.Clone(was)
	maps.Copy(all, is)
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p := path + "/" + strict.EscapePointer(name)
		if path == "" {
			p = name // entries are keyed by their path
		}
		out = append(out, diffValue(p, was[name], is[name])...)
	}
	return out
}

func diffValue(path string, a, b json.RawMessage) []Change {
	if bytes.Equal(a, b) {
		return nil
	}
	var x, y map[string]json.RawMessage
	if json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && x != nil && y != nil {
		return diffFields(path, x, y)
	}
	return []Change{{Path: path, Old: a, New: b}}
}
