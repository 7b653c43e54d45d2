package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file starts it.
const program = "target/chervilnode"

// readyTimeout is how long the processes may take until they are ready.
const readyTimeout = 20 * time.Second

// node is a VM on which a process of the system runs.
type node struct {
	name     string
	zone     string
	callers  string
	ready    string
	settings string
	logs     *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Ports of nodes are taken from firstPort on, below those of outgoing connections, which could
// take a port before its node listens there.
const (
	firstPort = 15_000
	portCount = 15_000
	portTries = 100
)

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(portCount))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// newNodes writes the settings of one node for each zone, with the values of a small
// deployment, and starts the processes.
func newNodes(dir string, zones map[string]string, order []string, storeAddress, cloudAddress string) ([]*node, error) {
	type addresses struct{ callers, ready, peers, metrics string }
	all := make([]addresses, len(order))
	var seeds []string
	for i := range all {
		for _, p := range []*string{&all[i].callers, &all[i].ready, &all[i].peers, &all[i].metrics} {
			a, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*p = a
		}
		seeds = append(seeds, all[i].peers)
	}
	var out []*node
	for i, zone := range order {
		n := &node{
			name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, callers: all[i].callers, ready: all[i].ready,
			settings: filepath.Join(dir, fmt.Sprintf("boot-%d.json", i+1)),
		}
		// The fields are those of the project's template of the settings.
		raw, err := json.MarshalIndent(map[string]any{
			"vm": n.name, "zone": zone, "region": zones[zone], "zones": zones,
			"callers": n.callers, "ready": n.ready, "peers": all[i].peers, "metrics": all[i].metrics, "seeds": seeds,
			"store": storeAddress, "platform": cloudAddress, "fenced_promotions": true, "first_start": true,
			"rate_excess": map[string]any{"window_s": 5, "part": 0.1, "tokens": 20},
			"config_ms":   "4000", "evacuate_ms": "", "memory_mb": 284, "grace_s": 6,
		}, "", "  ")
		if err != nil {
			return out, err
		}
		if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
			return out, err
		}
		if n.logs, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return out, err
		}
		out = append(out, n)
		if err := n.start(); err != nil {
			return out, err
		}
	}
	return out, awaitReady(out)
}

// start starts the process of a node.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(program, "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = n.logs, n.logs
	// The process ends with this one, however that ends.
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	p := n.process
	go func() {
		_ = p.Wait() // how it ended does not matter
		close(exited)
	}()
	return nil
}

// kill ends the process of a node and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	p, exited := n.process, n.exited
	n.mu.Unlock()
	if p == nil || p.Process == nil {
		return
	}
	_ = p.Process.Kill() // an error means that it has ended
	<-exited
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(nodes []*node) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range nodes {
			all = all && n.isReady()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after %s", readyTimeout)
}
