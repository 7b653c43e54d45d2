// Package dbpool pools connections to databases that speak a line protocol.
//
// A connection serves one workspace for its whole life, because the database
// learns the workspace at the start of the connection. A database accepts a
// limited number of connections, of which each VM may open its share. When a
// pool has reached that limit, it closes an idle connection of another workspace
// to open a new one; if none is idle, the request waits until a connection is
// released. A connection with an answer outstanding is never reused.
//
// Other packages decide what a statement waits for: Lender and Reader use connections
// of other VMs, Turns orders the requests for local ones, Guard limits what is sent to a
// database, and Commits holds commits back that might be lost. The pools also learn the
// speed of databases; see package speed.
//
// Lock order: Pools before a single pool. No lock is held during network I/O,
// except to close a connection.
//
// # Usage
//
//	p := &dbpool.Pools{Dialer: d, ConnLimit: limit, Roster: &table}
//	c, err := p.Get(deadline, &member, ws, sess)
//	if err != nil {
//		return err // nothing was sent
//	}
//	answers, err := c.Do(deadline, st)
//	c.Release(err == nil)
package dbpool
