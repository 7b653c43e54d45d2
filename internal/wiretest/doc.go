// Package wiretest provides a scripted target for tests of the connections to
// targets and of the wire protocol. It speaks the protocol of a PostgreSQL
// server, keeps the session variables and the positions that the proxy relies
// on, and answers statements by a function of the test.
//
// # Usage
//
//	t := wiretest.New("a")
//	t.Handle = func(c *wiretest.Call) wiretest.Reply {
//		return wiretest.RowsReply("1")
//	}
//	go t.Serve(listener)
package wiretest
