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

// Change is one difference between two documents. Old is nil for an added value,
// New for a removed one.
type Change struct {
	// Path is the JSON Pointer of the value.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// String returns the change as one line that starts with + for an added value,
// - for a removed one and ~ for a changed one.
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
// without the version. An added or removed entry is one Change; in an entry of
// both documents, each differing field is one.
func Diff(old, next *Catalogue) ([]Change, error) {
	oldEntries, err := splitEntries(old)
	if err != nil {
		return nil, err
	}
	newEntries, err := splitEntries(next)
	if err != nil {
		return nil, err
	}
	return diffFields("", oldEntries, newEntries), nil
}

// FormatChanges returns the changes as text, one per line.
func FormatChanges(changes []Change) string {
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(c.String() + "\n")
	}
	return b.String()
}

func diffFields(path string, oldFields, newFields map[string]json.RawMessage) []Change {
	all := maps.Clone(oldFields)
	maps.Copy(all, newFields)
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(all)) {
		p := path + "/" + strict.EscapePointer(name)
		if path == "" {
			p = name // entries are keyed by their path
		}
		out = append(out, diffValue(p, oldFields[name], newFields[name])...)
	}
	return out
}

func diffValue(path string, oldValue, newValue json.RawMessage) []Change {
	if bytes.Equal(oldValue, newValue) {
		return nil
	}
	var oldFields, newFields map[string]json.RawMessage
	if json.Unmarshal(oldValue, &oldFields) == nil && json.Unmarshal(newValue, &newFields) == nil && oldFields != nil && newFields != nil {
		return diffFields(path, oldFields, newFields)
	}
	return []Change{{Path: path, Old: oldValue, New: newValue}}
}
