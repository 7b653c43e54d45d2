// Package admin implements the gRPC service for operators and the HTTP listener
// with health checks, metrics and pprof.
//
// Edits are compare-and-swap operations on the catalogue, through the Catalogue
// interface. Status queries all VMs concurrently, each for its own status only. A
// VM that doesn't answer within one second is reported as not reachable; dead VMs
// stay in the list.
//
// # Usage
//
//	srv := admin.New(admin.Config{Catalogue: distributor, Clients: cache, StartDrain: drain})
//	handlers := peer.Handlers{Admin: srv}
//	...
//	h := admin.Handler(admin.HandlerConfig{Ready: ready, Metrics: promhttp.Handler()})
//	err := admin.Serve(ctx, listener, h, log)
package admin
