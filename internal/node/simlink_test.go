package node

import (
	"context"
	"sync"
	"time"

	"chervilspan.example/pkg/member"
	"chervilspan.example/pkg/wait"
)

const (
	// simChunkBytes is the unit in which links are shared, simWindowChunks the number of
	// chunks of one message that may be on their way.
	simChunkBytes   = 16 << 10
	simWindowChunks = 16
	// simStoreName is the store's end of a path.
	simStoreName = "store"
)

// simLinks are the links of a simulated fleet: one of each VM, and one between each two
// regions, in both directions. What is sent waits in a queue for each link on its way. The
// zero value has no limits.
type simLinks struct {
	// vmRate and regionRate are capacities in bytes per second, 0 for no limit.
	vmRate, regionRate int

	mu sync.Mutex
	// freeAt is when a link has sent all that waits for it.
	freeAt map[string]time.Time
}

// simHop is a link in one direction.
type simHop struct {
	name string
	rate int
}

// path returns the links between two VMs, or the store in the region "r1".
func (l *simLinks) path(from, to member.Info) []simHop {
	var out []simHop
	if from.VM != simStoreName {
		out = append(out, simHop{"from " + string(from.VM), l.vmRate})
	}
	if from.Region != to.Region {
		out = append(out, simHop{string(from.Region + " to " + to.Region), l.regionRate})
	}
	if to.VM != simStoreName {
		out = append(out, simHop{"to " + string(to.VM), l.vmRate})
	}
	return out
}

// send returns when n bytes have come from one end to the other, or ctx has ended.
func (l *simLinks) send(ctx context.Context, n int, from, to member.Info) error {
	path := l.path(from, to)
	var arrivals []time.Time
	for sent := 0; sent < n; sent += simChunkBytes {
		if k := len(arrivals) - simWindowChunks; k >= 0 {
			if err := awaitTime(ctx, arrivals[k]); err != nil {
				return err
			}
		}
		arrivals = append(arrivals, l.reserve(min(simChunkBytes, n-sent), path))
	}
	if len(arrivals) == 0 {
		return ctx.Err()
	}
	return awaitTime(ctx, arrivals[len(arrivals)-1])
}

// reserve puts a chunk into the queues of the links, and returns when it arrives.
func (l *simLinks) reserve(n int, path []simHop) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeAt == nil {
		l.freeAt = map[string]time.Time{}
	}
	at := time.Now()
	for _, h := range path {
		if h.rate == 0 {
			continue
		}
		if free := l.freeAt[h.name]; free.After(at) {
			at = free
		}
		at = at.Add(time.Duration(n) * time.Second / time.Duration(h.rate))
		l.freeAt[h.name] = at
	}
	return at
}

func awaitTime(ctx context.Context, at time.Time) error {
	if wait.For(ctx, time.Until(at)) {
		return nil
	}
	return ctx.Err()
}
