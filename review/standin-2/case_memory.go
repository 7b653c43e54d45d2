package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bigItem begins the names of items with long answers; the number of rows follows.
	bigItem = "manifest"
	// bigRow is the length of a row with its word and its CR LF, in bytes: the longest message.
	bigRow = 1 << 20
	// longReaders is the number of consumers that read long answers at the same time, and
	// longRows the number of rows of each.
	longReaders = 4
	longRows    = 30
	// memoryMB is MemoryMb of the nodes.
	memoryMB = 284
	// restartDelay is the time from the end of a process to its restart.
	restartDelay = time.Second
)

// bigRows returns the rows of an item with a long answer.
func bigRows(n string) []string {
	count, err := strconv.Atoi(n)
	if err != nil {
		return nil
	}
	row := strings.Repeat("x", bigRow-len("ROW \r\n"))
	out := make([]string, count)
	for i := range out {
		out[i] = row
	}
	return out
}

// memoryCase: a few consumers read items at the same time whose answers have some rows of the
// greatest length.
var memoryCase = testCase{
	services: []string{"orders"},
	config:   func(w *world) configuration { return w.longRoute() },
	play:     playMemory,
}

func (w *world) longRoute() configuration {
	c := w.sessionRoute(3, 0)
	c.Routes[0].Type, c.Routes[0].TimeoutMs, c.Routes[0].MaxStalenessMs = "bounded_staleness", 3000, 1500
	return c
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// supervise kills a process that exceeds its memory, as the platform does, and starts it
// again. It counts how often.
func (w *world) supervise(n *node, ends *atomic.Int32, peak *atomic.Int32) {
	for ; !w.stopping.Load(); time.Sleep(5 * time.Millisecond) {
		n.mu.Lock()
		pid := n.process.Process.Pid
		n.mu.Unlock()
		used := residentMB(pid)
		peak.Store(max(peak.Load(), int32(used)))
		if used <= memoryMB {
			continue
		}
		ends.Add(1)
		w.rec.linef("platform", "the process of %s has %d MiB, more than %d: it is killed", n.name, used, memoryMB)
		n.kill()
		time.Sleep(restartDelay)
		if w.stopping.Load() {
			return
		}
		if err := n.start(); err != nil {
			w.rec.linef("platform", "%s does not start: %v", n.name, err)
			return
		}
	}
}

func playMemory(w *world) (bool, error) {
	ends, peaks := make([]atomic.Int32, len(w.nodes)), make([]atomic.Int32, len(w.nodes))
	for i, n := range w.nodes {
		go w.supervise(n, &ends[i], &peaks[i])
	}
	time.Sleep(3 * time.Second)
	rows := 1
	if w.trouble {
		rows = longRows
	}
	for attempt := range 9 {
		w.readLong(w.nodes[attempt%len(w.nodes)], attempt, rows)
		time.Sleep(2500 * time.Millisecond)
	}
	often := 0
	for i := range w.nodes {
		w.rec.linef("judge", "%s: peak %d MiB, ended %d times", w.nodes[i].name, peaks[i].Load(), ends[i].Load())
		if ends[i].Load() >= 3 {
			often++
		}
	}
	return often >= 2, nil
}

// readLong has consumers read long answers at a node, all at the same time.
func (w *world) readLong(n *node, attempt, rows int) {
	var wg sync.WaitGroup
	for i := range longReaders {
		wg.Go(func() {
			c, err := dial(fmt.Sprintf("c%d.%d", attempt, i), w.rec, n, "offcut-log", "key-of-the-workshop")
			if err != nil {
				w.rec.linef("judge", "no session at %s: %v", n.name, err)
				return
			}
			c.query(fmt.Sprintf("READ %s%d", bigItem, rows), 10*time.Second)
			c.close()
		})
	}
	wg.Wait()
}
