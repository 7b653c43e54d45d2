// Command chervilbench sends load to daemons or targets, measures the objectives
// of section 15 of the design, and measures the resource usage of daemons.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"chervilspan.example/standin/bench"
	"chervilspan.example/standin/capac"
	"chervilspan.example/standin/load"
	"chervilspan.example/standin/target"
)

// loadArgs are the arguments that run and target share.
type loadArgs struct {
	Targets    []string      `arg:"--targets,required" help:"addresses of the group's targets: the table of orders is created there, and read back at the end"`
	User       string        `arg:"--user" default:"proxy" help:"user at the targets"`
	Password   string        `arg:"--password,env:STANDIN_PASSWORD" help:"password at the targets"`
	Rate       float64       `arg:"--rate" default:"100" help:"statements a second"`
	Duration   time.Duration `arg:"--duration" default:"10s"`
	WriteShare float64       `arg:"--write-share" default:"0.1" help:"share of statements that write"`
	Zipf       float64       `arg:"--zipf" default:"1.1" help:"exponent of the workspaces' weights"`
	Sessions   int           `arg:"--sessions" default:"4" help:"connections of each workspace"`
	Seed       uint64        `arg:"--seed" default:"1"`
}

type runArgs struct {
	loadArgs
	Addresses  []string      `arg:"--addresses,required" help:"addresses of daemons"`
	Workspaces []string      `arg:"--workspaces,required" help:"name:key of each workspace"`
	Route      string        `arg:"--route,required" help:"route that sessions connect to"`
	RoamEvery  int           `arg:"--roam-every" help:"statements after which a session moves to the next daemon"`
	Idempotent bool          `arg:"--idempotent" help:"give orders idempotency keys"`
	CA         string        `arg:"--ca" help:"file with the certificate of the daemons' authority; empty means plain text"`
	Deadline   time.Duration `arg:"--deadline" default:"5s" help:"deadline of a statement"`
}

type targetArgs struct {
	loadArgs
	Workspaces int    `arg:"--workspaces" default:"8" help:"number of workspaces"`
	Elect      string `arg:"--elect" help:"id=host:port,...: make the first one the primary of these before the run"`
}

type measureArgs struct {
	Quick bool   `arg:"--quick" help:"shorten every case; ends within 50 s"`
	Seed  uint64 `arg:"--seed" default:"1"`
	Only  string `arg:"--only" help:"run one measure: overhead, memory, reads, link, isolation, configuration, promotions, failover, baseline, refusals"`
}

type capacityArgs struct {
	Only    string `arg:"--only" help:"run one measure: idle, connections, statements, edits, catalogue, serving"`
	Daemons int    `arg:"--daemons" help:"only fleets of so many daemons in idle, edits and serving: 3, 6, 9, 12 or 15"`
}

type args struct {
	Capacity *capacityArgs `arg:"subcommand:capacity" help:"start fleets of several sizes and measure what a daemon costs"`
	Measure  *measureArgs  `arg:"subcommand:measure" help:"start a fleet and measure the objectives"`
	Run      *runArgs      `arg:"subcommand:run" help:"send load to daemons"`
	Target   *targetArgs   `arg:"subcommand:target" help:"send load straight to the primary of a group"`
}

// Description returns the text that --help shows.
func (args) Description() string {
	return "Open-loop load generator and experiment tool of chervilspan. run and target print one JSON object and exit with 1 when an order contradicts its outcome; measure prints one object a line and exits with 1 when an objective is missed."
}

func main() {
	var a args
	p := arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var ok bool
	var err error
	switch {
	case a.Run != nil:
		ok, err = runDaemons(ctx, *a.Run)
	case a.Target != nil:
		ok, err = runTarget(ctx, *a.Target)
	case a.Measure != nil:
		ok, err = measure(ctx, *a.Measure)
	case a.Capacity != nil:
		ok, err = capacity(ctx, *a.Capacity)
	default:
		p.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

func (a loadArgs) access() load.Access {
	return load.Access{Addresses: a.Targets, User: a.User, Password: a.Password}
}

func (a loadArgs) config() load.Config {
	return load.Config{
		Seed: a.Seed, Rate: a.Rate, Duration: a.Duration, WriteShare: a.WriteShare, ZipfExponent: a.Zipf, SessionsPerWorkspace: a.Sessions,
	}
}

func runDaemons(ctx context.Context, a runArgs) (bool, error) {
	cfg := a.config()
	cfg.Addresses, cfg.Route = a.Addresses, a.Route
	cfg.RoamEvery, cfg.Idempotent, cfg.StatementTimeout = a.RoamEvery, a.Idempotent, a.Deadline
	if a.CA != "" {
		raw, err := os.ReadFile(a.CA)
		if err != nil {
			return false, err
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(raw) {
			return false, fmt.Errorf("%s contains no certificate", a.CA)
		}
		cfg.TLS = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
	for _, w := range a.Workspaces {
		name, key, _ := strings.Cut(w, ":")
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{Name: name, Key: key})
	}
	return runLoad(ctx, a.access(), cfg)
}

// runTarget sends load directly to a group's primary as the proxy's user. The
// difference to a run through daemons is the cost of the proxy.
func runTarget(ctx context.Context, a targetArgs) (bool, error) {
	cfg := a.config()
	members, err := target.ParseMembers(a.Elect)
	if err != nil {
		return false, err
	}
	if len(members) > 0 {
		if err := a.access().Elect(ctx, members); err != nil {
			return false, err
		}
	}
	primary, err := a.access().PrimaryAddress(ctx)
	if err != nil {
		return false, err
	}
	cfg.Addresses, cfg.Route, cfg.User = []string{primary}, "orders", a.User
	for i := range a.Workspaces {
		cfg.Workspaces = append(cfg.Workspaces, load.Workspace{Name: fmt.Sprintf("w%d", i+1), Key: a.Password})
	}
	return runLoad(ctx, a.access(), cfg)
}

// measure starts the programs in the directory of its own executable.
func measure(ctx context.Context, a measureArgs) (bool, error) {
	exe, err := os.Executable()
	if err != nil {
		return false, err
	}
	return bench.Measure(ctx, bench.Config{Bin: filepath.Dir(exe), Seed: a.Seed, Quick: a.Quick, Only: a.Only, Out: os.Stdout})
}

// capacity starts the programs in the directory of its own executable.
func capacity(ctx context.Context, a capacityArgs) (bool, error) {
	exe, err := os.Executable()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	err = capac.Measure(ctx, capac.Config{Bin: filepath.Dir(exe), Only: a.Only, Daemons: a.Daemons, Out: os.Stdout})
	return err == nil, err
}

// capacityTimeout bounds all capacity measures together.
const capacityTimeout = 8 * time.Minute

func runLoad(ctx context.Context, access load.Access, cfg load.Config) (bool, error) {
	if err := load.Prepare(ctx, access); err != nil {
		return false, err
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return false, err
	}
	verdict, err := load.Verify(ctx, access, report.Ledger)
	if err != nil {
		return false, err
	}
	out := struct {
		*load.Report
		Verdict load.Verdict `json:"verdict"`
	}{report, verdict}
	ok := verdict.Consistent() && report.StaleReads == 0 && report.WrongAnswers == 0
	return ok, json.NewEncoder(os.Stdout).Encode(out)
}
