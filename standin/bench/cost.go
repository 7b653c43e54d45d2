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

// overheadRate is in statements per second, about the load of one VM at design
// scale.
const overheadRate = 300

// measureOverhead compares the latency of a load through one daemon with that of
// the same load sent directly to the primary.
func (m *measurement) measureOverhead(ctx context.Context) error {
	tb := m.testbed
	g := ident.Group("taller-1")
	cfg := m.loadConfig(string(g), overheadRate, m.runDuration(1200*time.Millisecond, 20*time.Second), 0.2)
	cfg.SessionsPerWorkspace = 2
	primary, err := tb.fleet.Primary(ctx, g)
	if err != nil {
		return caseError("overhead", err)
	}
	direct := cfg
	direct.Addresses, direct.TLS, direct.User = []string{primary.Address}, nil, fleet.ProxyUser
	direct.Workspaces = nil
	for _, w := range cfg.Workspaces {
		direct.Workspaces = append(direct.Workspaces, load.Workspace{Name: w.Name, Key: tb.password, Weight: w.Weight})
	}
	cfg.Addresses = cfg.Addresses[:1]
	if err := m.warmUp(ctx, direct); err != nil {
		return caseError("overhead", err)
	}
	directReport, err := m.runVerified(ctx, g, "overhead_straight", direct)
	if err != nil {
		return caseError("overhead", err)
	}
	if err := m.warmUp(ctx, cfg); err != nil {
		return caseError("overhead", err)
	}
	pid := tb.fleet.Daemons[0].Proc().Pid()
	before, err := cpuTime(pid)
	if err != nil {
		return caseError("overhead", err)
	}
	proxiedReport, err := m.runVerified(ctx, g, "overhead_proxied", cfg)
	if err != nil {
		return caseError("overhead", err)
	}
	after, err := cpuTime(pid)
	if err != nil {
		return caseError("overhead", err)
	}
	perStatement := (after - before).Seconds() * 1e6 / float64(max(proxiedReport.Total.Sent, 1))
	if err := m.out.print(withoutObjective("overhead", "daemon_processor_time", perStatement, "us_per_statement")); err != nil {
		return err
	}
	for _, class := range []string{"read", "write"} {
		a, b := directReport.Latency["/"+class], proxiedReport.Latency["/"+class]
		for _, l := range []Line{
			withoutObjective("overhead", class+"_p50_straight", a.P50, "ms"), withoutObjective("overhead", class+"_p50_through_a_daemon", b.P50, "ms"),
			withoutObjective("overhead", class+"_p99_straight", a.P99, "ms"), withoutObjective("overhead", class+"_p99_through_a_daemon", b.P99, "ms"),
		} {
			if err := m.out.print(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureMemory measures a daemon's resident memory per idle client connection.
func (m *measurement) measureMemory(ctx context.Context) error {
	n := 400
	if m.cfg.Quick {
		n = 200
	}
	d := m.testbed.fleet.Daemons[1]
	before, err := residentKB(d.Proc().Pid())
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
		c, err := m.testbed.fleet.Connect(ctx, d, m.testbed.fleet.Workspaces()[0], "taller-1")
		if err != nil {
			return caseError("memory", err)
		}
		conns = append(conns, c)
	}
	after, err := residentKB(d.Proc().Pid())
	if err != nil {
		return caseError("memory", err)
	}
	return m.out.print(withoutObjective("memory", fmt.Sprintf("%d_idle_connections", n), (after-before)/float64(n), "KB_per_connection"))
}

// residentKB returns the resident memory of a process in KB.
func residentKB(pid int) (float64, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
		}
	}
	return 0, fmt.Errorf("process %d has no VmRSS in /proc", pid)
}

// clockTick is the unit of CPU time in /proc, which Linux fixes at 10 ms.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("process %d has no CPU times in /proc", pid)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}
