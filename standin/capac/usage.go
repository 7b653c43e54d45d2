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

// processUsage holds the counters of a process since its start.
type processUsage struct {
	at            time.Time
	cpu           time.Duration
	sent          int64
	received      int64
	residentBytes int64
}

// clockTick is the unit of CPU time in /proc, which Linux fixes at 10 ms.
const clockTick = 10 * time.Millisecond

// readUsage returns the counters of a process.
func readUsage(p *fleet.Proc) (u processUsage, err error) {
	u.at = time.Now()
	dir := "/proc/" + strconv.Itoa(p.Pid())
	if u.cpu, err = cpuTime(dir); err != nil {
		return u, wrapError("read the CPU time", KindRead, err)
	}
	bytes, err := readCounters(dir+"/io", "")
	if err != nil {
		return u, wrapError("read the byte counters", KindRead, err)
	}
	status, err := readCounters(dir+"/status", " kB")
	if err != nil {
		return u, wrapError("read the memory", KindRead, err)
	}
	log, err := os.Stat(p.LogFile)
	if err != nil {
		return u, wrapError("read the log's size", KindRead, err)
	}
	u.sent, u.received = bytes["wchar"]-log.Size(), bytes["rchar"]
	u.residentBytes = status["VmRSS"] << 10
	return u, nil
}

// readCounters reads a file with one "name: number" per line, each with the given
// unit after the number.
func readCounters(file, unit string) (map[string]int64, error) {
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

func cpuTime(dir string) (time.Duration, error) {
	raw, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return 0, err
	}
	// The program's name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, fmt.Errorf("stat has only %d fields", len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// heapAndStackBytes runs a daemon's garbage collector and returns the bytes in
// use by heap and stacks.
func heapAndStackBytes(ctx context.Context, d *fleet.Daemon) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.AdminAddress+"/debug/pprof/heap?gc=1&debug=1", nil)
	if err != nil {
		return 0, wrapError("read the heap", KindRead, err)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, wrapError("read the heap", KindRead, err)
	}
	defer func() { _ = r.Body.Close() }()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, wrapError("read the heap", KindRead, err)
	}
	var sum int64
	for _, name := range []string{"# HeapAlloc = ", "# Stack = "} {
		_, rest, _ := strings.Cut(string(raw), name)
		var n int64
		if _, err := fmt.Sscan(rest, &n); err != nil {
			return 0, wrapError("read "+name, KindRead, err)
		}
		sum += n
	}
	return sum, nil
}

// readStoreCalls returns the store's counts of its calls.
func readStoreCalls(ctx context.Context, f *fleet.Fleet) (c strsrv.CallCounts, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.StoreControlAddress+"/calls", nil)
	if err != nil {
		return c, wrapError("read the store's calls", KindRead, err)
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, wrapError("read the store's calls", KindRead, err)
	}
	defer func() { _ = r.Body.Close() }()
	return c, wrapError("read the store's calls", KindRead, json.NewDecoder(r.Body).Decode(&c))
}
