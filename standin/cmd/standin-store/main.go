// Command standin-store runs the stand-in for the platform's key-value service.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"google.golang.org/grpc"

	"chervilspan.example/internal/proto/storepb"
	"chervilspan.example/standin/strsrv"
)

type args struct {
	Listen  string `arg:"--listen" default:"127.0.0.1:7100" help:"address of the store service"`
	Control string `arg:"--control" default:"127.0.0.1:7101" help:"address of the HTTP fault control"`
}

// Description returns the text that --help shows.
func (args) Description() string {
	return "Stand-in for the platform's key-value service, in memory, for tests and the demo."
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin-store:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	s := strsrv.New()
	l, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return err
	}
	g := grpc.NewServer()
	storepb.RegisterStoreServer(g, s)
	control := &http.Server{Addr: a.Control, Handler: s.ControlHandler(), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 2)
	go func() { failed <- g.Serve(l) }()
	go func() { failed <- control.ListenAndServe() }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case err := <-failed:
		return err
	case <-stop:
		g.Stop()
		return control.Close()
	}
}
