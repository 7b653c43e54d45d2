// Package dbctl controls a target over the PostgreSQL protocol: it implements
// elect.Database with the functions that docs/design.md lists as A1 to A4 and
// A9, and logs in with the proxy's own credentials.
//
// A Client has at most one connection, which it opens when a call needs it.
// Calls on one Client run one after another. A call that gets no answer in
// time, or an answer that it can't parse, closes the connection, so that no later
// call receives a late answer; the next call opens a new connection.
//
// # Usage
//
//	c := dbctl.New(dbctl.Config{Target: "ledger-a", Address: "10.0.0.7:5432", User: "chervild", Password: secret})
//	defer c.Close()
//	s, err := c.Status(ctx)
//	if elect.OutcomeOf(err) == elect.OutcomeRefused {
//		// the target answered with an error; errors.As finds a *dbctl.Error
//	}
//
// Floor combines the positions of a group's databases into the floor of a read.
package dbctl
