// Package ctl has the commands of chervilctl, the operators' program. Each
// command talks to one daemon, any of the fleet, over mutual TLS.
//
// Results go to the output, as text or with --json as one JSON value; errors
// and progress go to the error output, one line each. The exit status is 0
// when the command was done, 1 when it failed, 2 for bad input and 3 for a lost
// race.
//
// # Usage
//
//	os.Exit(ctl.Main(ctx, os.Args[1:], ctl.Std()))
package ctl
