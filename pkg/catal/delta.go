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

// Delta is the difference between two versions. Entries are named by their JSON
// Pointer, which has two parts, such as /routes/orders, or one for sections
// without ids, such as /sharing.
type Delta struct {
	From    ident.Version              `json:"from"`
	To      ident.Version              `json:"to"`
	Put     map[string]json.RawMessage `json:"put,omitempty"`
	Removed []string                   `json:"removed,omitempty"`
	// SHA256 is the hexadecimal SHA-256 of the canonical text of version To.
	SHA256 string `json:"sha256"`
}

// Encode returns the canonical text of a document: JSON on one line, with maps in
// the order of their keys.
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
	oldEntries, err := splitEntries(old)
	if err != nil {
		return Delta{}, err
	}
	newEntries, err := splitEntries(next)
	if err != nil {
		return Delta{}, err
	}
	sum, err := Hash(next)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: old.Version, To: next.Version, Put: map[string]json.RawMessage{}, SHA256: sum}
	for path, raw := range newEntries {
		if !bytes.Equal(oldEntries[path], raw) {
			d.Put[path] = raw
		}
	}
	for path := range oldEntries {
		if _, ok := newEntries[path]; !ok {
			d.Removed = append(d.Removed, path)
		}
	}
	slices.Sort(d.Removed)
	return d, nil
}

// Apply returns the document that results from applying d to base. It does not
// modify base. It returns an *Error of kind KindBaseMismatch if base has another
// version than d.From, and of kind KindHashMismatch if the result differs from
// the sender's document.
func (d Delta) Apply(base *Catalogue) (*Catalogue, error) {
	if base.Version != d.From {
		return nil, &Error{Op: "apply delta", Kind: KindBaseMismatch, Err: fmt.Errorf("the base is version %d, the delta is from %d", base.Version, d.From)}
	}
	all, err := splitEntries(base)
	if err != nil {
		return nil, err
	}
	for _, path := range d.Removed {
		delete(all, path)
	}
	for path, raw := range d.Put {
		all[path] = raw
	}
	next, err := joinEntries(all)
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

// splitEntries returns the entries of a document by path, without the version.
func splitEntries(c *Catalogue) (map[string]json.RawMessage, error) {
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
			out[entryPath(name, id)] = e
		}
	}
	return out, nil
}

// joinEntries returns the document that consists of the entries; it is the
// inverse of splitEntries.
func joinEntries(all map[string]json.RawMessage) (*Catalogue, error) {
	sections := map[string]any{}
	for path, raw := range all {
		parts := strings.Split(path, "/")
		if len(parts) == 2 {
			sections[parts[1]] = raw
			continue
		}
		if len(parts) != 3 {
			return nil, &Error{Op: "apply delta", Kind: KindInvalid, Problems: []Problem{{Path: path, Text: "not the path of an entry"}}}
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
	return decodeCatalogue("apply delta", raw)
}

func decodeCatalogue(op string, raw []byte) (*Catalogue, error) {
	var c Catalogue
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		return nil, &Error{Op: op, Kind: KindSyntax, Err: err}
	}
	return &c, nil
}
