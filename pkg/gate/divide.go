package gate

import (
	"cmp"
	"maps"
	"slices"

	"chervilspan.example/pkg/ident"
)

// need is a demand while slots are divided: a workspace's, or that of one of its
// VMs.
type need struct {
	ws     ident.Workspace
	vm     ident.VM
	weight float64
	want   float64
	got    float64
}

// fill divides an amount by weighted max-min fairness: no need gets more than it
// wants, and what is left of small ones goes to the others.
func fill(amount float64, needs []*need) {
	slices.SortFunc(needs, func(a, b *need) int {
		return cmp.Or(cmp.Compare(a.want/a.weight, b.want/b.weight), cmp.Compare(a.ws, b.ws), cmp.Compare(a.vm, b.vm))
	})
	weights := 0.0
	for _, n := range needs {
		weights += n.weight
	}
	for _, n := range needs {
		n.got = min(n.want, amount*n.weight/weights)
		amount -= n.got
		weights -= n.weight
	}
}

// entitle returns the fraction of the slots that each VM is due: max-min over
// the workspaces that wait or run, then over the VMs of each.
func (g *Gate) entitle() map[ident.VM]float64 {
	byWS := map[ident.Workspace][]*need{}
	for vm, b := range g.vms {
		for _, c := range b.demand.Workspaces {
			if want := c.Waiting + c.InUse; want > 0 {
				byWS[c.Workspace] = append(byWS[c.Workspace], &need{ws: c.Workspace, vm: vm, weight: float64(max(1, c.Weight)), want: float64(want)})
			}
		}
	}
	var tenants []*need
	for ws, needs := range byWS {
		t := &need{ws: ws, weight: 1}
		for _, n := range needs {
			t.want += n.want
			t.weight = max(t.weight, n.weight)
			n.weight = 1
		}
		tenants = append(tenants, t)
	}
	fill(float64(g.slots), tenants)
	due := map[ident.VM]float64{}
	for _, t := range tenants {
		fill(t.got, byWS[t.ws])
		for _, n := range byWS[t.ws] {
			due[n.vm] += n.got
		}
	}
	return due
}

// divide gives each VM the whole slots that it is due, and the rest by credit:
// slot time that it was due and did not have. Holders keep their slots for a
// turn, unless they need them no more.
func (g *Gate) divide(due map[ident.VM]float64) map[ident.VM]int {
	plan := map[ident.VM]int{}
	free := g.slots
	give := func(vm ident.VM, n int) {
		n = max(0, min(n, free, g.vms[vm].want()-plan[vm]))
		plan[vm] += n
		free -= n
	}
	order := slices.Sorted(maps.Keys(due))
	slices.SortStableFunc(order, func(a, b ident.VM) int { return cmp.Compare(g.credit[b], g.credit[a]) })
	for _, vm := range order {
		if g.last.Before(g.vms[vm].keep) {
			give(vm, g.plan[vm])
		}
	}
	const rounding = 1e-9
	for _, vm := range order {
		give(vm, int(due[vm]+rounding)-plan[vm])
	}
	for _, vm := range order {
		if plan[vm] <= int(due[vm]) {
			give(vm, 1)
		}
	}
	for _, vm := range order {
		give(vm, free)
	}
	return plan
}

// want is the number of statements that the VM runs or has waiting.
func (b *vmState) want() int {
	n := 0
	for _, c := range b.demand.Workspaces {
		n += c.Waiting + c.InUse
	}
	return n
}
