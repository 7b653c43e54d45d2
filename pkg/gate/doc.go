// Package gate lends a target's slots to VMs.
//
// A Gate runs on one VM, chosen for each target by rendezvous hashing. VMs send
// it their demand and get loans with a limited lifetime. The gate divides the
// slots by max-min fairness over the workspaces with requests and then over the
// VMs of each workspace (Bertsekas and Gallager, "Data Networks", 1992, section
// 6.5.2, in whole slots). Slots that can't be divided evenly rotate among the
// VMs: those go first that had the least slot time compared with their fair
// share. A slot moves only when its holder has confirmed the recall or its loan
// has expired, so the loans of one gate never exceed the target's slots.
//
// A Borrower is the other side: it tracks how many slots one VM may use now,
// and falls back to an even split among the live VMs when there is no gate.
//
// The package does no input or output, callers pass the time, and its types are
// not safe for concurrent use.
//
// # Usage
//
//	var g gate.Gate
//	g.SetSlots(5)
//	g.SetDemand(gate.Demand{VM: "vm-1", Number: 1, Workspaces: workspaces}, now)
//	for _, l := range g.Assign(now) {
//		// send l to l.VM
//	}
//
// and at the borrower:
//
//	if inUse < borrower.Limit(now) {
//		// start a statement
//	}
package gate
