// Package ctl implements chervilctl, the operators' command-line program. Each
// command calls one daemon, which may be any of the fleet, over mutual TLS.
//
// Results go to the standard output, as text or, with --json, as one JSON value.
// Errors and progress go to the standard error, one line each. The exit status is 0
// when the command succeeded, 1 when it failed, 2 for bad input and 3 for a lost race
// against another operator's edit.
//
// # Usage
//
//	os.Exit(ctl.Main(ctx, os.Args[1:], ctl.StdEnv()))
package ctl
