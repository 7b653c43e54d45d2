package engine_test

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// pressedLender reports a delay at databases and lends no connections.
type pressedLender struct {
	mu       sync.Mutex
	pressure map[ident.Target]dbpool.Pressure
}

func (l *pressedLender) set(id ident.Target, p dbpool.Pressure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pressure == nil {
		l.pressure = map[ident.Target]dbpool.Pressure{}
	}
	l.pressure[id] = p
}

func (l *pressedLender) Borrow(time.Time, *roster.Member, *dbpool.Request) (c dbpool.LentConn, ok bool, err error) {
	return c, false, nil
}

func (l *pressedLender) Load(*roster.Member, ident.Workspace, place.Regions) (c dbpool.Load, ok bool) {
	return c, false
}

func (l *pressedLender) Pressure(m *roster.Member, _ ident.Workspace, _ place.Regions) dbpool.Pressure {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pressure[m.ID]
}

// TestPressure guards against statements that are sent although the queue is too long,
// against refusals for a stale figure or while another database has room, against ones
// without probes, and against retries at one moment or later for urgent statements.
func TestPressure(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		is := is.New(t)
		rank(f)
		report := func(age time.Duration) dbpool.Pressure {
			return dbpool.Pressure{Delays: []uint32{4, 9000, 1, 9000}, At: time.Now().Add(-age), Source: "lender"}
		}
		l := f.lender
		longest := map[ident.Route]int{}
		for _, route := range []ident.Route{"urgent", "least"} {
			s := f.open(t, route)
			defer s.end()
			sent, texts := 0, map[string]bool{}
			for range 300 {
				l.set("a", report(0))
				start := time.Now()
				a := s.run(dbop.Read)
				if a.Code == dbop.OK {
					sent++
					continue
				}
				is.Equal(time.Since(start), time.Duration(0))
				is.Equal(a.Code, dbop.Busy)
				texts[a.Text] = true
				n, _ := strings.CutPrefix(a.Text, "not run: too many statements wait for the database; retry after ")
				ms, err := strconv.Atoi(strings.TrimSuffix(n, " ms"))
				is.NoErr(err)
				longest[route] = max(longest[route], ms)
			}
			is.True(sent > 10 && sent < 60) // one in ten
			is.True(len(texts) > 100)
			l.set("a", report(1100*time.Millisecond))
			for range 20 {
				is.Equal(s.run(dbop.Read).Code, dbop.OK)
			}
		}
		is.True(longest["urgent"] < longest["least"]/2)
		b := f.open(t, "stale")
		defer b.end()
		for range 20 { // the replicas have room
			l.set("a", report(0))
			is.Equal(b.run(dbop.Read).Code, dbop.OK)
		}
		sent := 0
		for range 300 { // no database has room, and each of the three is probed
			for _, id := range []ident.Target{"a", "b", "c"} {
				l.set(id, report(0))
			}
			if b.run(dbop.Read).Code == dbop.OK {
				sent++
			}
		}
		is.True(sent > 40 && sent < 130)
		refused := 0
		for range 20 { // no database has room
			for _, id := range []ident.Target{"a", "b", "c"} {
				l.set(id, report(0))
			}
			is.Equal(b.run(dbop.BeginRead).Code, dbop.OK)
			start := time.Now()
			if b.run(dbop.Read).Code == dbop.Busy {
				is.Equal(time.Since(start), time.Duration(0))
				refused++
			}
			b.run(dbop.Rollback)
		}
		is.True(refused > 0)
	})
}
