package dbctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/elect"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
)

// statusStatement is the name of the prepared status statement. Preparing it
// avoids the description of 13 columns in each answer.
const statusStatement = "chervil_status"

// Status returns the status that the database reports (A1).
func (c *Client) Status(ctx context.Context) (topo.Status, error) {
	rows, err := c.call(ctx, "status", c.sendStatus)
	return c.parseStatusReply("status", rows, err)
}

// sendStatus runs the prepared status statement. It prepares it on the first call
// of a connection, in the same round trip.
func (c *Client) sendStatus(f *pgproto3.Frontend) answer {
	a := answer{columns: c.columns, prepared: true}
	if c.columns == nil {
		f.Send(&pgproto3.Parse{Name: statusStatement, Query: "SELECT * FROM chervil_status()"})
		f.Send(&pgproto3.Describe{ObjectType: 'S', Name: statusStatement})
		a.onColumns = func(columns []string) { c.columns = columns }
	}
	f.Send(&pgproto3.Bind{PreparedStatement: statusStatement})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Sync{})
	return a
}

// RaiseTerm makes the database promise a term (A2).
func (c *Client) RaiseTerm(ctx context.Context, term ident.Term) (topo.Status, error) {
	rows, err := c.query(ctx, "raise term", fmt.Sprintf("SELECT * FROM chervil_raise_term(%d)", term))
	return c.parseStatusReply("raise term", rows, err)
}

// parseStatusReply returns the status in the rows of an answer, and checks that it
// comes from the client's target.
func (c *Client) parseStatusReply(op string, rows []map[string]string, err error) (topo.Status, error) {
	if err != nil {
		return topo.Status{}, err
	}
	if len(rows) != 1 {
		return topo.Status{}, c.newError(op, KindProtocol, fmt.Errorf("%d rows", len(rows)))
	}
	s, err := parseStatus(rows[0])
	if err != nil {
		return topo.Status{}, c.newError(op, KindProtocol, err)
	}
	if s.Target != c.cfg.Target {
		return topo.Status{}, c.newError(op, KindProtocol, fmt.Errorf("the address is that of target %q", s.Target))
	}
	return s, nil
}

// Promote makes the database the primary of the term it has promised (A3).
func (c *Client) Promote(ctx context.Context, term ident.Term, members []elect.Member) error {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = string(m.ID) + "=" + m.Address
	}
	_, err := c.query(ctx, "promote", fmt.Sprintf("SELECT chervil_promote(%d, %s)", term, quote(strings.Join(list, ","))))
	return err
}

// Follow makes the database a replica of primary (A4).
func (c *Client) Follow(ctx context.Context, term ident.Term, primary ident.Target, address string) error {
	_, err := c.query(ctx, "follow", fmt.Sprintf("SELECT chervil_follow(%d, %s, %s)", term, quote(string(primary)), quote(address)))
	return err
}

// Has reports whether the log holds the entry at p (A9).
func (c *Client) Has(ctx context.Context, p ident.Position) (bool, error) {
	rows, err := c.query(ctx, "has", "SELECT chervil_has("+quote(p.String())+")")
	if err != nil {
		return false, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return false, c.newError("has", KindProtocol, fmt.Errorf("%d rows", len(rows)))
	}
	for _, v := range rows[0] {
		return parseBool(v), nil
	}
	return false, nil
}
