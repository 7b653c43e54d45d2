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
	// Target is the objective, nil when there is none.
	Objective *float64 `json:"target"`
	Met       *bool    `json:"met"`
}

// judge returns a line with an objective that the value must not be above, or
// not below.
func judge(measure, name string, value float64, unit string, objective float64, atLeast bool) Line {
	met := value <= objective
	if atLeast {
		met = value >= objective
	}
	return Line{measure, name, round(value), unit, &objective, &met}
}

func atMost(measure, name string, value float64, unit string, objective float64) Line {
	return judge(measure, name, value, unit, objective, false)
}

func atLeast(measure, name string, value float64, unit string, objective float64) Line {
	return judge(measure, name, value, unit, objective, true)
}

// plain returns a line without an objective.
func plain(measure, name string, value float64, unit string) Line {
	return Line{Measure: measure, Case: name, Value: round(value), Unit: unit}
}

// round keeps six decimals, more than any measure resolves.
func round(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// printer writes lines and remembers missed objectives. Two fleets may share
// one.
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

// median returns the middle value, the mean of the two for an even number.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// nearestRank returns the quantile q, 0 to 1, by nearest rank.
func nearestRank(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	v := slices.Sorted(slices.Values(values))
	return v[max(int(math.Ceil(q*float64(len(v)))), 1)-1]
}
