// Package peer is the gRPC transport between VMs: a cache of client connections, a
// server that passes calls to the handlers of other packages, mutual TLS 1.3 with
// certificates that can be reloaded, and counters of the bytes sent to and received
// from each region.
//
// The methods of the Peer service can be restricted to certificates with a given
// organizational unit, so that an operator's certificate is not accepted as a VM's.
// Plaintext needs a setting: AllowLoopbackPlaintext allows it on loopback addresses,
// AllowPlaintext on every address.
//
// # Usage
//
//	certs, err := peer.LoadCertificates(peer.Files{Cert: c, Key: k, CA: ca})
//	...
//	srv := peer.NewServer(peer.ServerConfig{Certificates: certs}, peer.Handlers{Membership: s, Catalogue: s})
//	go srv.Serve(listener)
//
//	cache := peer.NewCache(peer.CacheConfig{Certificates: certs, Scope: scope})
//	client, err := cache.Client("10.0.0.7:7400")
//	...
//	err = certs.Reload() // on SIGHUP; new connections use the new files
package peer
