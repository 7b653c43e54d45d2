package dbpool

import (
	"time"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// maxPressureAge is how long reported delays are used.
const maxPressureAge = time.Second

// Pressure has the delays that statements had in a lender's queue. The zero value means
// that no statement waits, or that nothing is known.
type Pressure struct {
	// Delays has pairs of a weight and a delay in ms.
	Delays []uint32
	// At is when the delays were reported, Source the address of the lender.
	At     time.Time
	Source string
}

// IsFresh reports whether the delays may still be used.
func (p *Pressure) IsFresh(now time.Time) bool {
	return len(p.Delays) > 0 && now.Sub(p.At) <= maxPressureAge
}

// Delay returns the delay of a new statement of a weight, 0 when none is known that may
// still be used.
func (p *Pressure) Delay(weight uint32, now time.Time) time.Duration {
	if !p.IsFresh(now) {
		return 0
	}
	for i := 0; i+1 < len(p.Delays); i += 2 {
		if p.Delays[i] == weight {
			return time.Duration(p.Delays[i+1]) * time.Millisecond
		}
	}
	return 0
}

// Pressure returns what is known of the queue for a database that a request of the
// workspace would join.
func (s *Pools) Pressure(m *roster.Member, ws ident.Workspace, allowed place.Regions) Pressure {
	if s.Lender == nil {
		return Pressure{}
	}
	return s.Lender.Pressure(m, ws, allowed)
}
