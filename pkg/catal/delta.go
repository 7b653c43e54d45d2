package catal

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/strict"
)

// Delta is what turns one version into another. Entries are named by their
// JSON Pointer of two steps, such as /routes/orders, or /sharing.
type Delta struct {
	From    ident.Version              `json:"from"`
	To      ident.Version              `json:"to"`
	Put     map[string]json.RawMessage `json:"put,omitempty"`
	Removed []string                   `json:"removed,omitempty"`
	// SHA256 is the hexadecimal hash of the whole document of version To.
	SHA256 string `json:"sha256"`
}

// Encode returns the canonical text of a document: one line, maps in the order
// of their keys.
func Encode(c *Catalogue) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindInvalid, Err: err}
	}
	return data, nil
}

// Hash returns the hexadecimal SHA-256 of the canonical text.
func Hash(c *Catalogue) (string, error) {
	data, err := Encode(c)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// NewDelta returns the difference from old to next.
func NewDelta(old, next *Catalogue) (Delta, error) {
	was, err := entries(old)
	if err != nil {
		return Delta{}, err
	}
	is, err := entries(next)
	if err != nil {
		return Delta{}, err
	}
	sum, err := Hash(next)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: old.Version, To: next.Version, Put: map[string]json.RawMessage{}, SHA256: sum}
	for path, raw := range is {
		if !bytes.Equal(was[path], raw) {
			d.Put[path] = raw
		}
	}
	for path := range was {
		if _, ok := is[path]; !ok {
			d.Removed = append(d.Removed, path)
		}
	}
	slices.Sort(d.Removed)
	return d, nil
}

// Apply returns the document that d makes of base, which stays as it is. It
// returns an *Error of kind KindBase when base has another version, and of
// kind KindHash when the result differs from what the sender has.
func (d Delta) Apply(base *Catalogue) (*Catalogue, error) {
	if base.Version != d.From {
		return nil, &Error{Op: "apply delta", Kind: KindBaseMismatch, Err: fmt.Errorf("the base is version %d, the delta is from %d", base.Version, d.From)}
	}
	all, err := entries(base)
	if err != nil {
		return nil, err
	}
	for _, path := range d.Removed {
		delete(all, path)
	}
	for path, raw := range d.Put {
		all[path] = raw
	}
	next, err := assemble(all)
	if err != nil {
		return nil, err
	}
	next.Version = d.To
	sum, err := Hash(next)
	if err != nil {
		return nil, err
	}
	if sum != d.SHA256 {
		return nil, &Error{Op: "apply delta", Kind: KindHashMismatch, Err: fmt.Errorf("version %d has another hash than the sender's", d.To)}
	}
	return next, nil
}

// entries splits a document into its entries by path.
func entries(c *Catalogue) (map[string]json.RawMessage, error) {
	raw, err := Encode(c)
	if err != nil {
		return nil, err
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(raw, &sections); err != nil {
		return nil, &Error{Op: "split", Kind: KindSyntax, Err: err}
	}
	delete(sections, "version")
	out := map[string]json.RawMessage{}
	for name, raw := range sections {
		if name == "sharing" || name == "sessions" {
			out["/"+name] = raw // a section without ids
			continue
		}
		var m map[string]json.RawMessage
		if err := json.Unmarshal(raw, &m); err != nil {
			return nil, &Error{Op: "split", Kind: KindSyntax, Err: err}
		}
		for id, e := range m {
			out[at(name, id)] = e
		}
	}
	return out, nil
}

func assemble(all map[string]json.RawMessage) (*Catalogue, error) {
	sections := map[string]any{}
	for path, raw := range all {
		parts := strings.Split(path, "/")
		if len(parts) == 2 {
			sections[parts[1]] = raw
			continue
		}
		if len(parts) != 3 {
			return nil, &Error{Op: "apply delta", Kind: KindInvalid, Problems: []Problem{{Path: path, Text: "no path of an entry"}}}
		}
		m, _ := sections[parts[1]].(map[string]json.RawMessage)
		if m == nil {
			m = map[string]json.RawMessage{}
			sections[parts[1]] = m
		}
		m[strict.UnescapePointer(parts[2])] = raw
	}
	raw, err := json.Marshal(sections)
	if err != nil {
		return nil, &Error{Op: "apply delta", Kind: KindSyntax, Err: err}
	}
	return decodeStrict("apply delta", raw)
}

func decodeStrict(op string, raw []byte) (*Catalogue, error) {
	var c Catalogue
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	return &c, nil
}
