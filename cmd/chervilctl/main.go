// Command chervilctl is the command-line tool for operators. Package ctl implements
// its commands; chervilctl --help lists them with the exit statuses.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"chervilspan.example/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := ctl.Main(ctx, os.Args[1:], ctl.StdEnv())
	stop()
	os.Exit(status)
}
