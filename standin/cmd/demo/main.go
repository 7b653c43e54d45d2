// Command demo starts a small deployment on loopback, runs an order flow
// through it with an unchanged PostgreSQL client, and prints what happened. It
// exits with 0 when every step went as promised and with 1 and the reason
// otherwise.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"chervilspan.example/standin/fleet"
)

// limit bounds the whole run.
const limit = 60 * time.Second

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
	fmt.Println("demo: all steps went as promised")
}

func run(ctx context.Context) (err error) {
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	layout := fleet.Workshop()
	layout.Groups = layout.Groups[:1]
	f, err := fleet.New(fleet.Config{Bin: filepath.Dir(exe), Layout: layout})
	if err != nil {
		return err
	}
	defer func() {
		if stopErr := f.Stop(); err == nil {
			err = stopErr
		}
	}()
	s := &script{fleet: f, started: time.Now(), ws: layout.Workspaces[0], route: "taller-1"}
	for _, step := range s.steps() {
		text, err := step.run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		fmt.Printf("%6.2f s  %-34s %s\n", time.Since(s.started).Seconds(), step.name, text)
	}
	return nil
}
