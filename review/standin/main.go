// Command standin runs one case of the review: it starts the platform's store, the
// promotion call and a service of three databases as stand-ins, the VMs as separate
// processes with the command of the deploy file, and callers, and writes what it saw to a
// record.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	w     *bufio.Writer
	start time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
}

// cloud is the platform's promotion call.
type cloud struct {
	rec *recorder
	g   *group

	mu sync.Mutex
	// late is for how long after its arrival a call is carried out that gets no answer;
	// 0 means that calls are answered.
	late time.Duration
	// lateTarget is the database that the first late call names.
	lateTarget string
}

func (c *cloud) setLate(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = d
}

func (c *cloud) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lateTarget
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string
		ID      string `json:"Id"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Chervilspan-Fence-Token"), 10, 64)
	if r.URL.Path != "/promotion" || json.NewDecoder(r.Body).Decode(&in) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Chervilspan-Duty-Holder")
	c.mu.Lock()
	late := c.late
	if late > 0 && c.lateTarget == "" {
		c.lateTarget = in.ID
	}
	c.mu.Unlock()
	if late == 0 {
		status := c.carryOut(in.Service, in.ID, token)
		c.rec.add("POST /promotion %s by %s with %d: %d", in.ID, holder, token, status)
		w.WriteHeader(status)
		return
	}
	c.rec.add("POST /promotion %s by %s with %d: no answer, to be carried out %v later", in.ID, holder, token, late)
	time.AfterFunc(late, func() {
		c.rec.add("late POST /promotion %s by %s with %d is carried out: %d", in.ID, holder, token, c.carryOut(in.Service, in.ID, token))
	})
	select {
	case <-r.Context().Done():
	case <-time.After(late):
	}
	panic(http.ErrAbortHandler)
}

// carryOut checks the generation number and starts the promotion.
func (c *cloud) carryOut(service, id string, token int64) int {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if service != g.name || token < g.highestToken {
		return http.StatusConflict
	}
	g.highestToken = token
	for _, d := range g.dbs {
		if d.id != id {
			continue
		}
		switch {
		case d.down:
			return http.StatusConflict
		case g.primary != d:
			go g.promote(d)
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// vm is a process of the system.
type vm struct {
	name, ip string
	callers  string
	ready    string
	peers    string
	// start starts the process; cmd is the one that was started last.
	start func() error
	cmd   *exec.Cmd
}

// free returns an unused address of an IP.
func free(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// memoryMB is the memory of a machine.
const memoryMB = 284

var zones = map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}

// startVMs starts one VM in each zone.
func startVMs(bin, dir, store, platform string) ([]*vm, error) {
	var vms []*vm
	var seeds []string
	for i := range 3 {
		v := &vm{name: fmt.Sprintf("front-z%d-1", i+1), ip: fmt.Sprintf("127.1.%d.2", i+1)}
		for _, a := range []*string{&v.callers, &v.ready, &v.peers} {
			var err error
			if *a, err = free(v.ip); err != nil {
				return vms, err
			}
		}
		seeds = append(seeds, v.peers)
		vms = append(vms, v)
	}
	for i, v := range vms {
		zone := fmt.Sprintf("z%d", i+1)
		raw, err := json.Marshal(map[string]any{
			"vm": v.name, "zone": zone, "region": zones[zone], "zones": zones, "callers": v.callers, "ready": v.ready, "peers": v.peers,
			"seeds": seeds, "store": store, "platform": platform, "fenced_promotions": true, "first_start": true,
			"rate_excess": map[string]any{"window_s": 5, "part": 0.1, "tokens": 20}, "config_ms": "4000", "memory_mb": memoryMB, "grace_s": 6,
		})
		if err != nil {
			return vms, err
		}
		path := filepath.Join(dir, v.name+".json")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			return vms, err
		}
		out, err := os.Create(filepath.Join(dir, v.name+".log"))
		if err != nil {
			return vms, err
		}
		v.start = func() error {
			v.cmd = exec.Command(bin, "--settings", path)
			v.cmd.Stdout, v.cmd.Stderr = out, out
			v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			return v.cmd.Start()
		}
		if err := v.start(); err != nil {
			return vms, err
		}
	}
	return vms, nil
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// deployment is what a case runs on.
type deployment struct {
	rec   *recorder
	store *metaStore
	cloud *cloud
	g     *group
	vms   []*vm
}

// desiredState is the operators' configuration.
func desiredState() []byte {
	var routes []map[string]any
	for host, kind := range map[string]string{"primary0": "primary", "bounded0": "bounded_staleness", "session0": "read_your_writes"} {
		r := map[string]any{"Name": host, "Host": host, "Type": kind, "TimeoutMs": 1000, "TargetLatencyMs": 1000, "Service": "svc", "Priority": 1}
		if kind != "primary" {
			r["MaxStalenessMs"] = 1500
		}
		if kind == "bounded_staleness" {
			r["TimeoutMs"], r["TargetLatencyMs"] = 3000, 1500
		}
		routes = append(routes, r)
	}
	raw, _ := json.Marshal(map[string]any{
		"Version": 5, "Routes": routes, "Services": []any{map[string]any{"Name": "svc", "MaxConns": maxConns, "SyncReplicas": 1}},
		"Limits":  map[string]any{"TxIdleMs": 3000},
		"Tenants": []any{map[string]any{"Name": "t1", "ApiKeys": []string{"k1"}, "RatePerS": 400, "Burst": 400}},
	})
	return raw
}

// deploy starts everything and waits until the VMs are ready.
func deploy(rec *recorder, bin, dir string) (*deployment, error) {
	x := &deployment{rec: rec, store: newStore()}
	x.g = &group{name: "svc", rec: rec, asked: &asked{rec: rec}, term: 1}
	for i := range 3 {
		d := &database{g: x.g, id: fmt.Sprintf("i-%c", 'a'+i), zone: fmt.Sprintf("z%d", i+1), address: fmt.Sprintf("127.2.%d.2:0", i+1), slots: make(chan struct{}, slotCount)}
		d.log, d.receivedAt = []entry{{term: 1, number: 1, writes: map[string]string{"item0": "v0"}}}, []time.Time{time.Now()}
		x.g.dbs = append(x.g.dbs, d)
		if err := d.start(); err != nil {
			return x, err
		}
	}
	x.g.primary = x.g.dbs[0]
	x.cloud = &cloud{rec: rec, g: x.g}
	go x.g.replicateForever()
	go x.g.register(x.store)
	x.store.set("op/config", desiredState())
	listen := func(h http.Handler) (string, error) {
		l, err := net.Listen("tcp", "127.3.0.2:0")
		if err != nil {
			return "", err
		}
		go func() { _ = http.Serve(l, h) }()
		return l.Addr().String(), nil
	}
	storeAddress, err := listen(x.store)
	if err != nil {
		return x, err
	}
	cloudAddress, err := listen(x.cloud)
	if err != nil {
		return x, err
	}
	if x.vms, err = startVMs(bin, dir, storeAddress, cloudAddress); err != nil {
		return x, err
	}
	end := time.Now().Add(15 * time.Second)
	for _, v := range x.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return x, fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		rec.add("%s is ready", v.name)
	}
	return x, nil
}

// stop ends the processes that were started.
func (x *deployment) stop() {
	for _, v := range x.vms {
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
	}
}

// caller writes items one after the other, each with a new id, until stop is closed, and
// opens a new session after an error.
func (x *deployment) caller(n int, stop <-chan struct{}) {
	for seq := 0; ; {
		v := x.vms[n%len(x.vms)]
		c, err := net.DialTimeout("tcp", v.callers, time.Second)
		if err == nil {
			seq = x.session(c, n, seq, stop)
			_ = c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (x *deployment) session(c net.Conn, n, seq int, stop <-chan struct{}) int {
	in := &lineReader{r: c}
	_, _ = fmt.Fprintf(c, "START primary0 k1\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if l, err := in.next(); err != nil || !strings.HasPrefix(l, "READY") {
		return seq
	}
	for {
		select {
		case <-stop:
			return seq
		case <-time.After(60 * time.Millisecond):
		}
		seq++
		id := fmt.Sprintf("c%02d%06d", n, seq)
		m := fmt.Sprintf("QUERY %s WRITE item%d v%d", id, n, seq)
		x.g.asked.send(m)
		_, _ = fmt.Fprint(c, m+lineEnd)
		_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
		answer := ""
		for {
			l, err := in.next()
			if err != nil {
				x.rec.add("caller %d: %s: connection ended", n, id)
				return seq
			}
			if strings.HasPrefix(l, "READY") {
				break
			}
			answer = l
		}
		x.rec.add("caller %d: %s WRITE: %s", n, id, answer)
	}
}

func main() {
	// The processes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE BIN DIR RECORD")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &recorder{w: bufio.NewWriter(out), start: time.Now()}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		os.Exit(exitNotRun)
	}
	x, err := deploy(rec, os.Args[2], os.Args[3])
	status := exitNotRun
	if err == nil {
		status = run(x, os.Getenv("TROUBLE") != "0")
		if x.g.asked.any() {
			status = exitBroken
		}
	} else {
		rec.add("not run: %v", err)
	}
	x.stop()
	rec.flush()
	_ = out.Close()
	fmt.Println("exit status", status)
	os.Exit(status)
}
