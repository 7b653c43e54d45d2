package load

import (
	"context"

	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/target"
)

// Elect makes the first member the primary of the next term and lets the
// others follow. It is for runs straight at targets, where no daemon watches
// the group.
func (a Access) Elect(ctx context.Context, members []repl.Member) error {
	term := int64(1)
	for _, m := range members {
		var promised int64
		if err := a.ask(ctx, m.Address, &promised, "SELECT term FROM chervil_status()"); err != nil {
			return err
		}
		term = max(term, promised+1)
	}
	for _, m := range members {
		var promised int64
		if err := a.ask(ctx, m.Address, &promised, "SELECT term FROM chervil_raise_term($1)", term); err != nil {
			return err
		}
	}
	first := members[0]
	var position string
	err := a.ask(ctx, first.Address, &position, "SELECT chervil_promote($1, $2)", term, target.FormatMembers(members))
	if err != nil {
		return err
	}
	for _, m := range members[1:] {
		var followed bool
		err := a.ask(ctx, m.Address, &followed, "SELECT chervil_follow($1, $2, $3)", term, string(first.ID), first.Address)
		if err != nil {
			return err
		}
	}
	return nil
}

// ask runs a query of one value on a connection of its own.
func (a Access) ask(ctx context.Context, address string, into any, text string, args ...any) error {
	conn, err := a.open(ctx, address)
	if err != nil {
		return targetError("ask "+address, err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if err := conn.QueryRow(ctx, text, args...).Scan(into); err != nil {
		return targetError("ask "+address, err)
	}
	return nil
}
