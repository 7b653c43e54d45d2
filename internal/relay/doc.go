// Package relay lends connections to databases between VMs.
//
// A connection serves one workspace, and a database accepts a limited number of
// connections. When each VM's share of them is small compared with the number of
// workspaces, most statements would need a new connection, whose start takes a
// slot at the database. In that case a few VMs near a database, the lenders, hold
// its connections, and the other VMs run their statements through them.
//
// The borrower decides which statements run. The lender keeps the state of the
// connection and closes it when the borrower's stream ends before a used
// connection is returned, so that the database rolls back an open transaction.
//
// Where routes differ in priority, a request waits for its turn at the lender before it
// gets a connection; package sched decides the order. A read outside a transaction can
// be sent to the lender as a whole, which takes one round trip.
//
// Control statements, which concern the database itself, are not relayed: one
// that is executed late could undo a later decision.
//
// # Usage
//
//	server := &relay.Server{Pools: pools, ClassOf: classOf, Lends: lends, Log: log}
//	pools.Turns = server // server is also the Relay field of peer.Handlers
//	pools.Lender = relay.NewClient(relay.Config{Lenders: lenders, Peers: cache, Log: log})
package relay
