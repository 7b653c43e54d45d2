package bench

import (
	"cmp"
	"slices"
	"time"

	"chervilspan.example/standin/load"
)

// maxExcess returns the maximum over all time windows by which the number of
// admitted statements exceeds perSecond times the window's length plus burst. It
// is negative when no window reaches its limit.
//
// The load generator does not know when a daemon admits a statement, only that it
// does so between sending and answer. A statement therefore counts in a window
// only if both are inside, so that neither clocks nor delays cause a false excess. A
// real excess may be underestimated by the number of statements admitted in one
// latency. Statements whose outcome is unknown do not count, because they may not
// have been admitted. It is enough to check windows that start at a sending and
// end at an answer. The run time is quadratic in the number of statements.
func maxExcess(spans []load.Span, perSecond, burst float64) float64 {
	byAnswer := slices.SortedFunc(slices.Values(spans), func(a, b load.Span) int {
		return cmp.Compare(a.Answered, b.Answered)
	})
	most := -burst
	for _, first := range byAnswer {
		most = max(most, maxExcessFrom(first.Sent, byAnswer, perSecond)-burst)
	}
	return most
}

// maxExcessFrom returns the maximum by which the statements of a window from
// start on exceed the rate. spans are sorted by the time of their answers.
func maxExcessFrom(start time.Duration, spans []load.Span, perSecond float64) float64 {
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

// printExcess prints the highest excess of a workspace.
func (m *measurement) printExcess(name string, r *load.Report) error {
	most := -float64(burst)
	for _, spans := range r.Spans {
		most = max(most, maxExcess(spans, rate, burst))
	}
	return m.out.print(atMost("excess", name+"_every_window", most, "statements", 0))
}
