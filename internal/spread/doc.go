// Package spread brings the catalogue to every VM. It runs the membership
// (pkg/member) and the freshness rules (pkg/fresh) over the peer transport,
// reads and watches the store, pulls and pushes versions between VMs, and tells
// the data plane whether a key may be used.
//
// In each region the relay watches the store. In each zone two readers check
// the store's version every sixth of max_stale; a second one is there because
// the membership needs longer than max_stale to notice that the first has
// crashed. The others learn the age of the version from the readers of their
// zone, and while the store doesn't answer the readers of all zones ask each
// other.
//
// A check of the version is cheap although the catalogue may have a megabyte:
// before an edit replaces version n, a copy of it is stored under
// catalogue/history/n. While that key is absent the store's version is not
// above n.
//
// Lock order: apply, state. Neither is held during I/O; callbacks of OnChange
// run under apply, so that they see versions in order.
//
// # Usage
//
//	s := spread.New(spread.Config{Self: self, Seeds: seeds, Store: st, Peers: cache, Topo: &table})
//	s.OnChange(func(c *catal.Catalogue) { table.Configure(c) })
//	srv := peer.NewServer(cfg, peer.Handlers{Membership: s, Catalogue: s})
//	go s.Run(ctx)
//
//	g, err := s.Authenticate("taller", "orders", password)
//	...
//	err = s.Check(g) // before each statement
package spread
