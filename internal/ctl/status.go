package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"chervilspan.example/internal/proto/adminpb"
	"chervilspan.example/pkg/wait"
)

func (c *command) vmStatuses(ctx context.Context, op string) ([]*adminpb.VMStatus, error) {
	client, err := c.client(op)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	reply, err := client.Status(ctx, &adminpb.StatusRequest{})
	if err != nil {
		return nil, failed(op, err)
	}
	return reply.Vms, nil
}

// pollInterval is the interval at which waitInForce asks for the VMs' versions.
const pollInterval = 250 * time.Millisecond

// waitInForce waits until a version is in force on all VMs that are not dead. It
// writes a progress line whenever the progress changes. After a timeout, the error
// names the VMs on which the version is not in force.
func (c *command) waitInForce(ctx context.Context, op string, version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	last := ""
	for {
		vms, err := c.vmStatuses(ctx, op)
		if err != nil {
			return err
		}
		missing, line := progress(vms, version)
		if line != last && !c.args.JSON {
			_, _ = fmt.Fprintln(c.env.Err, line)
		}
		last = line
		switch {
		case len(missing) == 0:
			return nil
		case time.Now().After(deadline) || !wait.For(ctx, pollInterval):
			text := fmt.Sprintf("version %d is stored, but after %s it is not in force on %s", version, timeout, strings.Join(missing, ", "))
			return &Error{Op: op, Kind: KindFailed, Lines: []string{text}}
		}
	}
}

// progress returns the VMs on which the version is not in force, each with the
// reason, and the progress line. Dead VMs without the version are named in the line
// only.
func progress(vms []*adminpb.VMStatus, version uint64) (missing []string, line string) {
	var dead []string
	done := 0
	for _, v := range vms {
		switch {
		case v.Reachable && v.Version >= version:
			done++
		case v.State == "dead":
			dead = append(dead, v.Vm)
		case !v.Reachable:
			missing = append(missing, v.Vm+" (not reachable)")
		case v.RefusedVersion >= version:
			missing = append(missing, v.Vm+" (refused: "+v.RefusedReason+")")
		default:
			missing = append(missing, fmt.Sprintf("%s (version %d)", v.Vm, v.Version))
		}
	}
	line = fmt.Sprintf("version %d in force on %d of %d VMs", version, done, len(vms)-len(dead))
	if len(missing) > 0 {
		line += "; not on " + strings.Join(missing, ", ")
	}
	if len(dead) > 0 {
		line += "; dead and not waited for: " + strings.Join(dead, ", ")
	}
	return missing, line
}

func (c *command) status(ctx context.Context) error {
	vms, err := c.vmStatuses(ctx, "status")
	if err != nil {
		return err
	}
	if c.args.JSON {
		raw, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(&adminpb.StatusReply{Vms: vms})
		if err != nil {
			return failed("status", err)
		}
		_, err = fmt.Fprintf(c.env.Out, "%s\n", raw)
		return err
	}
	return c.print(nil, statusTables(vms))
}

// statusTables returns the tables of VMs, groups and workspaces.
func statusTables(vms []*adminpb.VMStatus) string {
	return vmTable(vms) + "\n" + groupTable(vms) + "\n" + workspaceTable(vms)
}

func vmTable(vms []*adminpb.VMStatus) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VM\tZONE\tSTATE\tVERSION\tAGE\tSTORE\tSESSIONS\tSLICES\tNOTES")
	for _, v := range vms {
		if !v.Reachable {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t-\t-\t-\t-\t-\tnot reachable\n", v.Vm, v.Zone, v.State)
			continue
		}
		age := "never"
		if v.StaleMs >= 0 {
			age = (time.Duration(v.StaleMs) * time.Millisecond).String()
		}
		store := "down"
		if v.StoreReachable {
			store = "up"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\n", v.Vm, v.Zone, v.State, v.Version, age, store, v.Sessions, v.Slices, vmNotes(v))
	}
	_ = w.Flush() // writes to a strings.Builder never fail
	return b.String()
}

func vmNotes(v *adminpb.VMStatus) string {
	var list []string
	for _, n := range []struct {
		on   bool
		text string
	}{
		{v.Relay, "relay"},
		{v.Draining, "draining"},
		{v.CutOff, "cut off"},
		{v.RefusedVersion > 0, fmt.Sprintf("refused version %d: %s", v.RefusedVersion, v.RefusedReason)},
	} {
		if n.on {
			list = append(list, n.text)
		}
	}
	return strings.Join(list, ", ")
}

