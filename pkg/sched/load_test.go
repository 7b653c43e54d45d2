package sched

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/pkg/fairq"
	"chervilspan.example/pkg/ident"
)

var epoch = time.Unix(1_000, 0)

// kind is a class of a simulated load.
type kind struct {
	name                      ident.Class
	weight                    uint32
	objective, deadline, work time.Duration
	// rate is the number of statements a second at a time after the start.
	rate func(time.Duration) float64
	// workspace returns the workspace of the i-th statement.
	workspace func(i int) ident.Workspace
}

// policy is a queue of statements under test.
type policy interface {
	push(it Item, work time.Duration, slots int, now time.Time) bool
	pop(now time.Time) (Ticket, bool)
	done(it *Item, took time.Duration)
}

// fairShares is the policy of fairq with a wait of at most half of the objective.
type fairShares struct {
	q     fairq.Queue
	items map[Ticket]Item
}

func flowName(it *Item) ident.Workspace { return it.Workspace + "/" + ident.Workspace(it.Class) }

func (p *fairShares) push(it Item, _ time.Duration, slots int, now time.Time) bool {
	half := now.Add(it.Objective.Sub(now) / 2)
	return p.q.Push(fairq.Item{Ticket: fairq.Ticket(it.Ticket), Workspace: flowName(&it), Weight: it.Weight, Deadline: half}, slots, now) == nil
}

func (p *fairShares) pop(now time.Time) (Ticket, bool) {
	p.q.Expire(now)
	t, ok := p.q.Pop(now)
	return Ticket(t), ok
}

func (p *fairShares) done(it *Item, took time.Duration) { p.q.RecordServiceTime(flowName(it), took) }

type ranked struct{ q Queue }

func (p *ranked) push(it Item, _ time.Duration, slots int, now time.Time) bool {
	err := p.q.Push(it, slots, now)
	var e *Error
	if errors.As(err, &e) && e.Kind == KindFull {
		if _, ok := p.q.Displace(it, now); ok {
			err = p.q.Push(it, slots, now)
		}
	}
	return err == nil
}

func (p *ranked) pop(now time.Time) (Ticket, bool) {
	p.q.Expire(now)
	return p.q.Pop(now)
}
func (p *ranked) done(it *Item, took time.Duration) { p.q.RecordWork(it.Class, it.Weight, took) }

// outcome counts the statements of one class or workspace.
type outcome struct{ asked, met, late int }

func (o *outcome) metShare() float64 { return float64(o.met) / float64(max(o.asked, 1)) }

// simulate serves a load with exponential service times for the given time, in steps
// of 1 ms, and returns the outcomes by class and by workspace, and of the statements
// that arrived after settled.
func simulate(p policy, slots int, total, settled time.Duration, kinds ...kind) (class map[ident.Class]*outcome, workspace map[ident.Workspace]*outcome, after *outcome) {
	type running struct {
		it    Item
		start time.Time
		end   time.Time
	}
	rng := rand.New(rand.NewPCG(1, 2))
	class, workspace, after = map[ident.Class]*outcome{}, map[ident.Workspace]*outcome{}, &outcome{}
	items := map[Ticket]Item{}
	arrived := map[Ticket]time.Duration{}
	work := map[ident.Class]time.Duration{}
	var busy []running
	var next Ticket
	count := make([]int, len(kinds))
	longest := time.Duration(0)
	for _, k := range kinds {
		work[k.name], class[k.name] = k.work, &outcome{}
		longest = max(longest, k.deadline)
	}
	for at := time.Duration(0); at < total+longest; at += time.Millisecond {
		now := epoch.Add(at)
		keep := busy[:0]
		for _, b := range busy {
			if now.Before(b.end) {
				keep = append(keep, b)
				continue
			}
			p.done(&b.it, b.end.Sub(b.start))
			for _, o := range []*outcome{class[b.it.Class], workspace[b.it.Workspace]} {
				if !b.end.After(b.it.Objective) {
					o.met++
				} else if !b.end.After(b.it.Deadline) {
					o.late++
				}
			}
			if arrived[b.it.Ticket] >= settled && !b.end.After(b.it.Objective) {
				after.met++
			}
		}
		busy = keep
		for i, k := range kinds {
			if at >= total || rng.Float64() >= k.rate(at)/1000 {
				continue
			}
			next++
			count[i]++
			it := Item{Ticket: next, Class: k.name, Weight: k.weight, Workspace: k.workspace(count[i]), Objective: now.Add(k.objective), Deadline: now.Add(k.deadline)}
			items[next], arrived[next] = it, at
			if workspace[it.Workspace] == nil {
				workspace[it.Workspace] = &outcome{}
			}
			workspace[it.Workspace].asked++
			class[k.name].asked++
			if at >= settled {
				after.asked++
			}
			p.push(it, k.work, slots, now)
		}
		for len(busy) < slots {
			t, ok := p.pop(now)
			if !ok {
				break
			}
			it := items[t]
			took := time.Duration(rng.ExpFloat64() * float64(work[it.Class]))
			busy = append(busy, running{it, now, now.Add(max(took, time.Millisecond))})
		}
	}
	return class, workspace, after
}

