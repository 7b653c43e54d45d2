// Package admin has the operators' gRPC service and the HTTP listener with
// health checks, metrics and pprof.
//
// Edits are compare-and-swaps by way of the Catalogue interface. Status asks
// all VMs at once, each for itself only; a VM that doesn't answer within a
// second is shown as not reachable, and dead ones stay in the list.
//
// # Usage
//
//	srv := admin.New(admin.Config{Catalogue: spread, Clients: cache, Drain: drain})
//	handlers := peer.Handlers{Admin: srv}
//	...
//	h := admin.Handler(admin.HTTP{Ready: ready, Metrics: promhttp.Handler()})
//	err := admin.Serve(ctx, listener, h, log)
package admin
