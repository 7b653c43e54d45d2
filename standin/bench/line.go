package bench

import (
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"
)

// Line is one result.
type Line struct {
	Measure string  `json:"measure"`
	Case    string  `json:"case"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Objective is nil when there is none.
	Objective *float64 `json:"target"`
	Met       *bool    `json:"met"`
}

// withObjective returns a line whose value must not be above the objective, or
// not below it if atLeast is set.
func withObjective(measure, name string, value float64, unit string, objective float64, atLeast bool) Line {
	met := value <= objective
	if atLeast {
		met = value >= objective
	}
	return Line{measure, name, round(value), unit, &objective, &met}
}

func atMost(measure, name string, value float64, unit string, objective float64) Line {
	return withObjective(measure, name, value, unit, objective, false)
}

func atLeast(measure, name string, value float64, unit string, objective float64) Line {
	return withObjective(measure, name, value, unit, objective, true)
}

func withoutObjective(measure, name string, value float64, unit string) Line {
	return Line{Measure: measure, Case: name, Value: round(value), Unit: unit}
}

// round rounds to six decimals, which is finer than any measure resolves.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// printer writes lines and counts missed objectives. Concurrent measurements may
// share one.
type printer struct {
	out io.Writer

	mu     sync.Mutex
	missed int
}

func (p *printer) print(l Line) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Met != nil && !*l.Met {
		p.missed++
	}
	return json.NewEncoder(p.out).Encode(l)
}

// median returns the middle value, or the mean of the two middle values. It is
// NaN without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// nearestRank returns the quantile q, 0 to 1, by the nearest-rank method. It is
// NaN without values.
func nearestRank(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	return v[max(int(math.Ceil(q*float64(len(v)))), 1)-1]
}
