package gate

import (
	"cmp"
	"maps"
	"slices"

	"chervilspan.example/pkg/ident"
)

// contender is a party to a division of slots: a workspace, or one of the VMs at
// which the workspace has requests.
type contender struct {
	ws     ident.Workspace
	vm     ident.VM
	weight float64
	demand float64
	share  float64
}

// divideMaxMin divides an amount by weighted max-min fairness: no contender gets
// more than its demand, and what small demands leave over goes to the others.
func divideMaxMin(amount float64, contenders []*contender) {
	slices.SortFunc(contenders, func(a, b *contender) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.ws, b.ws), cmp.Compare(a.vm, b.vm))
	})
	weights := 0.0
	for _, c := range contenders {
		weights += c.weight
	}
	for _, c := range contenders {
		c.share = min(c.demand, amount*c.weight/weights)
		amount -= c.share
		weights -= c.weight
	}
}

// fairShares returns the number of slots, with fractions, that each VM is
// entitled to: max-min fair over the workspaces with waiting or running requests,
// then over the VMs of each workspace.
func (g *Gate) fairShares() map[ident.VM]float64 {
	byWorkspace := map[ident.Workspace][]*contender{}
	for vm, s := range g.vms {
		for _, d := range s.demand.Workspaces {
			if demand := d.Waiting + d.InUse; demand > 0 {
				byWorkspace[d.Workspace] = append(byWorkspace[d.Workspace], &contender{ws: d.Workspace, vm: vm, weight: float64(max(1, d.Weight)), demand: float64(demand)})
			}
		}
	}
	var workspaces []*contender
	for ws, vms := range byWorkspace {
		w := &contender{ws: ws, weight: 1}
		for _, c := range vms {
			w.demand += c.demand
			w.weight = max(w.weight, c.weight)
			c.weight = 1
		}
		workspaces = append(workspaces, w)
	}
	divideMaxMin(float64(g.slots), workspaces)
	shares := map[ident.VM]float64{}
	for _, w := range workspaces {
		divideMaxMin(w.share, byWorkspace[w.ws])
		for _, c := range byWorkspace[w.ws] {
			shares[c.vm] += c.share
		}
	}
	return shares
}

// planSlots rounds the fair shares to whole slots, no VM getting more than it
// needs. VMs keep their slots until holdUntil. Then each VM gets the integer part
// of its share, and the remaining slots go to the VMs with the greatest service
// lag.
func (g *Gate) planSlots(fairShare map[ident.VM]float64) map[ident.VM]int {
	plan := map[ident.VM]int{}
	free := g.slots
	assign := func(vm ident.VM, n int) {
		n = max(0, min(n, free, g.vms[vm].demanded()-plan[vm]))
		plan[vm] += n
		free -= n
	}
	order := slices.Sorted(maps.Keys(fairShare))
	slices.SortStableFunc(order, func(a, b ident.VM) int { return cmp.Compare(g.serviceLag[b], g.serviceLag[a]) })
	for _, vm := range order {
		if g.lastUpdate.Before(g.vms[vm].holdUntil) {
			assign(vm, g.plan[vm])
		}
	}
	const rounding = 1e-9
	for _, vm := range order {
		assign(vm, int(fairShare[vm]+rounding)-plan[vm])
	}
	for _, vm := range order {
		if plan[vm] <= int(fairShare[vm]) {
			assign(vm, 1)
		}
	}
	for _, vm := range order {
		assign(vm, free)
	}
	return plan
}

// demanded returns the number of statements that the VM runs or has waiting.
func (s *vmState) demanded() int {
	n := 0
	for _, d := range s.demand.Workspaces {
		n += d.Waiting + d.InUse
	}
	return n
}
