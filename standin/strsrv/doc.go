// Package strsrv implements a stand-in for the platform's key-value service:
// keys with revisions, compare-and-swap, leases, watches and a list of VMs, all
// in memory. Faults can be set while it runs: an outage, a delay, answers lost
// after the write took effect, and stale reads. It counts its calls; a watch
// counts as one call.
//
// # Usage
//
//	s := strsrv.New()
//	g := grpc.NewServer()
//	storepb.RegisterStoreServer(g, s)
//	s.SetFaults(strsrv.Faults{Outage: true})
package strsrv
