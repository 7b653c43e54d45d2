package ident

import (
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the successive primaries of a database group. Each promotion uses a
// higher term; 0 means that no primary is known.
type Term uint64

// Position is a position in the log of a database group. The zero Position
// precedes every entry.
type Position struct {
	Term  Term
	Index uint64
}

// Less reports whether p precedes q.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Index < q.Index
}

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the text form "term/index".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(p.Index, 10)
}

// ParsePosition parses the text form "term/index", both decimal. It returns an
// *Error of kind KindSyntax for anything else.
func ParsePosition(s string) (Position, error) {
	t, i, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, positionError(s)
	}
	term, err := strconv.ParseUint(t, 10, 64)
	if err != nil {
		return Position{}, positionError(s)
	}
	index, err := strconv.ParseUint(i, 10, 64)
	if err != nil {
		return Position{}, positionError(s)
	}
	return Position{Term: Term(term), Index: index}, nil
}

func positionError(s string) error {
	return &Error{Op: "parse position", Kind: KindSyntax, Text: fmt.Sprintf("%q is not of the form term/index", s)}
}
