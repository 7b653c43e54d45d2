// Package relay lends connections to databases between VMs.
//
// A connection serves one workspace, and a database accepts a bounded number of
// connections. When the part of one VM is small against the number of
// workspaces, most statements would need a new connection, whose start takes a
// slot at the database. A few VMs near a database then hold its connections, and
// the others run their statements there.
//
// The borrower decides what is run; the lender keeps the connection's state and
// closes it when the borrower goes while a statement runs or a transaction is
// open, so that the database rolls the transaction back. Statements about a
// database itself are not relayed: one that is carried out late could undo a
// later decision.
//
// # Usage
//
//	server := &relay.Server{Pools: pools}      // a part of peer.Handlers
//	pools.Lender = relay.NewClient(relay.Config{Lenders: lenders, Peers: cache})
package relay
