// Package posn records which log position of a primary covers all commits that
// were acknowledged before a given time.
//
// A position that a primary reports in answer to a request, while it is known to
// lead its group, covers every commit that was acknowledged before the request
// was sent. A read that accepts data up to some age therefore needs the lowest
// position whose request was sent within that age (bounded staleness; Terry et
// al., "Session Guarantees for Weakly Consistent Replicated Data", 1994).
//
// A read that has to see the session's own commits needs the position of the last one
// besides, unless the covering position is younger than that commit. Commits holds it for
// each group to which the session has written.
//
// # Usage
//
//	var t posn.Tracker
//	t.Confirm(pos, sent)
//	floor, ok := t.Covering(arrived.Add(-maxAge))
//	if !ok {
//		// ask the primary for its position
//	}
package posn

import (
	"sync"
	"time"

	"chervilspan.example/pkg/ident"
)

const (
	// minSampleInterval is the least time between two samples that are kept.
	minSampleInterval = 40 * time.Millisecond
	// maxSamples is the number of samples kept; with minSampleInterval it
	// covers ages up to 5 s.
	maxSamples = 128
)

type sample struct {
	pos  ident.Position
	sent time.Time
}

// Tracker holds the confirmed positions of one group. The zero Tracker holds
// none. Its methods may be called concurrently.
type Tracker struct {
	mu      sync.Mutex
	samples []sample // in ascending order of sent
	latest  sample
}

// Confirm records that the primary reported pos in answer to a request that was
// sent at the given time, when it was known to lead its group.
func (t *Tracker) Confirm(pos ident.Position, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.latest.sent) {
		t.latest = sample{pos, sent}
	}
	if n := len(t.samples); n > 0 && sent.Sub(t.samples[n-1].sent) < minSampleInterval {
		return
	}
	if len(t.samples) == maxSamples {
		t.samples = append(t.samples[:0], t.samples[1:]...)
	}
	t.samples = append(t.samples, sample{pos, sent})
}

// Covering returns the lowest known position that covers every commit that was
// acknowledged before since. ok is false when no known position does.
func (t *Tracker) Covering(since time.Time) (pos ident.Position, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.samples {
		if !s.sent.Before(since) {
			return s.pos, true
		}
	}
	if !t.latest.sent.IsZero() && !t.latest.sent.Before(since) {
		return t.latest.pos, true
	}
	return ident.Position{}, false
}

// Latest returns the position whose request was sent last, and when it was
// sent. Both are zero if there is none.
func (t *Tracker) Latest() (pos ident.Position, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest.pos, t.latest.sent
}
