package load

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxMicros is the greatest latency that histograms hold.
const maxMicros = 120_000_000

// Latency has quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Counts of statements by outcome.
type Counts struct {
	Sent    int `json:"sent"`
	Done    int `json:"done"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Codes counts errors by SQLSTATE or reason.
	Codes map[string]int `json:"codes,omitempty"`
}

// Span is the time from sending a statement to its answer, since the start of
// the run by the clock of the load tool.
type Span struct {
	Sent, Answered time.Duration
}

// Report is what a run gave.
type Report struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	Total   Counts  `json:"total"`
	// Workspaces by name.
	Workspaces map[string]Counts `json:"workspaces"`
	// Latency of done statements by workspace and class, as "name/class", and
	// of all as "/class".
	Latency map[string]Latency `json:"latency"`
	// Stale counts reads that missed an acknowledged order of their session,
	// Wrong those that answered another question.
	StaleReads   int `json:"stale"`
	WrongAnswers int `json:"wrong"`
	// Gap is the longest time without a write that was done, in milliseconds.
	WriteGapMS float64 `json:"gap_ms"`
	// Connects is the number of connections that were opened.
	Connects int `json:"connects"`

	Ledger *Ledger `json:"-"`
	// Spans has those of each workspace's done statements, in any order.
	Spans map[string][]Span `json:"-"`

	hist map[string]*hdrhistogram.Histogram
}

// Quantile returns a quantile, 0 to 100, of the latency in milliseconds over
// both classes of the workspaces that pick accepts.
func (r *Report) Quantile(q float64, pick func(workspace string) bool) float64 {
	sum := hdrhistogram.New(1, maxMicros, 3)
	for name, h := range r.hist {
		if pick(name) {
			sum.Merge(h)
		}
	}
	return float64(sum.ValueAtQuantile(q)) / 1000
}

type series struct {
	workspace int
	class     Class
}

// recorder collects results of all sessions.
type recorder struct {
	cfg   Config
	start time.Time

	mu       sync.Mutex
	ledger   Ledger
	counts   []Counts
	hist     map[series]*hdrhistogram.Histogram
	spans    [][]Span
	written  []time.Duration
	stale    int
	wrong    int
	connects int
}

func newRecorder(cfg Config) *recorder {
	n := len(cfg.Workspaces)
	return &recorder{cfg: cfg, counts: make([]Counts, n), spans: make([][]Span, n), hist: map[series]*hdrhistogram.Histogram{}}
}

// done takes the result of an arrival, whose latency counts from the time it
// was meant to be sent. sent is when it was really sent, for one that is done.
func (r *recorder) done(a Arrival, sent time.Duration, o Outcome, reason string) {
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
		r.written = append(r.written, now)
	}
	s := series{a.Workspace, a.Class}
	if r.hist[s] == nil {
		r.hist[s] = hdrhistogram.New(1, maxMicros, 3)
	}
	_ = r.hist[s].RecordValue(min(max((now-a.At).Microseconds(), 1), maxMicros))
}

func (r *recorder) add(field *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*field++
}

func (r *recorder) report(took time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{
		Seed: r.cfg.Seed, Seconds: took.Seconds(), Workspaces: map[string]Counts{}, Latency: map[string]Latency{},
		StaleReads: r.stale, WrongAnswers: r.wrong, Connects: r.connects, Ledger: &r.ledger, Spans: map[string][]Span{}, Total: Counts{Codes: map[string]int{}},
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
	var all [classes]*hdrhistogram.Histogram
	for i := range all {
		all[i] = hdrhistogram.New(1, maxMicros, 3)
	}
	out.hist = map[string]*hdrhistogram.Histogram{}
	for _, w := range r.cfg.Workspaces {
		out.hist[w.Name] = hdrhistogram.New(1, maxMicros, 3)
	}
	for s, h := range r.hist {
		out.hist[r.cfg.Workspaces[s.workspace].Name].Merge(h)
		out.Latency[r.cfg.Workspaces[s.workspace].Name+"/"+s.class.String()] = latencyOf(h)
		all[s.class].Merge(h)
	}
	for i, h := range all {
		out.Latency["/"+Class(i).String()] = latencyOf(h)
	}
	out.WriteGapMS = longestGap(r.written, r.cfg.Duration)
	return out
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// longestGap returns the longest time between consecutive moments from 0 to
// end, in milliseconds. Later moments are left out: nothing was asked for then.
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

// Worst returns the workspace with the lowest share of statements done, and
// that share. Names break ties.
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
