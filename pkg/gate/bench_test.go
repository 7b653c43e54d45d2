package gate

import (
	"fmt"
	"testing"
	"time"

	"chervilspan.example/pkg/ident"
)

// BenchmarkWorkspaces measures one demand and one round of a gate with 9 VMs by
// the number of workspaces that wait at each of them.
func BenchmarkWorkspaces(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("workspaces=", n), func(b *testing.B) {
			const vms = 9
			var claims []WorkspaceDemand
			for i := range n {
				claims = append(claims, WorkspaceDemand{Workspace: ident.Workspace(fmt.Sprint(i)), Waiting: 1})
			}
			var g Gate
			g.SetSlots(5)
			now := epoch
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				g.SetDemand(Demand{VM: ident.VM(fmt.Sprint(i % vms)), Workspaces: claims}, now)
				g.Assign(now)
			}
		})
	}
}
