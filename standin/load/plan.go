package load

import (
	"math/rand/v2"
	"time"
)

// Class is a class of statements.
type Class uint8

// Classes of statements.
const (
	ClassRead Class = iota
	ClassWrite
	classes
)

// String returns the class's name in lower case.
func (c Class) String() string {
	if c == ClassWrite {
		return "write"
	}
	return "read"
}

// Arrival is a statement that is to be sent at a time after the start.
type Arrival struct {
	At time.Duration
	// Workspace is an index into Config.Workspaces.
	Workspace int
	Class     Class
}

// plan draws arrivals. Equal settings and seeds give equal arrivals.
type plan struct {
	rng        *rand.Rand
	at         time.Duration
	end        time.Duration
	gap        float64
	writes     float64
	cumulative []float64
}

func newPlan(c Config) *plan {
	p := &plan{
		rng: rand.New(rand.NewPCG(c.Seed, 0)),
		end: c.Duration, gap: float64(time.Second) / c.Rate, writes: c.WriteShare,
	}
	sum := 0.0
	for _, w := range c.Workspaces {
		sum += w.Weight
		p.cumulative = append(p.cumulative, sum)
	}
	return p
}

// next returns the next arrival; ok is false at the end of the run.
func (p *plan) next() (a Arrival, ok bool) {
	p.at += time.Duration(p.rng.ExpFloat64() * p.gap)
	if p.at >= p.end {
		return a, false
	}
	a.At = p.at
	x := p.rng.Float64() * p.cumulative[len(p.cumulative)-1]
	for a.Workspace < len(p.cumulative)-1 && x >= p.cumulative[a.Workspace] {
		a.Workspace++
	}
	if p.rng.Float64() < p.writes {
		a.Class = ClassWrite
	}
	return a, true
}
