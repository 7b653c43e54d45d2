package gate

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/pkg/ident"
)

// tenant is a workspace while slots are divided.
type tenant struct {
	ws     ident.Workspace
	weight float64
	got    int
	had    int
	needs  []need
}

type need struct {
	key  claimKey
	want int
	got  int
	had  int
}

// divide gives the slots one by one to the workspace with the fewest for its
// weight, and there to the VM with the fewest. Among equals the one that had
// less slot time goes first; present holders keep theirs for a turn.
func (g *Gate) divide() map[claimKey]int {
	tenants := g.tenants()
	plan := map[claimKey]int{}
	for range g.slots {
		t := g.pick(tenants)
		if t == nil {
			break
		}
		n := g.pickVM(t)
		n.got++
		t.got++
		plan[n.key] = n.got
	}
	return plan
}

func (g *Gate) tenants() []*tenant {
	byName := map[ident.Workspace]*tenant{}
	var out []*tenant
	for vm, b := range g.vms {
		for _, c := range b.demand.Claims {
			if c.Waiting+c.InUse == 0 {
				continue
			}
			t := byName[c.Workspace]
			if t == nil {
				t = &tenant{ws: c.Workspace, weight: 1}
				byName[c.Workspace] = t
				out = append(out, t)
			}
			t.weight = max(t.weight, float64(c.Weight))
			k := claimKey{c.Workspace, vm}
			had := g.plan[k]
			t.had += had
			t.needs = append(t.needs, need{key: k, want: c.Waiting + c.InUse, had: had})
		}
	}
	slices.SortFunc(out, func(a, b *tenant) int { return cmp.Compare(a.ws, b.ws) })
	for _, t := range out {
		slices.SortFunc(t.needs, func(a, b need) int { return cmp.Compare(a.key.vm, b.key.vm) })
	}
	return out
}

func (g *Gate) pick(tenants []*tenant) *tenant {
	var best *tenant
	for _, t := range tenants {
		if !slices.ContainsFunc(t.needs, func(n need) bool { return n.got < n.want }) {
			continue
		}
		if best == nil || g.before(t, best) {
			best = t
		}
	}
	return best
}

func (g *Gate) before(a, b *tenant) bool {
	x, y := float64(a.got)/a.weight, float64(b.got)/b.weight
	if x != y {
		return x < y
	}
	return g.used[a.ws]/a.weight-bonus(a.had > a.got) < g.used[b.ws]/b.weight-bonus(b.had > b.got)
}

func (g *Gate) pickVM(t *tenant) *need {
	var best *need
	score := func(n *need) float64 { return g.usedV[n.key] - bonus(n.had > n.got) }
	for i := range t.needs {
		n := &t.needs[i]
		if n.got == n.want {
			continue
		}
		if best == nil || n.got < best.got || n.got == best.got && score(n) < score(best) {
			best = n
		}
	}
	return best
}

// bonus is the advantage of a present holder.
func bonus(holds bool) float64 {
	if holds {
		return time.Duration(turn).Seconds()
	}
	return 0
}
