// Package unauth limits the number of connections whose caller is not known yet.
//
// A server that waits for the first message of each new connection lets strangers use up
// its descriptors and memory. When a connection beyond the limit arrives, the oldest of
// those that have sent no first message is evicted. Well-behaved callers send theirs as
// soon as they are connected, so a flood of silent connections evicts only its own.
// Refusing the newest, or random ones, would refuse well-behaved callers for as long as
// the silent connections last.
//
// A connection is not evicted before it is MinAge old, since a server that has not run
// for a moment accepts thousands at once, of callers that had no time to send anything.
// Nor is one evicted whose input the server has still to read: there, the server is slow
// and not the caller. For both, the table may grow beyond Limit. When the server runs out
// of descriptors, Relieve makes room regardless of age: for many at a time, since callers wait
// for their turn to be accepted behind the connections of a flood.
//
// Connections whose first message was read do not count, even if the answer takes a while.
//
// # Usage
//
//	t := unauth.Table{Limit: 1000, MinAge: time.Second}
//	e := t.Add(conn, time.Now())
//	message, err := readFirst(conn)
//	if t.Remove(e) {
//		// conn was not evicted
//	}
package unauth
