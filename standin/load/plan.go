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
	classCount
)

// String returns the class's name in lower case.
func (c Class) String() string {
	if c == ClassWrite {
		return "write"
	}
	return "read"
}

// Arrival is a statement to be sent.
type Arrival struct {
	// At is the intended sending time, counted from the start of the run.
	At time.Duration
	// Workspace is an index into Config.Workspaces.
	Workspace int
	Class     Class
}

// schedule generates arrivals. Equal settings and seeds give equal arrivals.
type schedule struct {
	rng               *rand.Rand
	elapsed           time.Duration
	end               time.Duration
	meanGap           float64
	writeShare        float64
	cumulativeWeights []float64
}

func newSchedule(c Config) *schedule {
	s := &schedule{
		rng: rand.New(rand.NewPCG(c.Seed, 0)),
		end: c.Duration, meanGap: float64(time.Second) / c.Rate, writeShare: c.WriteShare,
	}
	sum := 0.0
	for _, w := range c.Workspaces {
		sum += w.Weight
		s.cumulativeWeights = append(s.cumulativeWeights, sum)
	}
	return s
}

// next returns the next arrival; ok is false at the end of the run.
func (s *schedule) next() (a Arrival, ok bool) {
	s.elapsed += time.Duration(s.rng.ExpFloat64() * s.meanGap)
	if s.elapsed >= s.end {
		return a, false
	}
	a.At = s.elapsed
	x := s.rng.Float64() * s.cumulativeWeights[len(s.cumulativeWeights)-1]
	for a.Workspace < len(s.cumulativeWeights)-1 && x >= s.cumulativeWeights[a.Workspace] {
		a.Workspace++
	}
	if s.rng.Float64() < s.writeShare {
		a.Class = ClassWrite
	}
	return a, true
}
