package limit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/gate"
	"chervilspan.example/pkg/ident"
)

// testTarget is a target that runs statements of a fixed length in the slots that
// VMs acquire.
type testTarget struct {
	mu                  sync.Mutex
	running, maxRunning int
}

func (b *testTarget) run(d time.Duration) {
	b.mu.Lock()
	b.running++
	b.maxRunning = max(b.maxRunning, b.running)
	b.mu.Unlock()
	time.Sleep(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// slotLoad sends requests to the target and records their outcomes and waits.
type slotLoad struct {
	mu              sync.Mutex
	group           sync.WaitGroup
	served, refused int
	totalWait       time.Duration
	maxWait         time.Duration
}

func (k *slotLoad) send(ws ident.Workspace, rate float64, length time.Duration, b *testTarget, service time.Duration, vms ...*testVM) {
	k.group.Go(func() {
		for i := range int(rate * length.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			k.group.Go(func() { k.sendOne(ws, b, service, vms[i%len(vms)]) })
		}
	})
}

func (k *slotLoad) sendOne(ws ident.Workspace, b *testTarget, service time.Duration, v *testVM) {
	start := time.Now()
	release, err := v.Acquire(context.Background(), "db", ws, 1)
	wait := time.Since(start)
	k.mu.Lock()
	if err != nil {
		k.refused++
	} else {
		k.served++
		k.totalWait += wait
		k.maxWait = max(k.maxWait, wait)
	}
	k.mu.Unlock()
	if err == nil {
		b.run(service)
		release()
	}
}

func catalogueWithTarget(slots uint32, workspaces int) *catal.Catalogue {
	limits := map[ident.Workspace][2]int{}
	for i := range workspaces {
		limits[ident.Workspace(fmt.Sprint("w", i))] = [2]int{1000, 1000}
	}
	c := rates(limits)
	c.Classes = map[ident.Class]catal.Class{"": {DeadlineMS: 2000}}
	c.Groups = map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{"db": {Zone: "norte", Slots: slots}}}}
	return c
}

// TestOverloadingWorkspace guards against a workspace that sends ten times the load
// of the others and takes slots from them, and against VMs that together run more
// statements than the target has slots.
func TestOverloadingWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, catalogueWithTarget(3, 4))
		defer w.stop()
		time.Sleep(5 * time.Second)
		var b testTarget
		loads := make([]*slotLoad, 4)
		for i := range loads {
			loads[i] = &slotLoad{}
			rate := 40.0
			if i == 0 {
				rate = 400
			}
			// Three slots serve 300 statements per second, 75 for each workspace.
			loads[i].send(ident.Workspace(fmt.Sprint("w", i)), rate, 20*time.Second, &b, 10*time.Millisecond, w.vms...)
		}
		for _, k := range loads {
			k.group.Wait()
		}
		for i, k := range loads {
			t.Logf("w%d: served %d, refused %d, mean wait %v, longest %v", i, k.served, k.refused, k.totalWait/time.Duration(max(1, k.served)), k.maxWait)
			if i > 0 {
				is.True(k.served >= 99*(k.served+k.refused)/100)
			}
		}
		t.Logf("at most %d at once", b.maxRunning)
		is.True(b.maxRunning <= 3)
		is.True(loads[0].refused > 0)
		total := loads[0].served + loads[1].served + loads[2].served + loads[3].served
		t.Logf("%d served in 20 s", total)
		is.True(total > 20*200) // two thirds of the capacity of the slots
	})
}

// TestLoneVMGetsAllSlots guards against unused slots while only one VM has requests.
func TestLoneVMGetsAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, catalogueWithTarget(5, 1))
		defer w.stop()
		time.Sleep(5 * time.Second)
		var b testTarget
		k := &slotLoad{}
		k.send("w0", 400, 10*time.Second, &b, 10*time.Millisecond, w.vms[1])
		k.group.Wait()
		t.Logf("served %d, refused %d, mean wait %v, longest %v", k.served, k.refused, k.totalWait/time.Duration(k.served), k.maxWait)
		is.Equal(b.maxRunning, 5)
		is.Equal(k.refused, 0)
	})
}

// TestGateDies guards against a target that serves nothing, or more statements than
// it has slots, for long after the VM with its gate has died, and against a gate
// that does not reclaim the slots of a dead VM.
func TestGateDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(6, catalogueWithTarget(3, 2))
		defer w.stop()
		time.Sleep(5 * time.Second)
		_, vm := w.vms[1].view.Load().targets["db"].slotsAndGate()
		var others []*testVM
		var gateHolder *testVM
		for _, v := range w.vms {
			if v.info.VM == vm {
				gateHolder = v
			} else {
				others = append(others, v)
			}
		}
		var b testTarget
		k := &slotLoad{}
		k.send("w0", 150, 10*time.Second, &b, 10*time.Millisecond, others...)
		time.Sleep(5 * time.Second)
		w.kill(gateHolder)
		k.group.Wait()
		t.Logf("served %d, refused %d, longest wait %v, at most %d at once", k.served, k.refused, k.maxWait, b.maxRunning)
		is.Equal(k.refused, 0)
		// A statement waits at most until the loans of the dead gate have expired.
		is.True(k.maxWait < gate.Lifetime)
		b.maxRunning = 0
		second := &slotLoad{}
		second.send("w1", 150, 5*time.Second, &b, 10*time.Millisecond, others...)
		second.group.Wait()
		is.Equal(second.refused, 0)
		is.True(b.maxRunning <= 3)
	})
}

// TestSlotRefusals guards against refusals without SQLSTATE, and against a request
// that stays queued after its caller has gone.
func TestSlotRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := catalogueWithTarget(1, 1)
		cat.Classes[""] = catal.Class{DeadlineMS: 300, MaxQueue: 1}
		w := newTestFleet(1, cat)
		defer w.stop()
		time.Sleep(time.Second)
		v := w.vms[0]
		release, err := v.Acquire(t.Context(), "db", "w0", 1)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		var e *Error
		_, err = v.Acquire(ctx, "db", "w0", 1)
		is.True(errors.As(err, &e))
		is.Equal(e.SQLState(), "57014")
		_, err = v.Acquire(t.Context(), "db", "w0", 1)
		is.True(errors.As(err, &e)) // no slot by the deadline
		is.Equal(e.Kind, KindDeadline)
		is.Equal(e.SQLState(), "53300")
		go func() { _, _ = v.Acquire(t.Context(), "db", "w0", 1) }()
		synctest.Wait()
		_, err = v.Acquire(t.Context(), "db", "w0", 1)
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindQueueFull)
		release()
		release()
		_, err = v.Acquire(t.Context(), "none", "w0", 1)
		is.True(errors.As(err, &e))
		is.Equal(e.Kind, KindUnknown)
		is.Equal(v.Snapshot()[0].Refused, uint64(2))
	})
}

// TestPreconnect guards against connections opened in advance whose number grows
// with the fleet, or that are opened repeatedly.
func TestPreconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestFleet(27, catalogueWithTarget(3, 8)) // the holders of 8 shards are more than 16 VMs
		defer w.stop()
		time.Sleep(20 * time.Second)
		n := w.requestCount()
		is.True(n > 27 && n <= 27*maxPreconnects)
		time.Sleep(time.Minute)
		is.Equal(w.requestCount(), n)
	})
}
