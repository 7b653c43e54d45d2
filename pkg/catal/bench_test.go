package catal

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"chervilspan.example/pkg/ident"
)

var benchmarkSizes = []struct{ groups, workspaces int }{{3, 8}, {100, 500}, {367, 4000}}

// newSizedCatalogue returns a catalogue with three targets in each group, one
// route for each group and one key for each workspace.
func newSizedCatalogue(groups, workspaces int) *Catalogue {
	c := &Catalogue{
		Version: 7, Zones: map[ident.Zone]Zone{}, Groups: map[ident.Group]Group{},
		Workspaces: map[ident.Workspace]Workspace{}, Routes: map[ident.Route]Route{},
	}
	for i := range 10 {
		c.Zones[ident.Zone(fmt.Sprint("zone-", i))] = Zone{Region: ident.Region(fmt.Sprint("region-", i%3))}
	}
	for i := range groups {
		g := Group{Owner: "operators", Targets: map[ident.Target]Target{}}
		for k := range 3 {
			id := ident.Target(fmt.Sprintf("db-%03d-%c", i, 'a'+k))
			g.Targets[id] = Target{Address: fmt.Sprintf("10.%d.%d.%d:5432", k, i/200, i%200+1), Zone: ident.Zone(fmt.Sprint("zone-", (i+k)%10)), Slots: 5, Connections: 50}
		}
		name := fmt.Sprintf("group-%03d", i)
		c.Groups[ident.Group(name)] = g
		c.Routes[ident.Route(name)] = Route{Owner: "operators", Group: ident.Group(name)}
	}
	for i := range workspaces {
		key := Key{Label: "shop", SHA256: strings.Repeat(fmt.Sprintf("%02x", i%256), 32)}
		c.Workspaces[ident.Workspace(fmt.Sprintf("workspace-%04d", i))] = Workspace{
			Owner: "operators", Rate: 50, Burst: 50, Keys: map[string]Key{fmt.Sprintf("k%04d", i): key},
		}
	}
	return c
}

func benchmarkAllSizes(b *testing.B, f func(b *testing.B, c *Catalogue)) {
	for _, s := range benchmarkSizes {
		b.Run(fmt.Sprintf("groups=%d/workspaces=%d", s.groups, s.workspaces), func(b *testing.B) {
			c := newSizedCatalogue(s.groups, s.workspaces)
			if p := Validate(c); len(p) > 0 {
				b.Fatal(p)
			}
			f(b, c)
		})
	}
}

// withChangedRate returns the next version, with another rate of one workspace.
func withChangedRate(b *testing.B, c *Catalogue) *Catalogue {
	raw, err := Encode(c)
	if err != nil {
		b.Fatal(err)
	}
	next, err := Read(raw)
	if err != nil {
		b.Fatal(err)
	}
	ws := next.Workspaces["workspace-0001"]
	ws.Rate = 60
	next.Workspaces["workspace-0001"] = ws
	next.Version++
	return next
}

// BenchmarkRead measures the reading of a document by the daemon that accepts an
// edit.
func BenchmarkRead(b *testing.B) {
	benchmarkAllSizes(b, func(b *testing.B, c *Catalogue) {
		raw, err := Encode(c)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := Read(raw); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(raw)), "B/document")
	})
}

// BenchmarkValidate measures the validation of a parsed document.
func BenchmarkValidate(b *testing.B) {
	benchmarkAllSizes(b, func(b *testing.B, c *Catalogue) {
		for b.Loop() {
			Validate(c)
		}
	})
}

// BenchmarkNewDelta measures the computation of a delta with one changed entry.
func BenchmarkNewDelta(b *testing.B) {
	benchmarkAllSizes(b, func(b *testing.B, c *Catalogue) {
		next := withChangedRate(b, c)
		for b.Loop() {
			if _, err := NewDelta(c, next); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApply measures applying a delta with one changed entry, as each VM
// does.
func BenchmarkApply(b *testing.B) {
	benchmarkAllSizes(b, func(b *testing.B, c *Catalogue) {
		d, err := NewDelta(c, withChangedRate(b, c))
		if err != nil {
			b.Fatal(err)
		}
		size := 0
		for k, v := range d.Put {
			size += len(k) + len(v)
		}
		for b.Loop() {
			if _, err := d.Apply(c); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "B/delta")
	})
}

// BenchmarkVersionMemory reports the memory that one version takes; a VM keeps
// nine versions.
func BenchmarkVersionMemory(b *testing.B) {
	benchmarkAllSizes(b, func(b *testing.B, c *Catalogue) {
		raw, err := Encode(c)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			before := heapInUse()
			version, err := Read(raw)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(heapInUse()-before, "B/version")
			runtime.KeepAlive(version)
		}
	})
}

func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
