package entry

import (
	"time"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/topo"
)

// addStatus adds to a VM's status the sessions, rates and groups that this VM knows
// of.
func (d *Daemon) addStatus(v *adminpb.VMStatus) {
	v.Sessions = uint32(d.server.SessionCount())
	v.Draining = d.spread.Self().State == member.StateLeaving
	for _, u := range d.limiter.Snapshot() {
		v.Workspaces = append(v.Workspaces, &adminpb.WorkspaceStatus{
			Workspace: string(u.Workspace), RateLimit: u.Limit.Rate, RateUsed: u.RequestRate,
			Admitted: u.Admitted, Refused: u.Refused, Queued: uint64(u.Queued),
		})
		v.Slices += uint32(u.HeldSliceCount)
	}
	for _, id := range d.topo.Groups() {
		if g, ok := d.topo.Group(id); ok {
			v.Groups = append(v.Groups, d.groupStatus(&g))
		}
	}
}

func (d *Daemon) groupStatus(g *topo.Group) *adminpb.GroupStatus {
	out := &adminpb.GroupStatus{Group: string(g.ID), Term: uint64(g.Term), Primary: string(g.Primary)}
	end := highestPosition(g)
	for i := range g.Targets {
		out.Targets = append(out.Targets, d.targetStatus(g.ID, &g.Targets[i], end))
	}
	return out
}

// highestPosition returns the highest known position of the targets in a group.
func highestPosition(g *topo.Group) ident.Position {
	var end ident.Position
	for i := range g.Targets {
		end = end.Max(g.Targets[i].Applied)
	}
	return end
}

func (d *Daemon) targetStatus(g ident.Group, t *topo.Target, end ident.Position) *adminpb.TargetStatus {
	open, _ := d.pools.Size(g, t.ID)
	s := &adminpb.TargetStatus{
		Target: string(t.ID), Zone: string(t.Config.Zone), Role: string(t.Status.Role),
		Position: t.Applied.String(), Reachable: t.FailedAt.IsZero(),
		Leaving: t.Config.Leaving || t.Status.Leaving, Connections: uint32(open),
		SlotsInUse: uint32(d.pools.Load(g, t.ID).Outstanding),
	}
	s.AgeMs = -1
	if !t.StatusAt.IsZero() {
		s.AgeMs = time.Since(t.StatusAt).Milliseconds()
	}
	if t.Applied.Less(end) && !t.Applied.IsZero() {
		s.LagEntries = end.Index - min(end.Index, t.Applied.Index)
	}
	return s
}
