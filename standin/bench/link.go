package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/load"
)

// reportDelay is how long a daemon's counters may take to show in its metrics;
// the daemon reports every second.
const reportDelay = 1100 * time.Millisecond

// linkRate is in reads a second over all workspaces.
const linkRate = 200

// link measures the bytes between daemons of different regions: those of an
// idle fleet, and those of reads that replicas of the reader's zone can serve.
// Traffic between a daemon and a target or the store is not in these counters.
func (m *meter) link(ctx context.Context) error {
	if err := m.linkCases(ctx); err != nil {
		return caseError("link", err)
	}
	return nil
}

func (m *meter) linkCases(ctx context.Context) error {
	g := ident.Group("taller-2")
	if err := m.stage.settle(ctx, g); err != nil {
		return err
	}
	cfg := m.load(string(g), linkRate, m.span(1500*time.Millisecond, 20*time.Second), 0)
	if err := m.warm(ctx, cfg); err != nil {
		return err
	}
	time.Sleep(reportDelay)
	first, err := m.crossings(ctx)
	if err != nil {
		return err
	}
	time.Sleep(m.idle())
	second, err := m.crossings(ctx)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	time.Sleep(reportDelay)
	third, err := m.crossings(ctx)
	if err != nil {
		return err
	}
	return m.printLink(second.since(first), third.since(second), r.Total.Done)
}

// idle returns the time without load. It isn't shortened further, since it must
// be longer than the interval at which daemons report.
func (m *meter) idle() time.Duration {
	if m.cfg.Quick {
		return 2 * time.Second
	}
	return 30 * time.Second
}

func (m *meter) printLink(idle, busy crossings, statements int) error {
	var sum, most float64
	for _, n := range idle.bytes {
		perSecond := n / idle.elapsed.Seconds()
		sum += perSecond
		most = max(most, perSecond)
	}
	total := 0.0
	for _, n := range busy.bytes {
		total += n
	}
	reads := float64(max(statements, 1))
	lines := []Line{
		plain("link", "control_idle_mean_daemon", sum/float64(len(idle.bytes)), "bytes_per_s"),
		plain("link", "control_idle_worst_daemon", most, "bytes_per_s"),
		plain("link", "local_reads_with_control", total/reads, "bytes_per_statement"),
	}
	// In a short run the changes of the control traffic exceed what is left.
	if !m.cfg.Quick {
		rest := total - sum*busy.elapsed.Seconds()
		lines = append(lines, plain("link", "local_reads_less_idle_control", rest/reads, "bytes_per_statement"))
	}
	for _, l := range lines {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// crossings has the bytes that each daemon exchanged with other regions as the
// caller's side. Each message counts at one daemon only.
type crossings struct {
	at      time.Time
	elapsed time.Duration
	bytes   []float64
}

// since returns what was added after an earlier reading.
func (c crossings) since(earlier crossings) crossings {
	out := crossings{elapsed: c.at.Sub(earlier.at), bytes: make([]float64, len(c.bytes))}
	for i := range c.bytes {
		out.bytes[i] = c.bytes[i] - earlier.bytes[i]
	}
	return out
}

func (m *meter) crossings(ctx context.Context) (crossings, error) {
	c := crossings{at: time.Now(), bytes: make([]float64, len(m.stage.f.Daemons))}
	err := each(m.stage.f.Daemons, func(i int, d *fleet.Daemon) (err error) {
		c.bytes[i], err = crossed(ctx, m.stage.f, d)
		return err
	})
	return c, err
}

// crossed reads a daemon's counters. Bytes to a peer whose region is not known
// yet count as bytes to another region.
func crossed(ctx context.Context, f *fleet.Fleet, d *fleet.Daemon) (sum float64, err error) {
	err = attempt(ctx, func(ctx context.Context) error {
		return f.Get(ctx, d, "/metrics", func(r io.Reader) (err error) {
			sum, err = betweenRegions(r, d.Settings.Region)
			return err
		})
	})
	return sum, err
}

// betweenRegions sums the peer counters of all regions but own. A daemon
// without any peer counter is an error, since every daemon pings others.
func betweenRegions(metrics io.Reader, own ident.Region) (sum float64, err error) {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(metrics)
	if err != nil {
		return 0, err
	}
	for _, name := range []string{"chervil_peer_sent_bytes", "chervil_peer_received_bytes"} {
		family := families[name]
		if family == nil {
			return 0, fmt.Errorf("the metrics have no %s", name)
		}
		for _, series := range family.GetMetric() {
			for _, label := range series.GetLabel() {
				if label.GetName() == "peer_region" && label.GetValue() != string(own) {
					sum += series.GetCounter().GetValue()
				}
			}
		}
	}
	return sum, nil
}
