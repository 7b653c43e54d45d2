// Command standin-target runs one stand-in database: a server that speaks
// PostgreSQL's protocol and provides what section 7 of the design assumes of a
// target. It is for tests and measurements only.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/target"
)

type args struct {
	ID          string        `arg:"--id,required" help:"identifier of the target"`
	Listen      string        `arg:"--listen" default:"127.0.0.1:0" help:"IP:port"`
	Members     string        `arg:"--members" help:"the group: id=host:port,..."`
	Zone        string        `arg:"--zone" help:"availability zone"`
	Slots       uint32        `arg:"--slots" default:"5" help:"statements that run at once"`
	Connections uint32        `arg:"--connections" default:"30" help:"connections that are accepted"`
	Connect     time.Duration `arg:"--connect" default:"10ms" help:"cost of a new connection"`
	Service     time.Duration `arg:"--service" default:"0s" help:"service time of a statement"`
	Lag         time.Duration `arg:"--lag" default:"0s" help:"time until a replica applies an entry"`
	Rebuild     time.Duration `arg:"--rebuild" default:"0s" help:"time that a rebuild of diverged data takes"`
	User        string        `arg:"--user" help:"user of the proxy; empty lets all in"`
	Password    string        `arg:"--password,env:STANDIN_PASSWORD" help:"password of the proxy, of administrators and of replicas"`
	DataDir     string        `arg:"--data-dir" help:"directory that keeps log and promises; empty means memory only"`
}

// Description returns the text that --help shows.
func (args) Description() string { return "Runs a stand-in database for tests of chervilspan." }

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func run(a args) error {
	members, err := target.ParseMembers(a.Members)
	if err != nil {
		return err
	}
	s, err := target.New(target.Config{
		ID: ident.Target(a.ID), Listen: a.Listen, Members: members, Zone: ident.Zone(a.Zone),
		Slots: a.Slots, ConnLimit: a.Connections, ConnectDelay: a.Connect, ServiceTime: a.Service, Lag: a.Lag, RebuildDelay: a.Rebuild,
		User: a.User, Password: a.Password, DataDir: a.DataDir,
		Log: zerolog.New(os.Stderr).With().Timestamp().Logger(),
	})
	if err != nil {
		return err
	}
	fmt.Println("listening on", s.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return s.Close()
}
