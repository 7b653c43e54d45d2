package dbctl

import (
	"fmt"
	"strconv"
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// parser parses columns of a row and keeps the first error.
type parser struct {
	row map[string]string
	err error
}

func (p *parser) text(column string) string {
	v, ok := p.row[column]
	if !ok && p.err == nil {
		p.err = fmt.Errorf("column %s is missing", column)
	}
	return v
}

func (p *parser) number(column string) uint64 {
	v := p.text(column)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("column %s: %w", column, err)
	}
	return n
}

func (p *parser) position(prefix string) ident.Position {
	return ident.Position{Term: ident.Term(p.number(prefix + "_term")), Index: p.number(prefix + "_index")}
}

func (p *parser) age(column string) time.Duration {
	ms, err := strconv.ParseInt(p.text(column), 10, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("column %s: %w", column, err)
	}
	if ms < 0 {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
}

func parseBool(v string) bool { return v == "t" || v == "true" }

// parseStatus parses the row of chervil_status. A primary that has promised a term
// above that of its last entry no longer commits. It is reported as a replica, so
// that it is not taken for the primary of the promised term.
func parseStatus(row map[string]string) (topo.Status, error) {
	p := parser{row: row}
	s := topo.Status{
		Target:      ident.Target(p.text("target")),
		Term:        ident.Term(p.number("term")),
		Role:        topo.Role(p.text("role")),
		Log:         p.position("log"),
		MatchTerm:   ident.Term(p.number("match_term")),
		Quorum:      p.position("quorum"),
		Primary:     ident.Target(p.text("primary")),
		ContactAge:  p.age("contact_ms"),
		Slots:       uint32(p.number("slots")),
		Connections: uint32(p.number("connections")),
		Leaving:     parseBool(p.text("leaving")),
	}
	switch s.Role {
	case topo.RolePrimary:
		if s.Log.Term != s.Term {
			s.Role = topo.RoleReplica
		}
	case topo.RoleReplica, topo.RoleRebuild:
	default:
		if p.err == nil {
			p.err = fmt.Errorf("role %q is unknown", s.Role)
		}
	}
	return s, p.err
}
