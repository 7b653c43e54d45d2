// Package fresh decides from which moment a VM's catalogue is known to be
// current, and whether keyed routes may be served.
//
// A proof states that at some time the store's version was not above a given
// one. VMs exchange proofs and times of contact as ages, so no clocks are
// compared. A receiver must not date evidence for serving later than it was:
// proofs and contact with zones are therefore taken from answers only, and
// their ages count back from the sending of the request. Contact with the store
// is evidence against serving; it is taken from requests too, and its age counts
// back from the arrival.
//
// A VM serves keyed routes while its proof is not older than MaxStaleness, or
// while the store is down for all zones: each zone was heard from within
// MaxStaleness, none of them was in contact with the store in the MaxStaleness/2
// before it was last heard from, and no higher version is known. Otherwise the VM
// is cut off. An outage of the store is certified as of the time of the least
// recent contact with any zone, and like a proof the certificate is valid for
// MaxStaleness.
//
// Half of MaxStaleness suffices for callers that read the store and exchange
// reports every MaxStaleness/6 with a jitter of 20%: a VM of a zone with contact
// then knows of it at an age of at most MaxStaleness·0.4, and all VMs learn of an
// outage before the last proof is too old.
//
// Package fresh is pure: it does no I/O and takes the time from its caller.
//
// # Usage
//
//	s := fresh.New(fresh.Config{Zone: "z1"})
//	s.Apply(7, zones)
//	s.HandleStoreAnswer(7, sent, got)
//	s.HandlePeerAnswer(report, "z2", sent, got)
//	if !s.Decide(time.Now()).Serve {
//		// refuse keyed routes with 57P03
//	}
//
// A State is not safe for concurrent use.
package fresh
