// Package gate lends a target's slots to VMs.
//
// A Gate runs on the one VM that the target prefers. VMs tell it their demand
// and get loans with a lifetime; it divides the slots by max-min fairness over
// the workspaces that wait and then over the VMs of each workspace (Bertsekas
// and Gallager, "Data Networks", 1992, section 6.5.2, in whole slots), and by
// the time that each had slots when there are more claimants than slots. A slot
// moves only when its holder has confirmed the recall or its loan has ended, so
// the loans of one gate never exceed the target's slots.
//
// A Lot is the other side: what one VM may use now, with the local fallback for
// the time without a gate.
//
// The package is pure and its types are not safe for concurrent use.
//
// # Usage
//
//	var g gate.Gate
//	g.SetSlots(5)
//	g.Demand(gate.Demand{VM: "vm-1", Waiting: waiting}, now)
//	for _, l := range g.Assign(now) {
//		// send l to l.VM
//	}
//
// and at the borrower:
//
//	if inUse < lot.Limit(now) {
//		// start a statement
//	}
package gate
