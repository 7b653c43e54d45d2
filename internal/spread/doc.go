// Package spread distributes the catalogue to every VM. It runs the membership
// protocol (pkg/member) and the freshness rules (pkg/fresh) over the peer
// transport, reads and watches the store, pulls and pushes versions between VMs,
// and decides for the data plane whether a key may be used.
//
// In each region one VM, the relay, watches the store. In each zone two readers
// check the store's version every sixth of max_stale. There are two because the
// membership protocol takes longer than max_stale to detect that one has
// crashed. The other VMs of a zone request the age of the proof of freshness
// from its readers. While the store does not answer, the readers of all zones
// request it from each other.
//
// A check of the version is cheap although the catalogue may be a megabyte in
// size: before an edit replaces version n, a copy of version n is stored under
// catalogue/history/n. As long as that key is absent, the store's version is
// not above n.
//
// Lock order: applyMu, stateMu. Neither is held during I/O. Callbacks of
// OnChange run under applyMu, so that they receive the versions in order.
//
// # Usage
//
//	s := spread.New(spread.Config{Self: self, Seeds: seeds, Store: st, Peers: cache, Topo: &table})
//	s.OnChange(func(c *catal.Catalogue) { table.Configure(c) })
//	srv := peer.NewServer(cfg, peer.Handlers{Membership: s, Catalogue: s})
//	go s.Run(ctx)
//
//	a, err := s.Authenticate("taller", "orders", password)
//	...
//	err = s.Check(a) // before each statement
package spread
