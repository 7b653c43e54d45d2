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

// backend is a target that runs statements of a fixed length in the slots that
// VMs acquire.
type backend struct {
	mu           sync.Mutex
	running, top int
}

func (b *backend) run(d time.Duration) {
	b.mu.Lock()
	b.running++
	b.top = max(b.top, b.running)
	b.mu.Unlock()
	time.Sleep(d)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// work is a workspace's requests to the target.
type work struct {
	mu           sync.Mutex
	group        sync.WaitGroup
	done, failed int
	waits        time.Duration
	worst        time.Duration
}

func (k *work) send(ws ident.Workspace, rate float64, length time.Duration, b *backend, service time.Duration, vms ...*node) {
	k.group.Go(func() {
		for i := range int(rate * length.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			k.group.Go(func() { k.one(ws, b, service, vms[i%len(vms)]) })
		}
	})
}

func (k *work) one(ws ident.Workspace, b *backend, service time.Duration, v *node) {
	start := time.Now()
	release, err := v.Acquire(context.Background(), "db", ws, 1)
	wait := time.Since(start)
	k.mu.Lock()
	if err != nil {
		k.failed++
	} else {
		k.done++
		k.waits += wait
		k.worst = max(k.worst, wait)
	}
	k.mu.Unlock()
	if err == nil {
		b.run(service)
		release()
	}
}

func withTarget(slots uint32, workspaces int) *catal.Catalogue {
	limits := map[ident.Workspace][2]int{}
	for i := range workspaces {
		limits[ident.Workspace(fmt.Sprint("w", i))] = [2]int{1000, 1000}
	}
	c := rates(limits)
	c.Classes = map[ident.Class]catal.Class{"": {DeadlineMS: 2000}}
	c.Groups = map[ident.Group]catal.Group{"g": {Targets: map[ident.Target]catal.Target{"db": {Zone: "norte", Slots: slots}}}}
	return c
}

// TestLoudWorkspace guards against a workspace that sends ten times its part and
// takes slots from those that stay within theirs, and against VMs that together
// run more statements than the target has slots.
func TestLoudWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(6, withTarget(3, 4))
		defer w.stop()
		time.Sleep(5 * time.Second)
		var b backend
		loads := make([]*work, 4)
		for i := range loads {
			loads[i] = &work{}
			rate := 40.0
			if i == 0 {
				rate = 400
			}
			// Three slots serve 300 a second, 75 for each workspace.
			loads[i].send(ident.Workspace(fmt.Sprint("w", i)), rate, 20*time.Second, &b, 10*time.Millisecond, w.vms...)
		}
		for _, k := range loads {
			k.group.Wait()
		}
		for i, k := range loads {
			t.Logf("w%d: done %d, refused %d, mean wait %v, worst %v", i, k.done, k.failed, k.waits/time.Duration(max(1, k.done)), k.worst)
			if i > 0 {
				is.True(k.done >= 99*(k.done+k.failed)/100)
			}
		}
		t.Logf("most at once: %d", b.top)
		is.True(b.top <= 3)
		is.True(loads[0].failed > 0)
		total := loads[0].done + loads[1].done + loads[2].done + loads[3].done
		t.Logf("%d served in 20 s", total)
		is.True(total > 20*200) // two thirds of what the slots can serve
	})
}

// TestSlotsIdleFleet guards against a lone VM that does not get all slots.
func TestSlotsIdleFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(6, withTarget(5, 1))
		defer w.stop()
		time.Sleep(5 * time.Second)
		var b backend
		k := &work{}
		k.send("w0", 400, 10*time.Second, &b, 10*time.Millisecond, w.vms[1])
		k.group.Wait()
		t.Logf("done %d, refused %d, mean wait %v, worst %v", k.done, k.failed, k.waits/time.Duration(k.done), k.worst)
		is.Equal(b.top, 5)
		is.Equal(k.failed, 0)
	})
}

// TestGateDies guards against a target that stands still or is overfilled for
// long when the VM with its gate dies, and against a gate that keeps the slots
// of a dead VM.
func TestGateDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(6, withTarget(3, 2))
		defer w.stop()
		time.Sleep(5 * time.Second)
		_, vm := w.vms[1].view.Load().targets["db"].info()
		var others []*node
		var keeper *node
		for _, v := range w.vms {
			if v.info.VM == vm {
				keeper = v
			} else {
				others = append(others, v)
			}
		}
		var b backend
		k := &work{}
		k.send("w0", 150, 10*time.Second, &b, 10*time.Millisecond, others...)
		time.Sleep(5 * time.Second)
		w.kill(keeper)
		k.group.Wait()
		t.Logf("done %d, refused %d, worst wait %v, most at once %d", k.done, k.failed, k.worst, b.top)
		is.Equal(k.failed, 0)
		// A statement waits at most until the loans of the dead gate have ended.
		is.True(k.worst < gate.Lifetime)
		b.top = 0
		late := &work{}
		late.send("w1", 150, 5*time.Second, &b, 10*time.Millisecond, others...)
		late.group.Wait()
		is.Equal(late.failed, 0)
		is.True(b.top <= 3)
	})
}

// TestSlotRefusals guards against a request that is refused without the code or
// keeps its place after its caller has gone.
func TestSlotRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := withTarget(1, 1)
		cat.Classes[""] = catal.Class{DeadlineMS: 300, MaxQueue: 1}
		w := newWorld(1, cat)
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

// TestWarm guards against connections in advance whose number grows with the
// fleet, or that are opened again and again.
func TestWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(27, withTarget(3, 8)) // the holders of 8 shards are more than 16 VMs
		defer w.stop()
		time.Sleep(20 * time.Second)
		n := w.messages()
		is.True(n > 27 && n <= 27*maxWarm)
		time.Sleep(time.Minute)
		is.Equal(w.messages(), n)
	})
}
