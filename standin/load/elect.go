package load

import (
	"context"

	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/target"
)

// Elect promotes the first member to primary of the next term and makes the
// others follow it. It is meant for runs directly against targets, where no
// daemon watches the group.
func (a Access) Elect(ctx context.Context, members []repl.Member) error {
	term := int64(1)
	for _, m := range members {
		var promised int64
		if err := a.queryValue(ctx, m.Address, &promised, "SELECT term FROM chervil_status()"); err != nil {
			return err
		}
		term = max(term, promised+1)
	}
	for _, m := range members {
		var promised int64
		if err := a.queryValue(ctx, m.Address, &promised, "SELECT term FROM chervil_raise_term($1)", term); err != nil {
			return err
		}
	}
	first := members[0]
	var position string
	err := a.queryValue(ctx, first.Address, &position, "SELECT chervil_promote($1, $2)", term, target.FormatMembers(members))
	if err != nil {
		return err
	}
	for _, m := range members[1:] {
		var followed bool
		err := a.queryValue(ctx, m.Address, &followed, "SELECT chervil_follow($1, $2, $3)", term, string(first.ID), first.Address)
		if err != nil {
			return err
		}
	}
	return nil
}

// queryValue runs a query that returns one value, on a new connection.
func (a Access) queryValue(ctx context.Context, address string, into any, text string, args ...any) error {
	conn, err := a.connect(ctx, address)
	if err != nil {
		return targetError("query "+address, err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if err := conn.QueryRow(ctx, text, args...).Scan(into); err != nil {
		return targetError("query "+address, err)
	}
	return nil
}
