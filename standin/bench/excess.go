package bench

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/standin/load"
)

// excess returns the most by which admitted statements exceed perSecond times
// the length of a window plus burst, over all windows; it is below 0 when all
// windows have room left.
//
// The load tool doesn't see when a daemon admits a statement, only that it is
// between sending and answer. A statement therefore counts in a window only if
// both are inside, so that neither clocks nor delays make up an excess; a real
// excess may show smaller by what is admitted in one latency. Statements whose
// outcome is unknown don't count, since they may not have been admitted. The
// windows that matter start at a sending and end at an answer. The time is
// quadratic in the number of statements.
func excess(spans []load.Span, perSecond, burst float64) float64 {
	byAnswer := slices.SortedFunc(slices.Values(spans), func(a, b load.Span) int {
		return cmp.Compare(a.Answered, b.Answered)
	})
	most := -burst
	for _, first := range byAnswer {
		most = max(most, excessFrom(first.Sent, byAnswer, perSecond)-burst)
	}
	return most
}

// excessFrom returns the most by which the statements of a window that starts
// at a time exceed the rate. spans are in the order of their answers.
func excessFrom(start time.Duration, spans []load.Span, perSecond float64) float64 {
	most, admitted := 0.0, 0.0
	for _, s := range spans {
		if s.Sent < start {
			continue
		}
		admitted++
		most = max(most, admitted-perSecond*(s.Answered-start).Seconds())
	}
	return most
}

// bounded prints the excess of the workspace with the highest one.
func (m *meter) bounded(name string, r *load.Report) error {
	most := -float64(burst)
	for _, spans := range r.Spans {
		most = max(most, excess(spans, rate, burst))
	}
	return m.out.print(atMost("excess", name+"_every_window", most, "statements", 0))
}
