// Package peer is the transport between VMs: a cache of gRPC clients, the
// server that composes the handlers of the daemon's parts, mutual TLS of
// version 1.3 with certificates that can be read again, and a count of the
// bytes to and from each region.
//
// The methods of the Peer service can be restricted to certificates with a
// given organizational unit, so that an operator's certificate doesn't pass
// for a VM's. Plain text is possible only on loopback addresses, and only when
// the settings allow it.
//
// # Usage
//
//	keys, err := peer.LoadKeys(peer.Files{Cert: c, Key: k, CA: ca})
//	...
//	srv, err := peer.NewServer(peer.ServerConfig{Keys: keys}, peer.Handlers{Membership: s, Catalogue: s})
//	go srv.Serve(listener)
//
//	cache := peer.NewCache(peer.CacheConfig{Keys: keys, Scope: scope})
//	client, err := cache.Client("10.0.0.7:7400")
//	...
//	err = keys.Reload() // on SIGHUP; new connections use the new files
package peer
