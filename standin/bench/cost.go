package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/load"
)

// overheadRate is in statements a second, about what a VM has at design scale.
const overheadRate = 300

// overhead compares the latency of the same load through one daemon with that
// straight at the targets.
func (m *meter) overhead(ctx context.Context) error {
	s := m.stage
	g := ident.Group("taller-1")
	cfg := m.load(string(g), overheadRate, m.span(1200*time.Millisecond, 20*time.Second), 0.2)
	cfg.SessionsPerWorkspace = 2
	primary, err := s.f.Primary(ctx, g)
	if err != nil {
		return caseError("overhead", err)
	}
	straight := cfg
	straight.Addresses, straight.TLS, straight.User = []string{primary.Address}, nil, fleet.Proxy
	straight.Workspaces = nil
	for _, w := range cfg.Workspaces {
		straight.Workspaces = append(straight.Workspaces, load.Workspace{Name: w.Name, Key: s.password, Weight: w.Weight})
	}
	cfg.Addresses = cfg.Addresses[:1]
	if err := m.warm(ctx, straight); err != nil {
		return caseError("overhead", err)
	}
	bare, err := m.run(ctx, g, "overhead_straight", straight)
	if err != nil {
		return caseError("overhead", err)
	}
	if err := m.warm(ctx, cfg); err != nil {
		return caseError("overhead", err)
	}
	pid := s.f.Daemons[0].Proc().Pid()
	used, err := processorTime(pid)
	if err != nil {
		return caseError("overhead", err)
	}
	proxied, err := m.run(ctx, g, "overhead_proxied", cfg)
	if err != nil {
		return caseError("overhead", err)
	}
	after, err := processorTime(pid)
	if err != nil {
		return caseError("overhead", err)
	}
	perStatement := (after - used).Seconds() * 1e6 / float64(max(proxied.Total.Sent, 1))
	if err := m.out.print(plain("overhead", "daemon_processor_time", perStatement, "us_per_statement")); err != nil {
		return err
	}
	for _, class := range []string{"read", "write"} {
		a, b := bare.Latency["/"+class], proxied.Latency["/"+class]
		for _, l := range []Line{
			plain("overhead", class+"_p50_straight", a.P50, "ms"), plain("overhead", class+"_p50_through_a_daemon", b.P50, "ms"),
			plain("overhead", class+"_p99_straight", a.P99, "ms"), plain("overhead", class+"_p99_through_a_daemon", b.P99, "ms"),
		} {
			if err := m.out.print(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// memory measures a daemon's resident memory per idle client connection.
func (m *meter) memory(ctx context.Context) error {
	n := 400
	if m.cfg.Quick {
		n = 200
	}
	d := m.stage.f.Daemons[1]
	before, err := resident(d.Proc().Pid())
	if err != nil {
		return caseError("memory", err)
	}
	conns := make([]*pgx.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close(ctx)
		}
	}()
	for range n {
		c, err := m.stage.f.Connect(ctx, d, m.stage.f.Workspaces()[0], "taller-1")
		if err != nil {
			return caseError("memory", err)
		}
		conns = append(conns, c)
	}
	after, err := resident(d.Proc().Pid())
	if err != nil {
		return caseError("memory", err)
	}
	return m.out.print(plain("memory", fmt.Sprintf("%d_idle_connections", n), (after-before)/float64(n), "KB_per_connection"))
}

// resident returns the resident memory of a process in KB.
func resident(pid int) (float64, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
		}
	}
	return 0, fmt.Errorf("process %d has no VmRSS", pid)
}

// tick is the unit of processor time in /proc, which Linux fixes at 10 ms.
const tick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d has no times", pid)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * tick, err
}
