// Package conns pools connections to targets, opened with the proxy's own
// credentials, and records what the targets report: positions, quorum positions
// and failures.
//
// A connection serves one transaction at a time and is reused only when nothing
// is outstanding on it. It is closed when an answer is outstanding, when an
// error or any other message arrived outside a statement, when a deadline
// passed, or when the group is in a newer term than the connection. A late
// answer therefore never reaches another session.
//
// Established connections can go silent while new ones work. A target counts as
// failed only after a new connection to it failed as well. When a statement gets
// no answer for 250 ms, the status is queried on an idle connection that was
// open before the statement, or else on the listener for the quorum position.
// If that connection stays silent while a new one answers, the network path of
// all connections of that age is taken as lost: idle ones are closed, and
// statements on the others are interrupted.
//
// The acknowledgement of a commit waits for the quorum position of its own
// term. A quorum position of a later term says nothing about the entries of
// earlier terms, so WaitForQuorum then returns KindSuperseded and the caller has
// to ask the new primary whether it holds the entry.
//
// Lock order: the table of pools, one pool, one connection's cancel state. No
// lock is held during network I/O.
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
//	err = pools.WaitForQuorum(ctx, "ledger", c.Position())
package conns
