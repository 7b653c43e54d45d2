package follow

import (
	"testing"
	"time"
)

// Times of the steps that other packages fix.
const (
	// answerTime is how long a VM or the store takes to answer, with two ways between
	// regions of 30 ms each.
	answerTime = 100 * time.Millisecond
	// silentWatch is how long a watch takes to fail on a silent connection: it is held for
	// ReaderWatchTimeout, and its answer is awaited for 0.7 s.
	silentWatch = ReaderWatchTimeout + 700*time.Millisecond
	// peerReplaced is the time from the first call on a silent connection between VMs to a
	// new one.
	peerReplaced = 1500 * time.Millisecond
	// largeFromStore is the time of the largest value that the store takes, 1 MiB in base64,
	// and largeFromVM that of the compressed document for the eleven VMs that ask a reader at
	// once, on idle links of 10 Mbit/s.
	largeFromStore = 1120 * time.Millisecond
	largeFromVM    = 11 * 100_000 * time.Second / (10_000_000 / 8)
	// budget is the shortest time within which a version must be in force in a fleet in
	// which only some VMs watch the store.
	budget = 6 * time.Second
)

// step is a step on the way of a version to a VM.
type step struct {
	name string
	most time.Duration
}

// TestBudget guards against steps that together take longer than a version may take from
// its acknowledgement to the last VM, in the worst case: it is written just after the last
// confirmation. Not held, and beyond the bound: an own read that hangs right after an outage
// of the store, on a VM that no other VM can tell.
func TestBudget(t *testing.T) {
	const (
		round     = readerInterval * 11 / 10
		retryRead = storeRetryDelay * 3 / 2
	)
	f := New(Config{Within: budget})
	hop := []step{{"next round", round}, {"answer", answerTime}}
	deadHop := []step{{"next round", round}, {"first reader", compareTimeout}, {"other reader", answerTime}}
	ownRead := []step{{"role checked", roleInterval}, {"own read", answerTime}}
	// Other VMs are awaited between the two reads only if the bound leaves time for it.
	ownLargeRead := []step{{"read that shows the size", answerTime}, {"own read", answerTime}, {"document", largeFromStore}}
	largeHop := append([]step{{"document", largeFromVM}}, hop...)
	stale := append([]step{{"confirmation too old", maxAnswerAge}}, hop...)
	ways := map[string][][]step{
		"calm":                            {{{"watch", answerTime}}, hop, hop},
		"a dead reader on each step":      {{{"watch", answerTime}}, deadHop, deadHop},
		"a reader without the store":      {stale},
		"all readers without the store":   {stale, ownRead},
		"the same, and a read that hangs": {stale, {{"role checked", roleInterval}, {"hanging read", callTimeout}, {"delay", minReadBackoff}}, ownRead},
		"an outage ends, no readers":      {{{"delay after a failed read", f.maxReadDelay()}, {"role checked", roleInterval}, {"own read", answerTime}}},
		"calm, the largest document":      {{{"watch", answerTime}, {"document", largeFromStore}}, largeHop, largeHop},
		"an outage ends, no readers, the largest document": {
			{{"delay after a failed read", f.maxReadDelay()}, {"role checked", roleInterval}}, ownLargeRead,
		},
		"all readers without the store, the largest document": {stale, {{"role checked", roleInterval}}, ownLargeRead},
		"a VM starts with the largest document, no readers":   {{{"readers awaited", firstReadDelay}}, ownLargeRead},
		"connections go silent": {
			{{"watch fails, or the reader's connection is replaced", max(silentWatch+retryRead+answerTime, round+peerReplaced)}},
			deadHop, deadHop,
		},
	}
	for name, parts := range ways {
		var sum time.Duration
		var steps []step
		for _, p := range parts {
			for _, s := range p {
				sum += s.most
				steps = append(steps, s)
			}
		}
		t.Logf("%s: %v", name, sum)
		if sum > budget {
			t.Errorf("%s: %v, more than %v: %v", name, sum, budget, steps)
		}
	}
}