func steady(r float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return r }
}

// burst returns a rate of r that is multiplied by factor between 2 s and 7 s.
func burst(r, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 2*time.Second && at < 7*time.Second {
			return r * factor
		}
		return r
	}
}

func spread(i int) ident.Workspace { return ident.Workspace(rune('a' + i%20)) }

// threeKinds returns a load of three priorities that takes 80% of five slots, with the
// rate of each multiplied by its factor between 2 s and 7 s.
func threeKinds(urgent, middle, least float64) []kind {
	return []kind{
		{"urgent", 4, time.Second, 5 * time.Second, 20 * time.Millisecond, burst(66, urgent), spread},
		{"middle", 2, 1500 * time.Millisecond, 8 * time.Second, 20 * time.Millisecond, burst(66, middle), spread},
		{"least", 1, 4 * time.Second, 5 * time.Second, 20 * time.Millisecond, burst(66, least), spread},
	}
}

// compare runs a load with both policies, logs the outcomes, and returns that of
// Queue.
func compare(t *testing.T, total, settled time.Duration, kinds ...kind) (ours, former map[ident.Class]*outcome, ws map[ident.Workspace]*outcome, after *outcome) {
	t.Helper()
	former, _, _ = simulate(&fairShares{}, 5, total, settled, kinds...)
	ours, ws, after = simulate(&ranked{}, 5, total, settled, kinds...)
	for _, k := range kinds {
		a, b := former[k.name], ours[k.name]
		t.Logf("%-7s of %4d: met %.3f late %4d, with fairq met %.3f late %4d", k.name, b.asked, b.metShare(), b.late, a.metShare(), a.late)
	}
	return ours, former, ws, after
}

// value returns the value of the outcomes, where a late answer has a fifth of it.
func value(kinds []kind, o map[ident.Class]*outcome) float64 {
	v := 0.0
	for _, k := range kinds {
		v += float64(k.weight) * (float64(o[k.name].met) + float64(o[k.name].late)/5)
	}
	return v
}

// TestLeastBurst guards against a burst of the least valuable class that costs the
// others more than 1% of their objectives, and against one that is refused although
// its deadline allows it to be served after the burst.
func TestLeastBurst(t *testing.T) {
	is := is.New(t)
	ours, _, _, after := compare(t, 12*time.Second, 9*time.Second, threeKinds(1, 1, 2.6)...)
	is.True(ours["urgent"].metShare() >= 0.99)
	is.True(ours["middle"].metShare() >= 0.99)
	is.True(ours["least"].met+ours["least"].late >= ours["least"].asked*95/100)
	is.True(after.metShare() >= 0.9)
}

// TestUrgentBurst guards against a burst of the most valuable class that is served at
// its share, so that it misses its objective while less valuable statements run.
func TestUrgentBurst(t *testing.T) {
	is := is.New(t)
	kinds := threeKinds(2.6, 1, 1)
	ours, former, _, after := compare(t, 14*time.Second, 9*time.Second, kinds...)
	is.True(ours["urgent"].metShare() >= 0.99)
	is.True(value(kinds, ours) > value(kinds, former))
	is.True(ours["least"].met+ours["least"].late >= ours["least"].asked/FloorShare)
	is.True(after.metShare() >= 0.9)
}

