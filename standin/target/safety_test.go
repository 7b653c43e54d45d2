package target

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/topo"
	"chervilspan.example/standin/sqldb"
)

// TestMain sets a fixed seed for property tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// panicT is a rapid.T that fails by a panic, which can be passed out of a
// synctest bubble.
type panicT struct{ *rapid.T }

type violation string

func (panicT) Fatalf(format string, args ...any) { panic(violation(fmt.Sprintf(format, args...))) }

// safetyRun is a run of elections, cuts, restarts and writes in random order.
type safetyRun struct {
	t       panicT
	c       *cluster
	term    ident.Term
	next    int
	unacked map[int]ident.Position // committed but not acknowledged
	acked   map[int]ident.Position
	ackedBy map[ident.Term]ident.Target
}

func (s *safetyRun) pick(label string) *Server {
	return s.c.servers[rapid.IntRange(0, len(s.c.servers)-1).Draw(s.t.T, label)]
}

func (s *safetyRun) subset() []*Server {
	var out []*Server
	for i, srv := range s.c.servers {
		if rapid.IntRange(0, 3).Draw(s.t.T, fmt.Sprintf("reach %d", i)) > 0 {
			out = append(out, srv)
		}
	}
	return out
}

// elect runs an election among the reachable targets as the proxy's failover
// does.
func (s *safetyRun) elect(reach []*Server) {
	s.term++
	var promised []*Server
	for _, srv := range reach {
		if srv.raiseTerm(s.term) == nil {
			promised = append(promised, srv)
		}
	}
	if len(promised) <= len(s.c.servers)/2 {
		return
	}
	best := slices.MaxFunc(promised, func(a, b *Server) int {
		if a.status().Log.Less(b.status().Log) {
			return -1
		}
		return 1
	})
	if _, err := best.promote(s.term, s.c.members()); err != nil {
		s.t.Fatalf("promote %s: %v", best.ID(), err)
	}
	for n, p := range s.acked {
		if !best.has(p) {
			s.t.Fatalf("the new primary %s lacks the acknowledged write %d at %v", best.ID(), n, p)
		}
	}
	for _, srv := range reach {
		if srv != best && rapid.IntRange(0, 3).Draw(s.t.T, "told") > 0 {
			_ = srv.follow(s.term, best.ID(), best.Addr())
		}
	}
}

var insert = func() *sqldb.Statement {
	list, err := sqldb.Parse("INSERT INTO t VALUES ($1)")
	if err != nil {
		panic(err)
	}
	return list[0]
}()

// write runs a transaction on a target, which need not be the primary.
func (s *safetyRun) write(srv *Server) {
	s.next++
	t := &txn{}
	if srv.acquireWriteLock(context.Background(), t) != nil {
		return
	}
	if _, err := srv.runInTxn(insert, []any{int64(s.next)}, t, readBounds{}); err != nil {
		s.t.Fatalf("write %d: %v", s.next, err)
	}
	if p, err := srv.commit(t); err == nil {
		s.unacked[s.next] = p
	}
}

// acknowledge acknowledges the writes covered by the primaries' quorum
// positions, as a proxy does.
func (s *safetyRun) acknowledge() {
	for _, srv := range s.c.servers {
		srv.mu.Lock()
		q := srv.primaryQuorum()
		srv.mu.Unlock()
		for n, p := range s.unacked {
			if p.Term != q.Term || q.Less(p) {
				continue
			}
			if by := s.ackedBy[p.Term]; by != "" && by != srv.ID() {
				s.t.Fatalf("%s and %s acknowledge in term %d", by, srv.ID(), p.Term)
			}
			s.ackedBy[p.Term] = srv.ID()
			s.acked[n] = p
			delete(s.unacked, n)
		}
	}
}

