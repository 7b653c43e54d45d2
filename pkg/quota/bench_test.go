package quota

import (
	"fmt"
	"testing"
	"time"

	"chervilspan.example/pkg/ident"
)

// BenchmarkBorrow measures one admission by a VM without slices at 1,000
// statements a second, with the borrower's and the lenders' side, by the number
// of holders. It reports the requests for each admitted statement.
func BenchmarkBorrow(b *testing.B) {
	for _, holders := range []int{1, 4, 12} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			limit := Limit{Rate: 1e9, Burst: 1 << 30}
			lenders := map[ident.VM]*Account{}
			var peers []ident.VM
			for i := range holders {
				vm := ident.VM(fmt.Sprint("vm", i))
				a := NewAccount(Config{Self: vm})
				a.Configure(Setup{Limit: limit, SliceCount: 12, HeldSlices: []HeldSlice{{Slice{0, Index(i)}, epoch}}}, epoch)
				lenders[vm], peers = a, append(peers, vm)
			}
			a := NewAccount(Config{Self: "self"})
			a.Configure(Setup{Limit: limit, SliceCount: 12, Holders: peers}, epoch)
			now, lease, asks := epoch, epoch.Add(1000*time.Hour), 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				if !a.Admit(now, lease) {
					a.Enqueue(now)
				}
				for _, ask := range a.Poll(now, lease).Borrows {
					asks++
					a.HandleReply(ask.ID, lenders[ask.To].Lend(ask.BorrowRequest, now, lease), now)
				}
				a.Poll(now, lease)
			}
			if a.Queued() > 0 {
				b.Fatalf("%d requests wait although the holders have tokens", a.Queued())
			}
			b.ReportMetric(float64(asks)/float64(b.N), "asks/statement")
		})
	}
}
