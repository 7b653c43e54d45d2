package sqldb

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// Column is a column of a result.
type Column struct {
	Name string
	OID  uint32
}

// Description has the types of a statement.
type Description struct {
	Params  []uint32
	Columns []Column
}

// Describe returns the types of a statement's parameters and results without
// running it.
func (d *DB) Describe(s *Statement) (*Description, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if got := d.described[s]; got != nil {
		return got, nil
	}
	if err := d.load(); err != nil {
		return nil, err
	}
	cols := columns{}
	for _, t := range tables(s.node) {
		for _, c := range d.schema[t] {
			cols[c.Name] = c.OID
		}
	}
	out := &Description{Params: paramTypes(s.node, cols, d.schema)}
	if s.ReturnsRows && (s.Class == ClassRead || s.Class == ClassWrite) {
		if err := d.describeRows(s, cols, out); err != nil {
			return nil, err
		}
	}
	if d.described == nil || len(d.described) > 4096 {
		d.described = map[*Statement]*Description{}
	}
	d.described[s] = out
	return out, nil
}

// describeRows asks SQLite for the columns of a query that returns no rows,
// and takes names and types of expressions from the parse tree.
func (d *DB) describeRows(s *Statement, cols columns, out *Description) error {
	probe := "SELECT * FROM (" + s.SQL + ") LIMIT 0"
	items := s.node.GetSelectStmt().GetTargetList()
	if s.Class == ClassWrite {
		probe = returningProbe(s)
		items = returningList(s.node)
	}
	args := make([]any, len(out.Params))
	rows, err := d.conn.QueryContext(context.Background(), probe, args...)
	if err != nil {
		return dataError("describe", err)
	}
	defer func() { _ = rows.Close() }()
	types, err := rows.ColumnTypes()
	if err != nil {
		return dataError("describe", err)
	}
	exact := len(items) == len(types)
	for i, t := range types {
		c := Column{Name: t.Name()}
		if decl := t.DatabaseTypeName(); decl != "" {
			c.OID = oidOf(decl)
		}
		if exact {
			r := items[i].GetResTarget()
			if !isStar(r.GetVal()) {
				c.Name = columnName(r)
			}
			if c.OID == 0 {
				c.OID = resultType(r.GetVal(), cols, out.Params)
			}
		}
		if c.OID == 0 {
			c.OID = pgtype.TextOID
		}
		out.Columns = append(out.Columns, c)
	}
	return nil
}

// returningProbe selects what a RETURNING clause names from its table.
func returningProbe(s *Statement) string {
	low := strings.ToLower(s.SQL)
	i := strings.LastIndex(low, "returning")
	table := tables(s.node)[0]
	return "SELECT " + s.SQL[i+len("returning"):] + ` FROM "` + table + `" LIMIT 0`
}

func returningList(n *pgquery.Node) []*pgquery.Node {
	switch {
	case n.GetInsertStmt() != nil:
		return n.GetInsertStmt().ReturningList
	case n.GetUpdateStmt() != nil:
		return n.GetUpdateStmt().ReturningList
	}
	return n.GetDeleteStmt().GetReturningList()
}

func isStar(n *pgquery.Node) bool {
	f := n.GetColumnRef().GetFields()
	return len(f) > 0 && f[len(f)-1].GetAStar() != nil
}

// columnName returns the name that PostgreSQL gives a result column.
func columnName(r *pgquery.ResTarget) string {
	if r.Name != "" {
		return r.Name
	}
	v := r.Val
	cast := ""
	for v.GetTypeCast() != nil {
		names := v.GetTypeCast().GetTypeName().GetNames()
		cast = names[len(names)-1].GetString_().GetSval()
		v = v.GetTypeCast().Arg
	}
	switch {
	case v.GetColumnRef() != nil:
		f := v.GetColumnRef().Fields
		return f[len(f)-1].GetString_().GetSval()
	case v.GetFuncCall() != nil:
		return funcName(v.GetFuncCall())
	case v.GetCoalesceExpr() != nil:
		return "coalesce"
	case v.GetCaseExpr() != nil:
		return "case"
	case v.GetSubLink() != nil && v.GetSubLink().SubLinkType == pgquery.SubLinkType_EXISTS_SUBLINK:
		return "exists"
	case cast != "":
		return cast
	}
	return "?column?"
}