func (s *safetyRun) step() {
	srv := s.pick("target")
	switch rapid.IntRange(0, 9).Draw(s.t.T, "step") {
	case 0, 1:
		s.elect(s.subset())
	case 2:
		_ = srv.SetFault(FaultCut, string(s.pick("peer").ID()))
	case 3:
		_ = srv.SetFault(FaultHeal, "*")
	case 4:
		i := slices.Index(s.c.servers, srv)
		_ = srv.Close()
		s.c.servers[i] = s.c.start(i)
	case 5:
		advance(time.Duration(rapid.IntRange(1, 1000).Draw(s.t.T, "ms")) * time.Millisecond)
	default:
		s.write(srv)
		advance(time.Duration(rapid.IntRange(0, 20).Draw(s.t.T, "ms")) * time.Millisecond)
	}
	s.acknowledge()
}

// settle ends all cuts, elects a primary and checks that all targets hold the
// same rows and that these include every acknowledged write.
func (s *safetyRun) settle() {
	for _, srv := range s.c.servers {
		_ = srv.SetFault(FaultHeal, "*")
	}
	for _, srv := range s.c.servers {
		s.term = max(s.term, srv.status().Term)
	}
	s.elect(s.c.servers)
	i := slices.IndexFunc(s.c.servers, func(srv *Server) bool { return srv.status().Role == topo.RolePrimary })
	primary := s.c.servers[i]
	for _, srv := range s.c.servers {
		if srv != primary {
			_ = srv.follow(s.term, primary.ID(), primary.Addr())
		}
	}
	advance(5 * time.Second)
	query, err := sqldb.Parse("SELECT id FROM t ORDER BY id")
	if err != nil {
		s.t.Fatalf("%v", err)
	}
	want, _, err := primary.read(query[0], nil, readBounds{})
	if err != nil {
		s.t.Fatalf("read: %v", err)
	}
	for n, p := range s.acked {
		if !slices.ContainsFunc(want.Rows, func(r []any) bool { return r[0] == int64(n) }) {
			s.t.Fatalf("the acknowledged write %d at %v is lost", n, p)
		}
	}
	for _, srv := range s.c.servers {
		got, at, err := srv.read(query[0], nil, readBounds{})
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			s.t.Fatalf("%s at %v has %v, %v; the primary has %v", srv.ID(), at, got.Rows, err, want.Rows)
		}
	}
}

// TestSafety guards against the loss of an acknowledged write, and against two
// primaries that acknowledge writes in one term, under elections, cuts between
// targets and restarts in random order.
func TestSafety(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(rt *rapid.T) {
		run++
		var failure any
		synctest.Test(t, func(*testing.T) {
			// A failure is a panic, which is recovered here and reported outside
			// of the bubble.
			defer func() { failure = recover() }()
			checkSafety(panicT{rt}, fmt.Sprintf("%s/%d", dir, run))
		})
		if v, ok := failure.(violation); ok {
			rt.Fatalf("%s", v)
		}
		if failure != nil {
			panic(failure)
		}
	})
}

func checkSafety(t panicT, dir string) {
	n := rapid.SampledFrom([]int{3, 3, 5}).Draw(t.T, "targets")
	lag := time.Duration(rapid.IntRange(0, 50).Draw(t.T, "lag")) * time.Millisecond
	c := newCluster(t, n, Config{Lag: lag, DataDir: dir})
	defer c.close()
	s := &safetyRun{t: t, c: c, unacked: map[int]ident.Position{}, acked: map[int]ident.Position{}, ackedBy: map[ident.Term]ident.Target{}}
	if err := Elect(context.Background(), 1, c.servers...); err != nil {
		t.Fatalf("%v", err)
	}
	s.term = 1
	conn := c.connect(c.servers[0])
	c.exec(conn, "CREATE TABLE t (id int PRIMARY KEY)")
	closeConn(conn)
	advance(time.Second)
	for range rapid.IntRange(5, 60).Draw(t.T, "steps") {
		s.step()
	}
	s.settle()
}
