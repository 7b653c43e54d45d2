// Package strsrv is a stand-in for the platform's key-value service: keys with
// revisions, compare-and-swap, leases, watches and a list of VMs, all in
// memory. Its faults can be switched while it runs: outage, delay, answers that
// are lost after the write took effect, and stale reads. It counts its calls,
// a waiting watch as one.
//
// # Usage
//
//	s := strsrv.New()
//	g := grpc.NewServer()
//	storepb.RegisterStoreServer(g, s)
//	s.SetFaults(strsrv.Faults{Outage: true})
package strsrv
