// Package conns keeps the connections to targets, with the proxy's own
// credentials, and what they report: positions, quorum positions, failures.
//
// A connection serves one transaction at a time and is reused only when nothing
// is outstanding on it. It is closed when an answer is outstanding, when an
// error or anything else arrived outside a statement, when a deadline passed,
// or when the group is in a newer term than the connection. So a late answer
// reaches nobody.
//
// Connections can go silent while new ones work. A target is judged failed only
// after a new connection to it failed as well. When a statement has no answer
// for a while, an idle connection that was open before, or else the listener for
// the quorum position, is asked for the status. If it stays silent and a new
// connection answers, the connections of that time are lost: idle ones are
// closed and the statements on the others interrupted.
//
// The acknowledgement of a commit waits for the quorum position of its own
// term. A quorum position of a later term says nothing about the entries of
// earlier ones, so Wait then returns KindSuperseded and the caller has to ask
// the new primary whether it holds the entry.
//
// Lock order: the table of pools, one pool, one connection's cancel state. No
// lock is held across I/O.
//
// # Usage
//
//	pools := conns.New(conns.Config{User: "proxy", Password: secret, Groups: table})
//	defer pools.Close()
//	c, err := pools.Get(ctx, "ledger", "ledger-a", "")
//	...
//	c.Start(floor, maxAge)
//	c.Send(&pgproto3.Query{String: sql})
//	err = c.Flush()
//	... // c.Receive until ReadyForQuery
//	pools.Put(c)
//	err = pools.Wait(ctx, "ledger", c.Position())
package conns
