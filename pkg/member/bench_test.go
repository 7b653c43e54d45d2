package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkPing reports the run time of one virtual second of one VM while no VM
// changes its state, and the messages and bytes that the VM sends in that second.
func BenchmarkPing(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint("vms=", size.vms), func(b *testing.B) {
			f := newSimulation(7, infos(size.vms, size.zones, size.regions))
			f.run(2 * time.Second)
			f.messages, f.bytes = 0, 0
			n := 0
			for b.Loop() {
				f.run(time.Second)
				n++
			}
			each := float64(n * size.vms)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/each, "ns/VM-s")
			b.ReportMetric(float64(f.messages)/each, "messages/VM-s")
			b.ReportMetric(float64(f.bytes)/each, "B/VM-s")
		})
	}
}

// BenchmarkDeaths reports the additional bytes that one VM sends because of one
// death, over the 30 s in which all VMs learn of it.
func BenchmarkDeaths(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint("vms=", size.vms), func(b *testing.B) {
			for b.Loop() {
				f := newSimulation(7, infos(size.vms, size.zones, size.regions))
				f.run(2 * time.Second)
				f.messages, f.bytes = 0, 0
				f.run(30 * time.Second)
				quiet := f.bytes
				f.bytes = 0
				f.hosts[1].crashed = true
				f.run(30 * time.Second)
				b.ReportMetric(float64(f.bytes-quiet)/float64(size.vms), "B/VM-death")
			}
		})
	}
}

// BenchmarkTable reports the memory of one VM's table per member, and the size of
// the list that a new VM requests.
func BenchmarkTable(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprint("vms=", s.vms), func(b *testing.B) {
			all := infos(s.vms, s.zones, s.regions)
			const copies = 50
			for b.Loop() {
				nodes := make([]*Node, copies)
				before := heapInUse()
				for i := range nodes {
					nodes[i] = New(Config{Self: all[0]}, time.Unix(1e9, 0))
					nodes[i].mergeAll(all, time.Unix(1e9, 0))
				}
				b.ReportMetric((heapInUse()-before)/copies/float64(s.vms), "B/member")
				runtime.KeepAlive(nodes)
			}
			b.ReportMetric(float64(size(Message{From: all[0].VM, Events: all})), "B/list")
		})
	}
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
