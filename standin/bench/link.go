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

// metricsReportDelay is the time after which a daemon's metrics include its
// latest counts; the daemon updates them every second.
const metricsReportDelay = 1100 * time.Millisecond

// linkReadRate is in reads per second over all workspaces.
const linkReadRate = 200

// measureLink measures the bytes between daemons of different regions: those of
// an idle fleet, and those during reads that replicas in the reader's zone can
// serve. The counters do not include traffic between a daemon and a target or
// the store.
func (m *measurement) measureLink(ctx context.Context) error {
	if err := m.runLinkCases(ctx); err != nil {
		return caseError("link", err)
	}
	return nil
}

func (m *measurement) runLinkCases(ctx context.Context) error {
	g := ident.Group("taller-2")
	if err := m.testbed.waitSettled(ctx, g); err != nil {
		return err
	}
	cfg := m.loadConfig(string(g), linkReadRate, m.runDuration(1500*time.Millisecond, 20*time.Second), 0)
	if err := m.warmUp(ctx, cfg); err != nil {
		return err
	}
	time.Sleep(metricsReportDelay)
	first, err := m.readTraffic(ctx)
	if err != nil {
		return err
	}
	time.Sleep(m.idleDuration())
	second, err := m.readTraffic(ctx)
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	time.Sleep(metricsReportDelay)
	third, err := m.readTraffic(ctx)
	if err != nil {
		return err
	}
	return m.printLink(second.since(first), third.since(second), r.Total.Done)
}

// idleDuration returns the length of the interval without load. It is not scaled
// by runScale, because it must be longer than the interval at which daemons
// update their metrics.
func (m *measurement) idleDuration() time.Duration {
	if m.cfg.Quick {
		return 2 * time.Second
	}
	return 30 * time.Second
}

func (m *measurement) printLink(idle, busy interRegionTraffic, statements int) error {
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
		withoutObjective("link", "control_idle_mean_daemon", sum/float64(len(idle.bytes)), "bytes_per_s"),
		withoutObjective("link", "control_idle_worst_daemon", most, "bytes_per_s"),
		withoutObjective("link", "local_reads_with_control", total/reads, "bytes_per_statement"),
	}
	// In a short run, variations of the control traffic exceed the remainder.
	if !m.cfg.Quick {
		withoutControl := total - sum*busy.elapsed.Seconds()
		lines = append(lines, withoutObjective("link", "local_reads_less_idle_control", withoutControl/reads, "bytes_per_statement"))
	}
	for _, l := range lines {
		if err := m.out.print(l); err != nil {
			return err
		}
	}
	return nil
}

// interRegionTraffic holds the bytes that each daemon exchanged with other
// regions as a client. Each message counts at one daemon only.
type interRegionTraffic struct {
	at      time.Time
	elapsed time.Duration
	bytes   []float64
}

// since returns the difference to an earlier reading.
func (c interRegionTraffic) since(earlier interRegionTraffic) interRegionTraffic {
	out := interRegionTraffic{elapsed: c.at.Sub(earlier.at), bytes: make([]float64, len(c.bytes))}
	for i := range c.bytes {
		out.bytes[i] = c.bytes[i] - earlier.bytes[i]
	}
	return out
}

func (m *measurement) readTraffic(ctx context.Context) (interRegionTraffic, error) {
	c := interRegionTraffic{at: time.Now(), bytes: make([]float64, len(m.testbed.fleet.Daemons))}
	err := forEachDaemon(m.testbed.fleet.Daemons, func(i int, d *fleet.Daemon) (err error) {
		c.bytes[i], err = readDaemonTraffic(ctx, m.testbed.fleet, d)
		return err
	})
	return c, err
}

// readDaemonTraffic reads a daemon's counters. Bytes exchanged with a peer whose
// region is not known yet count as bytes exchanged with another region.
func readDaemonTraffic(ctx context.Context, f *fleet.Fleet, d *fleet.Daemon) (sum float64, err error) {
	err = tryOnce(ctx, func(ctx context.Context) error {
		return f.GetAdminPage(ctx, d, "/metrics", func(r io.Reader) (err error) {
			sum, err = sumInterRegionBytes(r, d.Settings.Region)
			return err
		})
	})
	return sum, err
}

// sumInterRegionBytes sums the peer counters of all regions but own. Missing
// peer counters are an error, because every daemon pings others.
func sumInterRegionBytes(metrics io.Reader, own ident.Region) (sum float64, err error) {
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
