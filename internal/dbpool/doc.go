// Package dbpool keeps connections to databases that speak a line protocol.
//
// A connection serves one workspace for its whole life, since the database is
// told the workspace when the connection starts. Connections are scarce, so a
// pool holds at most its part of those that a database accepts: when it is at
// that bound, an idle connection of another workspace is closed for a new one,
// and else a request waits for a connection to come back. A connection with an
// answer outstanding is never used again.
//
// Lock order: Pools, one pool. No lock is held across I/O.
//
// # Usage
//
//	p := &dbpool.Pools{Dialer: d, Limit: limit, Roster: &table}
//	c, err := p.Get(deadline, &member, ws, sess)
//	if err != nil {
//		return err // nothing was sent
//	}
//	answers, err := c.Do(deadline, st)
//	c.Release(err == nil)
package dbpool
