package target

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/standin/sqldb"
)

// prepared is a prepared statement; st is nil for an empty query.
type prepared struct {
	st   *sqldb.Statement
	desc *sqldb.Description
}

// portal is a prepared statement with bound parameters. After its execution,
// result holds the rows not sent yet.
type portal struct {
	prepared
	args    []any
	formats []int16
	result  *result
}

func (c *session) handleParse(m *pgproto3.Parse) error {
	if m.Name != "" && c.stmts[m.Name] != nil {
		return notRunError("42P05", "the prepared statement exists already")
	}
	list, err := sqldb.Parse(m.Query)
	if err != nil {
		return err
	}
	if len(list) > 1 {
		return notRunError("42601", "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{desc: &sqldb.Description{}}
	if len(list) == 1 {
		if c.failed && !endsBlock(list[0]) {
			return errFailedBlock
		}
		p.st = list[0]
		if p.desc, err = c.describeTypes(p.st); err != nil {
			return err
		}
		p.desc = overrideParamTypes(p.desc, m.ParameterOIDs)
	}
	c.stmts[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

var errFailedBlock = notRunError(codeFailedBlock, "current transaction is aborted, commands ignored until end of transaction block")

func endsBlock(st *sqldb.Statement) bool {
	return st.Class == sqldb.ClassCommit || st.Class == sqldb.ClassRollback
}

// describeTypes returns the parameter and column types of a statement.
func (c *session) describeTypes(st *sqldb.Statement) (*sqldb.Description, error) {
	switch st.Class {
	case sqldb.ClassCall:
		return describeCall(st.Call)
	case sqldb.ClassShow:
		return &sqldb.Description{Columns: []sqldb.Column{{Name: st.Name, OID: textOID}}}, nil
	case sqldb.ClassRead, sqldb.ClassWrite:
		return c.srv.describeTypes(st, c.txn)
	}
	return &sqldb.Description{}, nil
}

// describeTypes describes a read or write with the schema that it will run on.
func (s *Server) describeTypes(st *sqldb.Statement, t *txn) (*sqldb.Description, error) {
	s.mu.Lock()
	inside := t != nil && t.holdsWriteLock
	s.mu.Unlock()
	if inside {
		return s.head.Describe(st)
	}
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	if s.readsBlocked {
		return nil, notRunError(codeRebuilding, "the database is being rebuilt")
	}
	return s.data.Describe(st)
}

// overrideParamTypes replaces inferred parameter types with those that the client
// specified.
func overrideParamTypes(d *sqldb.Description, given []uint32) *sqldb.Description {
	out := *d
	out.Params = append([]uint32(nil), d.Params...)
	for i, oid := range given {
		if oid != 0 && i < len(out.Params) {
			out.Params[i] = oid
		}
	}
	return &out
}

func (c *session) handleBind(m *pgproto3.Bind) error {
	p := c.stmts[m.PreparedStatement]
	if p == nil {
		return notRunError(codeNoStatement, "the prepared statement does not exist")
	}
	if len(m.Parameters) != len(p.desc.Params) {
		return notRunError(codeProtocol, "the number of parameters differs from the statement's")
	}
	if c.failed && (p.st == nil || !endsBlock(p.st)) {
		return errFailedBlock
	}
	out := &portal{prepared: *p, formats: m.ResultFormatCodes}
	for i, raw := range m.Parameters {
		v, err := c.codec.Decode(p.desc.Params[i], formatCode(m.ParameterFormatCodes, i), raw)
		if err != nil {
			return err
		}
		out.args = append(out.args, v)
	}
	c.portals[m.DestinationPortal] = out
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// formatCode returns the format of column or parameter i: an empty list means
// text, and a list of one code applies to all.
func formatCode(codes []int16, i int) int16 {
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

func (c *session) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := c.stmts[m.Name]
		if p == nil {
			return notRunError(codeNoStatement, "the prepared statement does not exist")
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.desc.Params})
		c.rowDescription(p, nil)
		return nil
	}
	p := c.portals[m.Name]
	if p == nil {
		return notRunError(codeNoPortal, "the portal does not exist")
	}
	c.rowDescription(&p.prepared, p.formats)
	return nil
}

func (c *session) rowDescription(p *prepared, formats []int16) {
	if p.st == nil || !p.st.ReturnsRows {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(p.desc.Columns, formats))
}

func rowDescription(cols []sqldb.Column, formats []int16) *pgproto3.RowDescription {
	out := &pgproto3.RowDescription{Fields: make([]pgproto3.FieldDescription, len(cols))}
	for i, col := range cols {
		out.Fields[i] = pgproto3.FieldDescription{
			Name: []byte(col.Name), DataTypeOID: col.OID, DataTypeSize: -1, TypeModifier: -1, Format: formatCode(formats, i),
		}
	}
	return out
}

func (c *session) handleExecute(ctx context.Context, m *pgproto3.Execute) error {
	p := c.portals[m.Portal]
	if p == nil {
		return notRunError(codeNoPortal, "the portal does not exist")
	}
	if p.st == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if p.result == nil {
		res, err := c.execute(ctx, p.st, p.args)
		if err != nil {
			return err
		}
		p.result = res
	}
	limit := len(p.result.rows)
	if m.MaxRows > 0 {
		limit = min(limit, int(m.MaxRows))
	}
	if err := c.sendRows(p.desc.Columns, p.formats, p.result.rows[:limit]); err != nil {
		return err
	}
	p.result.rows = p.result.rows[limit:]
	if m.MaxRows > 0 && len(p.result.rows) > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag)})
	return nil
}

func (c *session) sendRows(cols []sqldb.Column, formats []int16, rows [][]any) error {
	for _, row := range rows {
		out := &pgproto3.DataRow{Values: make([][]byte, len(row))}
		for i, v := range row {
			if i >= len(cols) {
				return notRunError("0A000", "cached plan must not change result type")
			}
			raw, err := c.codec.Encode(cols[i].OID, formatCode(formats, i), v)
			if err != nil {
				return err
			}
			out.Values[i] = raw
		}
		c.backend.Send(out)
	}
	return nil
}

// handleSync ends a pipeline. As in PostgreSQL, statements outside of a block
// are committed here, so that an error of the commit follows the command tag.
func (c *session) handleSync() {
	if !c.inBlock {
		if err := c.commit(); err != nil {
			c.sendError(err)
		}
		clear(c.portals)
	}
	c.sendReady()
}

func (c *session) handleClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.stmts, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}
