package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// zones of the deployment, with their regions.
var (
	zoneRegions = map[string]string{"north": "andina", "south": "andina", "coast": "caribe"}
	zoneOrder   = []string{"north", "south", "coast"}
)

// world is a deployment with its platform.
type world struct {
	rec    *recorder
	store  *store
	groups []*group
	nodes  []*node
	// trouble is set when the disruption is to happen.
	trouble bool
	// dir has the settings and logs of the nodes.
	dir string
}

// testCase is a case of the review.
type testCase struct {
	services []string
	// zones are those of the databases, the first of the primary, and nodeZones those of the
	// nodes; nil means all.
	zones, nodeZones []string
	config           func(*world) configuration
	// play returns whether the rule was broken; an error means that the case could not run.
	play func(*world) (broken bool, err error)
}

var cases = map[string]testCase{
	"lost":   lostCase,
	"stale":  staleCase,
	"tenant": tenantCase,
	"join":   joinCase,
}

// orDefault returns zones, or all zones for nil.
func orDefault(zones []string) []string {
	if zones == nil {
		return zoneOrder
	}
	return zones
}

func main() {
	name := flag.String("case", "", "case to play")
	dir := flag.String("dir", "", "folder of the record")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	status, err := runCase(*name, *dir, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(status)
}

func runCase(name, dir string, trouble bool) (status int, err error) {
	c, ok := cases[name]
	if !ok {
		return exitNotRun, fmt.Errorf("no case %q", name)
	}
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return exitNotRun, err
	}
	defer func() { err = errors.Join(err, rec.close()) }()
	w, err := newWorld(c, rec, trouble)
	defer w.stop()
	if err != nil {
		return exitNotRun, err
	}
	broken, err := c.play(w)
	switch {
	case err != nil:
		rec.linef("judge", "the case could not run: %v", err)
		return exitNotRun, err
	case broken:
		rec.linef("judge", "the rule was broken")
		return exitBroken, nil
	}
	rec.linef("judge", "the rule held")
	return exitHeld, nil
}

// newWorld starts the platform, the databases and the nodes. The world is not nil, also
// after an error.
func newWorld(c testCase, rec *recorder, trouble bool) (*world, error) {
	w := &world{rec: rec, store: newStore(), trouble: trouble}
	rec.linef("judge", "trouble: %t", trouble)
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	w.store.serve(storeListener)
	for _, name := range c.services {
		g, err := newGroup(name, c, w.store, rec)
		if err != nil {
			return w, err
		}
		w.groups = append(w.groups, g)
	}
	cloud, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", promote(w.groups))
	go func() { _ = http.Serve(cloud, mux) }()
	w.write(c.config(w))
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return w, err
	}
	w.nodes, err = newNodes(w.dir, zoneRegions, orDefault(c.nodeZones), storeListener.Addr().String(), cloud.Addr().String())
	return w, err
}

// stop ends all processes, and removes their settings and logs unless KEEP is set.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
		_ = n.logs.Close()
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir) // what is left lies in the folder for temporary files
	}
}

// configuration is a desired state.
type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Limits   limits
	Tenants  []tenant
}

type route struct {
	Name, Host, Type           string
	TimeoutMs, TargetLatencyMs int
	Priority                   int
	Service                    string
	MaxStalenessMs             int
	Public                     bool
}

type service struct {
	Name                   string
	MaxConns, SyncReplicas int
}

type limits struct{ TxIdleMs int }

type tenant struct {
	Name            string
	APIKeys         []string `json:"ApiKeys"`
	RatePerS, Burst int
}

// write puts a desired state into the store, which acknowledges it.
func (w *world) write(c configuration) time.Time {
	w.store.put("op/config", c)
	w.rec.linef("operator", "version %d is acknowledged: %+v", c.Version, c)
	return time.Now()
}

// services returns the entries of all groups, with the numbers of a small deployment.
func (w *world) services() []service {
	var out []service
	for _, g := range w.groups {
		out = append(out, service{Name: g.name, MaxConns: 32, SyncReplicas: 1})
	}
	return out
}
