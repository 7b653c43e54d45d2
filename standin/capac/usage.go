package capac

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"chervilspan.example/standin/fleet"
	"chervilspan.example/standin/strsrv"
)

// usage has the counters of a process since its start.
type usage struct {
	at        time.Time
	cpu       time.Duration
	sent      int64
	received  int64
	residentB int64
}

// tick is the unit of processor time in /proc, which Linux fixes at 10 ms.
const tick = 10 * time.Millisecond

// read returns the counters of a process.
func read(p *fleet.Proc) (u usage, err error) {
	u.at = time.Now()
	dir := "/proc/" + strconv.Itoa(p.Pid())
	if u.cpu, err = processorTime(dir); err != nil {
		return u, fail("read the processor time", KindRead, err)
	}
	bytes, err := table(dir+"/io", "")
	if err != nil {
		return u, fail("read the bytes", KindRead, err)
	}
	status, err := table(dir+"/status", " kB")
	if err != nil {
		return u, fail("read the memory", KindRead, err)
	}
	log, err := os.Stat(p.Log)
	if err != nil {
		return u, fail("read the log's size", KindRead, err)
	}
	u.sent, u.received = bytes["wchar"]-log.Size(), bytes["rchar"]
	u.residentB = status["VmRSS"] << 10
	return u, nil
}

// table reads the numbers of a file with one "name: number" on a line.
func table(file, unit string) (map[string]int64, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	out := map[string]int64{}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), unit), 10, 64)
		if err == nil {
			out[name] = n
		}
	}
	return out, nil
}

func processorTime(dir string) (time.Duration, error) {
	raw, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may hold spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("%d fields", len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * tick, err
}

// inUse collects a daemon's garbage and returns the bytes of heap and stacks
// that are in use.
func inUse(ctx context.Context, d *fleet.Daemon) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Admin+"/debug/pprof/heap?gc=1&debug=1", nil)
	if err != nil {
		return 0, fail("read the heap", KindRead, err)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fail("read the heap", KindRead, err)
	}
	defer func() { _ = r.Body.Close() }()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, fail("read the heap", KindRead, err)
	}
	var sum int64
	for _, name := range []string{"# HeapAlloc = ", "# Stack = "} {
		_, rest, _ := strings.Cut(string(raw), name)
		var n int64
		if _, err := fmt.Sscan(rest, &n); err != nil {
			return 0, fail("read "+name, KindRead, err)
		}
		sum += n
	}
	return sum, nil
}

// calls returns what the store has counted.
func calls(ctx context.Context, f *fleet.Fleet) (c strsrv.CallCounts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.StoreCtl+"/calls", nil)
	if err != nil {
		return c, fail("read the store's calls", KindRead, err)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, fail("read the store's calls", KindRead, err)
	}
	defer func() { _ = r.Body.Close() }()
	return c, fail("read the store's calls", KindRead, json.NewDecoder(r.Body).Decode(&c))
}
