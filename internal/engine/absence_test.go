package engine_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/access"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// rank gives the fixture's catalogue two routes of different priority.
func rank(f *fixture) {
	f.set(func(f *fixture) {
		c := catalogue(2, "key")
		c.Classes = map[ident.Class]catal.Class{
			"urgent": {DeadlineMS: 5000, ObjectiveMS: 120, Weight: 4}, "least": {DeadlineMS: 5000, ObjectiveMS: 4000, Weight: 1},
		}
		for _, name := range []ident.Route{"urgent", "least"} {
			c.Routes[name] = catal.Route{Group: "g", Class: ident.Class(name), Reads: catal.ConsistencyPrimary}
		}
		c.Routes["stale"] = catal.Route{Group: "g", Class: "least", Reads: catal.ConsistencyBounded, MaxAgeMS: 1500}
		f.index = access.NewKeyIndex(c)
	})
}

// TestBurstWithoutPrimary guards against an unbounded number of statements that wait
// for a new primary, against urgent ones refused while others wait, against refusals
// that come late, and against retries at one moment.
func TestBurstWithoutPrimary(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		rank(f)
		f.c.Update("a", func(d *linktest.DB) { d.Primary = false })
		f.c.Roster().DeposePrimary("g", "a", time.Now())
		var wg sync.WaitGroup
		var mu sync.Mutex
		served, late := map[ident.Route]int{}, 0
		texts := map[string]bool{}
		start := time.Now()
		for i := range 40 {
			route := ident.Route("least")
			if i >= 20 {
				route = "urgent"
			}
			s := f.open(t, route)
			defer s.end()
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				a := s.run(dbop.Write)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Code == dbop.OK:
					served[route]++
				case time.Since(start) > 200*time.Millisecond:
					late++
				case strings.HasPrefix(a.Text, "not run: the group has no primary now; retry after "):
					texts[a.Text] = true
				}
			})
		}
		time.Sleep(2 * time.Second)
		f.c.Promote("b")
		back := time.Now()
		wg.Wait()
		t.Logf("served %v, refused late %d, different texts %d", served, late, len(texts))
		is.True(time.Since(back) < 2*time.Second)
		is.Equal(served["least"], 0)
		is.Equal(served["urgent"], 16) // 4 slots, 30 ms each, within 120 ms
		is.Equal(late, 0)
		is.True(len(texts) > 20)
	})
}

// TestBriefAbsence guards against statements refused by a VM that has not found the
// primary yet, as after its start.
func TestBriefAbsence(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		rank(f)
		f.c.Update("a", func(d *linktest.DB) { d.Primary = false })
		f.c.Roster().DeposePrimary("g", "a", time.Now())
		var wg sync.WaitGroup
		codes := make([]dbop.Code, 40)
		for i := range codes {
			s := f.open(t, "least")
			defer s.end()
			wg.Go(func() { codes[i] = s.run(dbop.Write).Code })
		}
		time.Sleep(10 * time.Millisecond)
		f.c.Promote("b")
		f.c.Roster().ConfirmPrimary("g", "b")
		wg.Wait()
		for _, code := range codes {
			is.Equal(code, dbop.OK)
		}
	})
}