// top prints the status periodically, until ctx ends or --count is reached.
func (c *command) top(ctx context.Context, a *topArgs) error {
	for n := 1; ; n++ {
		vms, err := c.vmStatuses(ctx, "top")
		if err != nil {
			return err
		}
		if c.args.JSON {
			if err := c.status(ctx); err != nil {
				return err
			}
		} else {
			const clearScreen = "\x1b[H\x1b[2J"
			if err := c.print(nil, clearScreen+statusTables(vms)); err != nil {
				return err
			}
		}
		if n == a.Count || !wait.For(ctx, a.Every) {
			return nil
		}
	}
}

// maxRecentAge is the age up to which a target's status counts as current. Watchers
// receive one several times a second.
const maxRecentAge = 5 * time.Second

// groupTable returns a table with each group as known to the VM with the highest
// term, and each target by the latest status that any VM has received.
func groupTable(vms []*adminpb.VMStatus) string {
	groups := map[string]*adminpb.GroupStatus{}
	targets := map[string]*adminpb.TargetStatus{}
	slots := map[string]uint32{}
	for _, v := range vms {
		for _, g := range v.Groups {
			if latest := groups[g.Group]; latest == nil || g.Term > latest.Term {
				groups[g.Group] = g
			}
			for _, t := range g.Targets {
				slots[t.Target] += t.SlotsInUse
				if latest := targets[t.Target]; latest == nil || isNewer(t, latest) {
					targets[t.Target] = t
				}
			}
		}
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "GROUP\tTERM\tTARGET\tROLE\tPOSITION\tLAG\tSLOTS\tNOTES")
	for _, id := range sortedKeys(groups) {
		g := groups[id]
		for _, own := range g.Targets {
			t := targets[own.Target]
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%d\t%s\n", g.Group, g.Term, t.Target, role(g, t), t.Position, t.LagEntries, slots[t.Target], targetNotes(t))
		}
	}
	_ = w.Flush() // writes to a strings.Builder never fail
	return b.String()
}

// isNewer reports whether status a was received after b.
func isNewer(a, b *adminpb.TargetStatus) bool {
	return a.AgeMs >= 0 && (b.AgeMs < 0 || a.AgeMs < b.AgeMs)
}

func isRecent(t *adminpb.TargetStatus) bool {
	return t.AgeMs >= 0 && t.AgeMs <= maxRecentAge.Milliseconds()
}

// role returns the current role of a target: primary, or the role in a recent
// status. A target that still reports itself as a primary but isn't the group's
// primary has no known role.
func role(g *adminpb.GroupStatus, t *adminpb.TargetStatus) string {
	switch {
	case t.Target == g.Primary:
		return "primary"
	case isRecent(t) && t.Role != "primary":
		return t.Role
	}
	return "-"
}

func targetNotes(t *adminpb.TargetStatus) string {
	switch {
	case !isRecent(t):
		return "not reachable"
	case t.Leaving:
		return "leaving"
	case !t.Reachable:
		return "fails"
	}
	return ""
}

// workspaceTable returns a table with the counts of each workspace, summed over the
// VMs.
func workspaceTable(vms []*adminpb.VMStatus) string {
	sums := map[string]*adminpb.WorkspaceStatus{}
	for _, v := range vms {
		for _, s := range v.Workspaces {
			sum := sums[s.Workspace]
			if sum == nil {
				sum = &adminpb.WorkspaceStatus{Workspace: s.Workspace}
				sums[s.Workspace] = sum
			}
			sum.RateLimit = max(sum.RateLimit, s.RateLimit)
			sum.RateUsed += s.RateUsed
			sum.Admitted += s.Admitted
			sum.Refused += s.Refused
			sum.Queued += s.Queued
		}
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WORKSPACE\tRATE\tLIMIT\tADMITTED\tREFUSED\tQUEUED")
	for _, id := range sortedKeys(sums) {
		s := sums[id]
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%d\t%d\t%d\n", id, s.RateUsed, s.RateLimit, s.Admitted, s.Refused, s.Queued)
	}
	_ = w.Flush() // writes to a strings.Builder never fail
	return b.String()
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (c *command) drain(ctx context.Context, a *drainArgs) error {
	client, err := c.client("drain")
	if err != nil {
		return err
	}
	if a.VM != "" {
		vms, err := c.vmStatuses(ctx, "drain")
		if err != nil {
			return err
		}
		i := slices.IndexFunc(vms, func(v *adminpb.VMStatus) bool { return v.Vm == a.VM })
		if i < 0 {
			return badInput("drain", fmt.Sprintf("VM %q is not known; status lists the VMs", a.VM))
		}
		if client, err = c.env.Dial(vms[i].Address); err != nil {
			return failed("drain", err)
		}
	}
	reply, err := client.Drain(ctx, &adminpb.DrainRequest{})
	if err != nil {
		return failed("drain", err)
	}
	return c.print(map[string]any{"sessions": reply.Sessions}, fmt.Sprintf("drain started with %d sessions\n", reply.Sessions))
}
