package target

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/standin/sqldb"
)

// prepared is a prepared statement; st is nil for an empty text.
type prepared struct {
	st   *sqldb.Statement
	desc *sqldb.Description
}

// portal is a bound statement. Once executed it holds the rows that are still
// to be sent.
type portal struct {
	prepared
	args    []any
	formats []int16
	res     *result
}

func (c *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && c.stmts[m.Name] != nil {
		return refuse("42P05", "the prepared statement exists already")
	}
	list, err := sqldb.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return refuse("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{desc: &sqldb.Description{}}
	if len(list) == 1 {
		if c.failed && !endsBlock(list[0]) {
			return errFailedBlock
		}
		p.st = list[0]
		if p.desc, err = c.types(p.st); err != nil {
			return err
		}
		p.desc = withClientTypes(p.desc, m.ParameterOIDs)
	}
	c.stmts[m.Name] = p
	c.be.Send(&pgproto3.ParseComplete{})
	return nil
}

var errFailedBlock = refuse(codeFailedBlock, "current transaction is aborted, commands ignored until end of transaction block")

func endsBlock(st *sqldb.Statement) bool {
	return st.Class == sqldb.ClassCommit || st.Class == sqldb.ClassRollback
}

// types returns the types of a statement.
func (c *session) types(st *sqldb.Statement) (*sqldb.Description, error) {
	switch st.Class {
	case sqldb.ClassCall:
		return describeCall(st.Call)
	case sqldb.ClassShow:
		return &sqldb.Description{Columns: []sqldb.Column{{Name: st.Name, OID: textOID}}}, nil
	case sqldb.ClassRead, sqldb.ClassWrite:
		return c.srv.describe(st, c.txn)
	}
	return &sqldb.Description{}, nil
}

// describe takes the schema that the statement will see.
func (s *Server) describe(st *sqldb.Statement, t *txn) (*sqldb.Description, error) {
	s.mu.Lock()
	inside := t != nil && t.writing
	s.mu.Unlock()
	if inside {
		return s.head.Describe(st)
	}
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if s.hidden {
		return nil, refuse(codeRebuild, "the database is being rebuilt")
	}
	return s.data.Describe(st)
}

// withClientTypes replaces inferred parameter types by those that the client
// gave.
func withClientTypes(d *sqldb.Description, given []uint32) *sqldb.Description {
	out := *d
	out.Params = append([]uint32(nil), d.Params...)
	for i, oid := range given {
		if oid != 0 && i < len(out.Params) {
			out.Params[i] = oid
		}
	}
	return &out
}

func (c *session) bind(m *pgproto3.Bind) error {
	p := c.stmts[m.PreparedStatement]
	if p == nil {
		return refuse(codeNoStatement, "the prepared statement does not exist")
	}
	if len(m.Parameters) != len(p.desc.Params) {
		return refuse(codeProtocol, "the number of parameters differs from the statement's")
	}
	if c.failed && (p.st == nil || !endsBlock(p.st)) {
		return errFailedBlock
	}
	out := &portal{prepared: *p, formats: m.ResultFormatCodes}
	for i, raw := range m.Parameters {
		v, err := c.codec.Decode(p.desc.Params[i], formatOf(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		out.args = append(out.args, v)
	}
	c.portals[m.DestinationPortal] = out
	c.be.Send(&pgproto3.BindComplete{})
	return nil
}

// formatOf returns the format of column or parameter i: none given means text,
// one stands for all.
func formatOf(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return 0
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return 0
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := c.stmts[m.Name]
		if p == nil {
			return refuse(codeNoStatement, "the prepared statement does not exist")
		}
		c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.desc.Params})
		c.rowDescription(p, nil)
		return nil
	}
	p := c.portals[m.Name]
	if p == nil {
		return refuse(codeNoPortal, "the portal does not exist")
	}
	c.rowDescription(&p.prepared, p.formats)
	return nil
}

func (c *session) rowDescription(p *prepared, formats []int16) {
	if p.st == nil || !p.st.Rows {
		c.be.Send(&pgproto3.NoData{})
		return
	}
	c.be.Send(rowDescription(p.desc.Columns, formats))
}

func rowDescription(cols []sqldb.Column, formats []int16) *pgproto3.RowDescription {
	out := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(cols))}
	for i, col := range cols {
		out.Fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.Name), DataTypeOID: col.OID, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	return out
}

func (c *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return refuse(codeNoPortal, "the portal does not exist")
	}
	if p.st == nil {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.res == nil {
		res, err := c.execute(ctx, p.st, p.args)
		if err != nil {
			return err
		}
		p.res = res
	}
	limit := len(p.res.rows)
	if m.MaxRows > 0 {
		limit = min(limit, int(m.MaxRows))
	}
	if err := c.sendRows(p.desc.Columns, p.formats, p.res.rows[:limit]); err != nil {
		return err
	}
	p.res.rows = p.res.rows[limit:]
	if m.MaxRows > 0 && len(p.res.rows) > 0 {
		c.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.res.tag)})
	return nil
}

func (c *session) sendRows(cols []sqldb.Column, formats []int16, rows [][]any) error {
	for _, row := range rows {
		out := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if i >= len(cols) {
				return refuse("0A000", "cached plan must not change result type")
			}
			raw, err := c.codec.Encode(cols[i].OID, formatOf(formats, i), v)
			if err != nil {
				return err
			}
			out.Values[i] = raw
		}
		c.be.Send(out)
	}
	return nil
}

// sync ends a pipeline: what ran outside of a block is committed here, as in
// PostgreSQL, and an error of the commit follows the statement's tag.
func (c *session) sync() {
	if !c.block {
		if err := c.commit(); err != nil {
			c.fail(err)
		}
		clear(c.portals)
	}
	c.ready()
}

func (c *session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.stmts, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.be.Send(&pgproto3.CloseComplete{})
}
