package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// node is a JSON value with the line at which it starts.
type node struct {
	line int
	// raw is the text of a scalar; nil for objects and arrays.
	raw    json.RawMessage
	object bool
	fields []field
	items  []node
}

type field struct {
	name string
	// line of the name.
	line int
	node node
}

// maxDepth bounds the nesting of a document; the schema needs six levels.
const maxDepth = 32

// treeReader builds nodes from the tokens of a JSON text.
type treeReader struct {
	data []byte
	dec  *json.Decoder
	// counted and line cache the line number at an offset.
	counted int64
	line    int
}

func readTree(data []byte) (node, *Problem) {
	r := &treeReader{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.dec.UseNumber()
	n, err := r.value(0)
	if err == nil {
		if _, more := r.dec.Token(); more != io.EOF {
			err = fmt.Errorf("text after the document's end")
		}
	}
	if err != nil {
		return node{}, &Problem{Line: r.lineAt(r.dec.InputOffset()), Text: "not JSON: " + plainJSONError(err), Allowed: "one JSON object"}
	}
	return n, nil
}

func plainJSONError(err error) string {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return "the text ends too early"
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func (r *treeReader) lineAt(offset int64) int {
	offset = min(offset, int64(len(r.data)))
	if offset > r.counted {
		r.line += bytes.Count(r.data[r.counted:offset], []byte{'\n'})
		r.counted = offset
	}
	return r.line
}

func (r *treeReader) value(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, fmt.Errorf("nested deeper than %d levels", maxDepth)
	}
	t, err := r.dec.Token()
	if err != nil {
		return node{}, err
	}
	n := node{line: r.lineAt(r.dec.InputOffset())}
	switch t {
	case json.Delim('{'):
		n.object = true
		return n, r.object(&n, depth)
	case json.Delim('['):
		return n, r.array(&n, depth)
	}
	n.raw, err = json.Marshal(t)
	return n, err
}

func (r *treeReader) object(n *node, depth int) error {
	for r.dec.More() {
		t, err := r.dec.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		line := r.lineAt(r.dec.InputOffset())
		v, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name, line, v})
	}
	_, err := r.dec.Token()
	return err
}

func (r *treeReader) array(n *node, depth int) error {
	for r.dec.More() {
		v, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, v)
	}
	_, err := r.dec.Token()
	return err
}

// lineOf returns the line of the value at a JSON Pointer, or of its nearest
// ancestor that is there.
func (n *node) lineOf(path string) int {
	line := n.line
	for _, part := range strings.Split(path, "/")[1:] {
		next, at := n.child(UnescapePointer(part))
		if next == nil {
			return line
		}
		n, line = next, at
	}
	return line
}

func (n *node) child(name string) (*node, int) {
	for i := range n.fields {
		if n.fields[i].name == name {
			return &n.fields[i].node, n.fields[i].line
		}
	}
	if i, err := strconv.Atoi(name); err == nil && i >= 0 && i < len(n.items) {
		return &n.items[i], n.items[i].line
	}
	return nil, 0
}

var (
	pointerEscape   = strings.NewReplacer("~", "~0", "/", "~1")
	pointerUnescape = strings.NewReplacer("~1", "/", "~0", "~")
)

// EscapePointer returns a name as a part of a JSON Pointer (RFC 6901).
func EscapePointer(s string) string { return pointerEscape.Replace(s) }

// UnescapePointer returns the name that a part of a JSON Pointer stands for.
func UnescapePointer(s string) string { return pointerUnescape.Replace(s) }
