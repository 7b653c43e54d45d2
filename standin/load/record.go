package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the upper bound of the histograms; longer latencies count
// as this one.
const maxLatencyMicros = 120_000_000

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Counts holds the numbers of statements by outcome.
type Counts struct {
	Sent    int `json:"sent"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Codes counts errors by SQLSTATE, or by reason where there is none.
	Codes map[string]int `json:"codes,omitempty"`
}

// Span is the interval from sending a statement to its answer. Both times count
// from the start of the run by the load generator's clock.
type Span struct {
	Sent, Answered time.Duration
}

// Report holds the results of a run.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Total   Counts  `json:"total"`
	// Workspaces holds the counts of each workspace by name.
	Workspaces map[string]Counts `json:"workspaces"`
	// Latency is that of done statements by workspace and class, under
	// "name/class", and over all workspaces under "/class".
	Latency map[string]Latency `json:"latency"`
	// StaleReads counts reads that missed an acknowledged order of their
	// session, WrongAnswers those whose answer belongs to another request.
	StaleReads   int `json:"stale"`
	WrongAnswers int `json:"wrong"`
	// WriteGapMS is the longest time without a write that was done.
	WriteGapMS float64 `json:"gap_ms"`
	// Connects is the number of connections opened.
	Connects int `json:"connects"`

	Ledger *Ledger `json:"-"`
	// Spans holds the spans of each workspace's done statements, in any order.
	Spans map[string][]Span `json:"-"`

	histograms map[string]*hdrhistogram.Histogram
}

// Quantile returns the latency in milliseconds at percentile q, 0 to 100, over
// both classes of the workspaces that pick accepts.
func (r *Report) Quantile(q float64, pick func(workspace string) bool) float64 {
	sum := hdrhistogram.New(1, maxLatencyMicros, 3)
	for name, h := range r.histograms {
		if pick(name) {
			sum.Merge(h)
		}
	}
	return float64(sum.ValueAtQuantile(q)) / 1000
}

type histogramKey struct {
	workspace int
	class     Class
}

// recorder collects the results of all sessions.
type recorder struct {
	cfg   Config
	start time.Time

	mu           sync.Mutex
	ledger       Ledger
	counts       []Counts
	histograms   map[histogramKey]*hdrhistogram.Histogram
	spans        [][]Span
	writeTimes   []time.Duration
	staleReads   int
	wrongAnswers int
	connects     int
}

func newRecorder(cfg Config) *recorder {
	n := len(cfg.Workspaces)
	return &recorder{cfg: cfg, counts: make([]Counts, n), spans: make([][]Span, n), histograms: map[histogramKey]*hdrhistogram.Histogram{}}
}

// recordResult records the result of an arrival. Its latency counts from the
// intended sending time. sent is when a session took it from the queue.
func (r *recorder) recordResult(a Arrival, sent time.Duration, o Outcome, reason string) {
	now := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counts[a.Workspace]
	c.Sent++
	if reason != "" {
		if c.Codes == nil {
			c.Codes = map[string]int{}
		}
		c.Codes[reason]++
	}
	switch o {
	case OutcomeNotRun:
		c.NotRun++
		return
	case OutcomeUnknown:
		c.Unknown++
		return
	}
	c.Done++
	r.spans[a.Workspace] = append(r.spans[a.Workspace], Span{sent, now})
	if a.Class == ClassWrite {
		r.writeTimes = append(r.writeTimes, now)
	}
	s := histogramKey{a.Workspace, a.Class}
	if r.histograms[s] == nil {
		r.histograms[s] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	_ = r.histograms[s].RecordValue(min(max((now-a.At).Microseconds(), 1), maxLatencyMicros))
}

func (r *recorder) increment(field *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*field++
}

func (r *recorder) report(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Seed: r.cfg.Seed, Seconds: took.Seconds(), Workspaces: map[string]Counts{}, Latency: map[string]Latency{},
		StaleReads: r.staleReads, WrongAnswers: r.wrongAnswers, Connects: r.connects, Ledger: &r.ledger, Spans: map[string][]Span{}, Total: Counts{Codes: map[string]int{}},
	}
	for i, c := range r.counts {
		out.Workspaces[r.cfg.Workspaces[i].Name] = c
		out.Spans[r.cfg.Workspaces[i].Name] = r.spans[i]
		out.Total.Sent += c.Sent
		out.Total.Done += c.Done
		out.Total.NotRun += c.NotRun
		out.Total.Unknown += c.Unknown
		for code, n := range c.Codes {
			out.Total.Codes[code] += n
		}
	}
	var all [classCount]*hdrhistogram.Histogram
	for i := range all {
		all[i] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	out.histograms = map[string]*hdrhistogram.Histogram{}
	for _, w := range r.cfg.Workspaces {
		out.histograms[w.Name] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	for s, h := range r.histograms {
		out.histograms[r.cfg.Workspaces[s.workspace].Name].Merge(h)
		out.Latency[r.cfg.Workspaces[s.workspace].Name+"/"+s.class.String()] = latencyOf(h)
		all[s.class].Merge(h)
	}
	for i, h := range all {
		out.Latency["/"+Class(i).String()] = latencyOf(h)
	}
	out.WriteGapMS = longestGap(r.writeTimes, r.cfg.Duration)
	return out
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// longestGap returns the longest time in milliseconds between consecutive
// moments from 0 to end, both of which count as moments. Moments after end are
// ignored, because no statement is due then.
func longestGap(moments []time.Duration, end time.Duration) float64 {
	slices.Sort(moments)
	last, gap := time.Duration(0), time.Duration(0)
	for _, m := range moments {
		if m > end {
			break
		}
		gap = max(gap, m-last)
		last = m
	}
	return float64(max(gap, end-last).Microseconds()) / 1000
}

// LowestDoneShare returns the workspace with the lowest share of statements
// done, and that share. Of equal shares, the first in the order of names wins.
func (r *Report) LowestDoneShare() (name string, share float64) {
	share = 2
	for _, n := range slices.Sorted(maps.Keys(r.Workspaces)) {
		c := r.Workspaces[n]
		if c.Sent > 0 && float64(c.Done)/float64(c.Sent) < share {
			name, share = n, float64(c.Done)/float64(c.Sent)
		}
	}
	return name, share
}
