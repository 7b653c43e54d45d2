package speed

import (
	"math"
	"time"
)

const (
	// maxLevel is the highest concurrency that is told apart.
	maxLevel = 16
	// levelDivisor is the inverse of the least weight of a new time at a level.
	levelDivisor = 32
	// minLevelCount is the number of times from which a level is compared, and
	// staleLevelCount the number that counts of those older than levelMaxAge, so that
	// a few new ones suffice.
	minLevelCount   = 12
	staleLevelCount = 8
	levelMaxAge     = 2 * time.Second
	// maxLevelRatio limits a time relative to the mean of its class.
	maxLevelRatio = 4
	// minLevelStep is the least ratio of two levels that are compared: the gain from
	// one more statement is too small to be told from noise.
	minLevelStep = 1.5
	// minGain is the ratio of throughput that a level of minLevelStep must exceed to
	// be worth it. Without any slowdown it is the ratio of the levels.
	minGain = 1.2
	// raiseInterval is the least time between two increases of the limit.
	raiseInterval = 250 * time.Millisecond
)

// level has the times of statements sent at one concurrency, relative to the mean of
// their class.
type level struct {
	mean, variance float64
	count          int
	at             time.Time
}

// levels finds the concurrency up to which throughput grows. A fault of the VM or a
// slowdown that does not depend on concurrency affects all levels alike and does not
// change the result.
type levels struct {
	byCount [maxLevel + 1]level
	// current is the limit in force, 0 before the first; raisedAt is when it last
	// grew or was confirmed.
	current  int
	raisedAt time.Time
	// dirty is set when there are times that the limit does not consider yet.
	dirty      bool
	computedAt time.Time
}

func (l *levels) record(n int, ratio float64, now time.Time) {
	if n < 1 || n > maxLevel {
		return
	}
	v := &l.byCount[n]
	if now.Sub(v.at) > levelMaxAge {
		v.count = min(v.count, staleLevelCount)
	}
	ratio = min(ratio, maxLevelRatio)
	v.count = min(v.count+1, levelDivisor)
	w := 1 / float64(v.count)
	d := ratio - v.mean
	v.mean += w * d
	v.variance = (1 - w) * (v.variance + w*d*d)
	v.at = now
	l.dirty = true
}

// known reports whether a level has enough recent times.
func (v *level) known(now time.Time) bool {
	return v.count >= minLevelCount && v.mean > 0 && now.Sub(v.at) <= levelMaxAge
}

// gains reports whether throughput at level m may be higher than at level n, within
// two standard errors.
func (l *levels) gains(n, m int) bool {
	a, b := &l.byCount[n], &l.byCount[m]
	gain := float64(m) / b.mean * a.mean / float64(n)
	// An exponential average has the variance of about twice as many values as the
	// inverse of its weight.
	stderr := math.Sqrt(a.variance/(a.mean*a.mean*float64(2*a.count)) + b.variance/(b.mean*b.mean*float64(2*b.count)))
	return gain*(1+2*stderr) >= minGain
}

// limit returns the limit in force for a database with the given slots.
func (l *levels) limit(slots int, now time.Time) int {
	if l.current == 0 {
		l.current = slots
	}
	if l.dirty && now.Sub(l.computedAt) >= raiseInterval/10 || now.Sub(l.computedAt) >= raiseInterval {
		l.dirty, l.computedAt = false, now
		switch best := l.best(slots, now); {
		case best <= l.current:
			l.current, l.raisedAt = best, now
		case now.Sub(l.raisedAt) >= raiseInterval:
			l.current, l.raisedAt = l.current+1, now
		}
	}
	return min(l.current, slots)
}

// best returns the least level above which no known level has more throughput, or
// all slots. It is at least half of the slots: two VMs run statements at a database
// without knowing of each other, and when load rises at both, the times at one seem
// to depend on its own concurrency. Half of the slots each still use all of them.
func (l *levels) best(slots int, now time.Time) int {
	for n := (slots + 1) / 2; n < slots && n <= maxLevel; n++ {
		if !l.byCount[n].known(now) {
			continue
		}
		compared, grows := false, false
		for m := n + 1; m <= slots && m <= maxLevel; m++ {
			if !l.byCount[m].known(now) || float64(m) < minLevelStep*float64(n) {
				continue
			}
			compared = true
			grows = grows || l.gains(n, m)
		}
		if compared && !grows {
			return n
		}
	}
	return slots
}
