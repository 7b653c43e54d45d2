package target

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/standin/sqldb"
)

// handleQuery answers a Query message. Its statements form one transaction
// unless they contain BEGIN or COMMIT.
func (c *session) handleQuery(ctx context.Context, text string) {
	defer c.sendReady()
	list, err := sqldb.Parse(text)
	if err != nil {
		c.sendError(err)
		return
	}
	if len(list) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range list {
		if err := c.runSimple(ctx, st, i == len(list)-1); err != nil {
			c.sendError(err)
			return
		}
		if c.dropAnswer {
			return
		}
	}
}

// runSimple runs one statement of a Query message; last is set for the final one.
func (c *session) runSimple(ctx context.Context, st *sqldb.Statement, last bool) error {
	if c.failed && !endsBlock(st) {
		return errFailedBlock
	}
	desc, err := c.describeTypes(st)
	if err != nil {
		return err
	}
	if len(desc.Params) > 0 {
		return notRunError(codeMissingParam, "a simple query has no parameters")
	}
	res, err := c.execute(ctx, st, nil)
	if err != nil {
		return err
	}
	if last && !c.inBlock {
		// Commit before the command tag is sent, so that a tag confirms the
		// commit.
		if err := c.commit(); err != nil {
			return err
		}
	}
	if st.ReturnsRows {
		c.backend.Send(rowDescription(desc.Columns, nil))
		if err := c.sendRows(desc.Columns, nil, res.rows); err != nil {
			return err
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}
