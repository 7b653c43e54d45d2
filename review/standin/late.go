package main

import (
	"sync"
	"time"
)

// cases has the cases by name.
var cases = map[string]func(*deployment, bool) int{"late-promotion": latePromotion, "early-exit": earlyExit}

// Times of the case. The limits are those of the pages; see claim.txt.
const (
	settleTime  = 5 * time.Second
	primaryDown = 3500 * time.Millisecond
	replicaDown = 800 * time.Millisecond
	lateWindow  = 6 * time.Second
	lateBy      = 9 * time.Second
	// afterTime covers the last late call, and a promotion.
	afterTime = 14 * time.Second
)

// latePromotion crashes the primary for a short time while promotion calls get no answer
// and are carried out late, and restarts the replica that the calls do not name.
func latePromotion(x *deployment, trouble bool) int {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() { x.caller(n, stop) })
	}
	time.Sleep(settleTime)
	if trouble {
		primary := x.g.dbs[0]
		x.cloud.setLate(lateBy)
		x.rec.add("promotion calls get no answer for %v and are carried out %v after they arrive", lateWindow, lateBy)
		x.rec.add("the primary %s crashes for %v", primary.id, primaryDown)
		primary.crash()
		time.AfterFunc(lateWindow, func() {
			x.cloud.setLate(0)
			x.rec.add("promotion calls are answered again")
		})
		back := time.After(primaryDown)
		x.restartOther(primary)
		<-back
		if err := primary.start(); err != nil {
			x.rec.add("not run: %v", err)
			close(stop)
			wg.Wait()
			return exitNotRun
		}
		x.rec.add("%s is back with its log, as the primary: no other was promoted", primary.id)
	} else {
		time.Sleep(primaryDown)
	}
	time.Sleep(afterTime)
	close(stop)
	wg.Wait()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.rec.add("%d commits acknowledged, %d of them lost", len(x.g.acked), x.g.lost)
	switch {
	case x.g.lost > 0:
		return exitBroken
	case len(x.g.acked) == 0:
		return exitNotRun
	}
	return exitHeld
}

// restartOther restarts the replica that the first late promotion call does not name, one
// second after that call.
func (x *deployment) restartOther(primary *database) {
	for end := time.Now().Add(primaryDown); x.cloud.target() == "" && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	target := x.cloud.target()
	if target == "" {
		x.rec.add("there was no promotion call")
		return
	}
	time.Sleep(time.Second)
	for _, d := range x.g.dbs {
		if d != primary && d.id != target {
			x.rec.add("the replica %s crashes for %v", d.id, replicaDown)
			d.crash()
			time.Sleep(replicaDown)
			if err := d.start(); err != nil {
				x.rec.add("restart of %s: %v", d.id, err)
				return
			}
			x.rec.add("%s is back with its log", d.id)
		}
	}
}
