package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"

	"github.com/alexflint/go-arg"

	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/adminpb"
)

// Env is what a command works with.
type Env struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Dial gives a client of the daemon at an address.
	Dial func(address string) (adminpb.AdminClient, error)
	// Edit lets the operator change a file.
	Edit func(ctx context.Context, path string) error
}

// StdEnv returns the Env of a process. Its Dial is set by Main from the arguments.
func StdEnv() Env {
	return Env{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Edit: openEditor}
}

func openEditor(ctx context.Context, path string) error {
	editor := os.Getenv("EDITOR")
	if editor == "" {
		editor = "vi"
	}
	// The variable may hold arguments, as in EDITOR="code --wait".
	cmd := exec.CommandContext(ctx, "sh", "-c", editor+` "$1"`, "sh", path)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	return cmd.Run()
}

// command is one run of the program.
type command struct {
	args args
	env  Env
}

// Main runs a command line and returns the exit status.
func Main(ctx context.Context, argv []string, env Env) int {
	c := &command{env: env}
	p, err := arg.NewParser(arg.Config{Program: "chervilctl", Out: env.Out}, &c.args)
	if err != nil {
		return c.report(failed("arguments", err))
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		// The subcommands come from Parse, so that they are known.
		_ = p.WriteHelpForSubcommand(env.Out, p.SubcommandNames()...)
		return ExitDone
	case err != nil:
		return c.report(badInput("arguments", err.Error()+"; chervilctl --help lists what is allowed"))
	}
	if c.env.Dial == nil {
		cache, err := c.cache()
		if err != nil {
			return c.report(err)
		}
		defer cache.Close()
		c.env.Dial = cache.Admin
	}
	return c.report(c.run(ctx, p))
}

// cache opens the operator's certificates when there are any.
func (c *command) cache() (*peer.Cache, error) {
	cfg := peer.CacheConfig{AllowLoopbackPlaintext: c.args.Plain}
	if c.args.Cert != "" || c.args.Key != "" || c.args.CA != "" {
		keys, err := peer.LoadCertificates(peer.Files{Cert: c.args.Cert, Key: c.args.Key, CA: c.args.CA, ServerName: c.args.ServerName})
		if err != nil {
			return nil, badInput("certificates", err.Error())
		}
		cfg.Certificates = keys
	}
	return peer.NewCache(cfg), nil
}

func (c *command) run(ctx context.Context, p *arg.Parser) error {
	a := c.args
	switch {
	case a.Get != nil:
		return c.get(ctx, a.Get)
	case a.Edit != nil:
		return c.edit(ctx, a.Edit)
	case a.Apply != nil:
		return c.apply(ctx, a.Apply)
	case a.Diff != nil:
		return c.diff(ctx, a.Diff)
	case a.Validate != nil:
		return c.validate(a.Validate)
	case a.History != nil:
		return c.history(ctx, a.History)
	case a.Rollback != nil:
		return c.rollback(ctx, a.Rollback)
	case a.Keys != nil:
		return c.keys(ctx, a.Keys)
	case a.Status != nil:
		return c.status(ctx)
	case a.Top != nil:
		return c.top(ctx, a.Top)
	case a.Drain != nil:
		return c.drain(ctx, a.Drain)
	case a.Completion != nil:
		return c.completion(a.Completion)
	}
	p.WriteHelp(c.env.Out)
	return badInput("arguments", "a command is missing")
}

// report prints an error, one line for each problem, and returns the exit
// status.
func (c *command) report(err error) int {
	if err == nil {
		return ExitDone
	}
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Op: "failed", Kind: KindFailed, Lines: []string{err.Error()}}
	}
	if c.args.JSON {
		_ = json.NewEncoder(c.env.Err).Encode(struct {
			Command string   `json:"command"`
			Errors  []string `json:"errors"`
			Status  int      `json:"exit_status"`
		}{e.Op, e.Lines, exitCode(e)})
		return exitCode(e)
	}
	for _, l := range e.Lines {
		_, _ = fmt.Fprintf(c.env.Err, "chervilctl: %s: %s\n", e.Op, l)
	}
	return exitCode(e)
}

// print writes a result: v as JSON, or the text.
func (c *command) print(v any, text string) error {
	if !c.args.JSON {
		_, err := io.WriteString(c.env.Out, text)
		return err
	}
	enc := json.NewEncoder(c.env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// client connects to the daemon of --server.
func (c *command) client(op string) (adminpb.AdminClient, error) {
	client, err := c.env.Dial(c.args.Server)
	if err != nil {
		return nil, badInput(op, err.Error()+"; give --cert, --key and --ca, or --plain for a loopback address")
	}
	return client, nil
}
