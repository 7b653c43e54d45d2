// Command chervild is the entry daemon of chervilspan. It serves callers with
// the PostgreSQL protocol and routes their statements to database groups.
//
// Exit statuses: 0 after a complete drain, 1 on an error while running or when
// sessions were cut, 2 on bad settings or arguments.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"

	"chervilspan.example/internal/conf"
	"chervilspan.example/internal/entry"
)

const (
	exitFailed   = 1
	exitBadInput = 2
)

type args struct {
	Config      string `arg:"--config,-c" placeholder:"FILE" help:"settings file (JSON)"`
	Check       bool   `arg:"--check" help:"check the settings and stop"`
	PrintConfig bool   `arg:"--print-config" help:"print the settings with their defaults and stop"`
}

// Description is shown by --help.
func (args) Description() string {
	return "chervild is the entry daemon of chervilspan, a PostgreSQL proxy with session consistency."
}

// Epilogue is shown by --help.
func (args) Epilogue() string {
	return "Exit statuses: 0 complete drain, 1 error or cut sessions, 2 bad settings or arguments.\nSignals: SIGTERM drains (a second one stops at once), SIGHUP reads certificates and changeable settings again."
}

// Version is shown by --version.
func (args) Version() string { return "chervild " + version() }

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown version)"
	}
	return info.Main.Version + " " + info.GoVersion
}

func main() { os.Exit(run(os.Args[1:])) }

func run(argv []string) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "chervild"}, &a)
	if err != nil {
		return fail(exitFailed, err)
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(os.Stdout)
		return 0
	case errors.Is(err, arg.ErrVersion):
		fmt.Println(a.Version())
		return 0
	case err != nil:
		return fail(exitBadInput, err)
	}
	if a.Config == "" {
		return fail(exitBadInput, errors.New("--config is required; see --help"))
	}
	cfg, err := conf.Load(a.Config)
	if err != nil {
		return fail(exitBadInput, err)
	}
	switch {
	case a.PrintConfig:
		return printConfig(cfg)
	case a.Check:
		for _, w := range conf.Warnings(cfg) {
			fmt.Println("warning: " + w)
		}
		fmt.Println(a.Config + ": ok")
		return 0
	}
	return serve(a.Config, cfg)
}

func serve(file string, cfg *conf.Settings) int {
	d, err := entry.New(file, cfg)
	if err != nil {
		return fail(exitFailed, err)
	}
	cut, err := d.Run(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	if cut > 0 {
		return exitFailed
	}
	return 0
}

func printConfig(cfg *conf.Settings) int {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(cfg.WithDefaults()); err != nil {
		return fail(exitFailed, err)
	}
	return 0
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "chervild:", err)
	return code
}
