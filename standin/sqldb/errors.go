package sqldb

import (
	"errors"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pganalyze/pg_query_go/v6/parser"
)

// Kind classifies an Error.
type Kind uint8

// Kinds of errors of this package.
const (
	// KindSyntax means that the statement could not be parsed.
	KindSyntax Kind = iota + 1
	// KindUnsupported means SQL that the stand-in does not offer.
	KindUnsupported
	// KindData means that the database refused the statement.
	KindRejected
	// KindValue means a parameter that could not be read.
	KindInvalidValue
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind Kind
	// Code is the SQLSTATE.
	Code string
	Text string
}

// Error returns the operation and the text.
func (e *Error) Error() string { return "sqldb: " + e.Op + ": " + e.Text }

func unsupported(text string) error {
	return &Error{Op: "parse", Kind: KindUnsupported, Code: "0A000", Text: text}
}

func syntaxError(err error) error {
	var p *parser.Error
	text := err.Error()
	if errors.As(err, &p) {
		text = p.Message
	}
	return &Error{Op: "parse", Kind: KindSyntax, Code: "42601", Text: text}
}

// codes maps parts of SQLite's messages to SQLSTATEs.
var codes = []struct{ part, code string }{
	{"UNIQUE constraint", "23505"},
	{"PRIMARY KEY constraint", "23505"},
	{"NOT NULL constraint", "23502"},
	{"CHECK constraint", "23514"},
	{"FOREIGN KEY constraint", "23503"},
	{"no such table", "42P01"},
	{"already exists", "42P07"},
	{"no such column", "42703"},
	{"has no column", "42703"},
	{"no such function", "42883"},
	{"datatype mismatch", "42804"},
	{"syntax error", "42601"},
}

func dataError(op string, err error) error {
	e := &Error{Op: op, Kind: KindRejected, Code: "XX000", Text: err.Error()}
	for _, c := range codes {
		if strings.Contains(e.Text, c.part) {
			e.Code = c.code
			break
		}
	}
	return e
}

// scan is the scanner of PostgreSQL.
func scan(text string) ([]*pgquery.ScanToken, error) {
	r, err := pgquery.Scan(text)
	if err != nil {
		return nil, syntaxError(err)
	}
	return r.Tokens, nil
}