// TestStandingQueue guards against a queue in which every statement of a class just
// misses its objective, and against one that outlasts the overload by more than 2 s.
func TestStandingQueue(t *testing.T) {
	is := is.New(t)
	only := []kind{{"only", 4, time.Second, 5 * time.Second, 20 * time.Millisecond, burst(200, 2), spread}}
	ours, former, _, after := compare(t, 12*time.Second, 9*time.Second, only...)
	// The slots run 250 statements a second, so 62% of the burst.
	is.True(ours["only"].metShare() >= 0.75)
	is.True(value(only, ours) >= value(only, former))
	is.True(after.metShare() >= 0.99)
}

// TestHotWorkspaces guards against two workspaces at seven times their rate that cost
// the others of their class more than 1% of their objectives.
func TestHotWorkspaces(t *testing.T) {
	is := is.New(t)
	hot := func(i int) ident.Workspace {
		if i%10 < 8 {
			return ident.Workspace([]string{"hot1", "hot2"}[i%2])
		}
		return ident.Workspace(rune('a' + i/10%18))
	}
	_, _, ws, _ := compare(t, 8*time.Second, 8*time.Second,
		kind{"urgent", 4, time.Second, 5 * time.Second, 20 * time.Millisecond, steady(350), hot},
		kind{"least", 1, 4 * time.Second, 5 * time.Second, 20 * time.Millisecond, steady(20), func(int) ident.Workspace { return "least" }})
	var others outcome
	for name, o := range ws {
		if len(name) == 1 {
			others.asked += o.asked
			others.met += o.met
		}
	}
	t.Logf("others met %.3f", others.metShare())
	is.True(others.metShare() >= 0.99)
}

// TestFloor guards against a class that gets no slot time while more valuable ones
// take all slots.
func TestFloor(t *testing.T) {
	is := is.New(t)
	ours, _, _, _ := compare(t, 10*time.Second, 10*time.Second,
		kind{"urgent", 4, time.Second, 5 * time.Second, 20 * time.Millisecond, steady(600), spread},
		kind{"least", 1, 4 * time.Second, 5 * time.Second, 20 * time.Millisecond, steady(100), spread})
	// A twentieth of 250 statements a second, for 10 s.
	is.True(ours["least"].met+ours["least"].late >= 110)
}

// TestReturnAtOnce guards against urgent statements that miss their objective because
// the callers of all classes retry at one moment, as after an outage, and against a
// backlog that delays urgent ones for longer than 2 s.
func TestReturnAtOnce(t *testing.T) {
	is := is.New(t)
	kinds := threeKinds(1, 1, 1)
	for i := range kinds {
		kinds[i].rate = func(at time.Duration) float64 {
			if at >= 2*time.Second && at < 2300*time.Millisecond {
				return 600
			}
			return 60
		}
	}
	ours, former, _, _ := compare(t, 6*time.Second, 6*time.Second, kinds...)
	is.True(ours["urgent"].metShare() >= 0.99)
	is.True(ours["middle"].met+ours["middle"].late >= ours["middle"].asked*99/100)
	is.True(value(kinds, ours) > value(kinds, former))
}

// TestLongUrgent guards against urgent statements that take several times as long as the
// others, so that these have more value for each slot second, and miss their objective in
// a burst of the least valuable class because they are started at the last moment.
func TestLongUrgent(t *testing.T) {
	is := is.New(t)
	kinds := threeKinds(1, 1, 2.6)
	for i, k := range []struct{ work, rate float64 }{{40, 45}, {15, 70}, {8, 100}} {
		kinds[i].work, kinds[i].rate = time.Duration(k.work)*time.Millisecond, burst(k.rate, []float64{1, 1, 2.6}[i])
	}
	ours, _, _, _ := compare(t, 14*time.Second, 9*time.Second, kinds...)
	is.True(ours["urgent"].metShare() >= 0.99)
	is.True(ours["middle"].metShare() >= 0.99)
	is.True(ours["least"].metShare() >= 0.95)
}
