// Package fresh decides from which moment a VM's catalogue is known to be
// current, and whether keyed routes may be served.
//
// A proof says that at some moment the store's version was not above a given
// one. Proofs and ages of contact travel between VMs as durations; no clocks
// are compared. A receiver must not take a moment for later than it was when
// it relies on it, so that proofs and contact with zones are taken only from
// answers and count from the sending of the request. Contact with the store
// speaks against serving; it is taken from requests too and counts back from
// the arrival.
//
// A VM serves keyed routes while its proof is younger than MaxStale, or while
// the store is down for all: each zone was heard from within MaxStale, none of
// them was in contact with the store for MaxStale/2 before it was heard, and no
// higher version was heard of. Otherwise the VM is cut off. That the store was
// down is certified as of the moment when the zone heard from least was heard,
// and like a proof the certificate lasts for MaxStale.
//
// The half is judged sound for callers that read the store and exchange reports
// every MaxStale/6 with a jitter of 20%: a VM of a zone with contact then knows
// of it at an age of at most MaxStale·0.4, and an outage becomes known to all
// before the last proof is too old.
//
// Package fresh is pure: it does no I/O and takes the time from its caller.
//
// # Usage
//
//	s := fresh.New(fresh.Config{Zone: "z1"})
//	s.Apply(7, zones)
//	s.Proof(7, sent, got)                // the store answered
//	s.Answer(report, "z2", sent, got)    // a peer answered
//	if !s.Decide(time.Now()).Serve {
//		// refuse keyed routes with 57P03
//	}
//
// A State is not safe for concurrent use.
package fresh
