package target

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/standin/sqldb"
)

// simple answers a Query message. Its statements form one transaction unless
// they hold BEGIN or COMMIT themselves.
func (c *session) simple(ctx context.Context, text string) {
	defer c.ready()
	list, err := sqldb.Parse(text)
	if err != nil {
		c.fail(err)
		return
	}
	if len(list) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, st := range list {
		if err := c.simpleOne(ctx, st, i == len(list)-1); err != nil {
			c.fail(err)
			return
		}
		if c.dropped {
			return
		}
	}
}

func (c *session) simpleOne(ctx context.Context, st *sqldb.Statement, last bool) error {
	if c.failed && !endsBlock(st) {
		return errFailedBlock
	}
	desc, err := c.types(st)
	if err != nil {
		return err
	}
	if len(desc.Params) > 0 {
		return refuse(codeParamMissing, "a simple query has no parameters")
	}
	res, err := c.execute(ctx, st, nil)
	if err != nil {
		return err
	}
	if last && !c.block {
		// The commit comes before the tag, so that the tag means done.
		if err := c.commit(); err != nil {
			return err
		}
	}
	if st.Rows {
		c.be.Send(rowDescription(desc.Columns, nil))
		if err := c.sendRows(desc.Columns, nil, res.rows); err != nil {
			return err
		}
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}
