// Command demo starts two small deployments on loopback, one after the other,
// runs an order flow through each with an unmodified PostgreSQL client, and
// prints the results. It exits with status 0 when every step succeeds. Otherwise
// it prints the reason and exits with status 1.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/fleet"
)

// stepsTimeout bounds all steps of a deployment.
const stepsTimeout = 60 * time.Second

type args struct {
	Keep bool `arg:"--keep" help:"after the steps, leave everything running until an interrupt"`
}

// Description returns the text that --help shows.
func (args) Description() string {
	return "Starts a small deployment on loopback, runs an order flow through it and prints what happened."
}

func main() {
	var a args
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, a.Keep); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("demo: all steps succeeded")
}

func run(ctx context.Context, keep bool) error {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	bin := filepath.Dir(exe)
	fmt.Println("association: zagreb, osijek (kontinentalna), split (jadran)")
	if err := deploy(ctx, bin, fleet.Association(), false); err != nil {
		return err
	}
	fmt.Println("workshop: bogota-norte, bogota-sur (andina), barranquilla (caribe)")
	return deploy(ctx, bin, fleet.Workshop(), keep)
}

// deploy starts a layout with its first database group only, runs the steps and
// stops all processes. With keep set, it waits for an interrupt before it stops
// them.
func deploy(ctx context.Context, bin string, layout fleet.Layout, keep bool) (err error) {
	layout.Groups = layout.Groups[:1]
	f, err := fleet.New(fleet.Config{Bin: bin, Layout: layout})
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
	}()
	if err := runSteps(ctx, f, layout); err != nil || !keep {
		return err
	}
	printAccess(f, bin)
	<-ctx.Done()
	return nil
}

func runSteps(ctx context.Context, f *fleet.Fleet, layout fleet.Layout) error {
	ctx, cancel := context.WithTimeout(ctx, stepsTimeout)
	defer cancel()
	s := &script{fleet: f, started: time.Now(), ws: layout.Workspaces[0], route: ident.Route(layout.Groups[0])}
	for _, step := range s.steps() {
		text, err := step.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%6.2f s  %-34s %s\n", time.Since(s.started).Seconds(), step.name, text)
	}
	return nil
}

// printAccess prints how to reach the running deployment.
func printAccess(f *fleet.Fleet, bin string) {
	cert, key, ca := f.OperatorFiles()
	fmt.Printf("\nstill running until an interrupt; operate it with\n  export CHERVIL_SERVER=%s CHERVIL_CERT=%s CHERVIL_KEY=%s CHERVIL_CA=%s\n  %s status\n",
		f.Daemons[0].PeerAddress, cert, key, ca, filepath.Join(bin, "chervilctl"))
	for _, d := range f.Daemons {
		fmt.Printf("  %-16s callers %s, peers %s, admin http://%s\n", d.Settings.VM, d.CallerAddress, d.PeerAddress, d.AdminAddress)
	}
}
