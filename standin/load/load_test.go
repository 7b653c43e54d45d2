package load

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/memnet"
	"chervilspan.example/standin/repl"
	"chervilspan.example/standin/target"
)

// TestSchedule guards against arrivals that differ for the same seed, and against
// weights or write shares that do not take effect.
func TestSchedule(t *testing.T) {
	is := is.New(t)
	cfg, err := Config{
		Addresses: []string{"x"}, Workspaces: make([]Workspace, 4), Seed: 7, Rate: 1000, Duration: 10 * time.Second, WriteShare: 0.1,
	}.withDefaults()
	is.NoErr(err)
	p, q := newSchedule(cfg), newSchedule(cfg)
	counts := make([]int, 4)
	writes, last := 0, time.Duration(0)
	for {
		a, ok := p.next()
		b, also := q.next()
		is.Equal(a, b)
		is.Equal(ok, also)
		if !ok {
			break
		}
		is.True(a.At >= last && a.At < cfg.Duration)
		last = a.At
		counts[a.Workspace]++
		writes += int(a.Class)
	}
	total := counts[0] + counts[1] + counts[2] + counts[3]
	is.True(total > 9500 && total < 10500)
	is.True(writes > total/12 && writes < total/8)
	is.True(counts[0] > counts[1] && counts[1] > counts[2] && counts[2] > counts[3])
}

// TestCompare guards against a verdict that passes although an order is lost,
// duplicated or present although it did not run.
func TestCompare(t *testing.T) {
	for _, test := range []struct {
		name       string
		outcome    Outcome
		rows       int
		want       Verdict
		consistent bool
	}{
		{"done", OutcomeDone, 1, Verdict{}, true},
		{"lost", OutcomeDone, 0, Verdict{Lost: 1}, false},
		{"doubled", OutcomeDone, 2, Verdict{Duplicated: 1}, false},
		{"not run", OutcomeNotRun, 0, Verdict{}, true},
		{"ghost", OutcomeNotRun, 1, Verdict{NotRunPresent: 1}, false},
		{"unknown absent", OutcomeUnknown, 0, Verdict{}, true},
		{"unknown present", OutcomeUnknown, 1, Verdict{UnknownPresent: 1}, true},
		{"unknown doubled", OutcomeUnknown, 2, Verdict{Duplicated: 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rows := map[string]int{}
			if test.rows > 0 {
				rows["a"] = test.rows
			}
			test.want.Orders = 1
			got := compare([]Order{{ID: "a", Outcome: test.outcome}}, rows)
			is.Equal(got, test.want)
			is.Equal(got.Consistent(), test.consistent)
		})
	}
	is := is.New(t)
	is.True(!compare(nil, map[string]int{"b": 1}).Consistent())
}

// TestClassify guards against an unknown outcome that is counted as not run.
func TestClassify(t *testing.T) {
	for _, test := range []struct {
		err    error
		want   Outcome
		reason string
	}{
		{nil, OutcomeDone, ""},
		{&pgconn.PgError{Code: "53400", Message: "rate; not run"}, OutcomeNotRun, "53400"},
		{&pgconn.PgError{Code: "08007", Message: "lost; outcome unknown"}, OutcomeUnknown, "08007"},
		{&pgconn.PgError{Code: "XX000", Message: "anything"}, OutcomeUnknown, "XX000"},
		{&notSentError{errors.New("refused")}, OutcomeNotRun, "not_sent"},
		{&notSentError{&pgconn.PgError{Code: "57P03"}}, OutcomeNotRun, "57P03"},
		{context.DeadlineExceeded, OutcomeUnknown, "timeout"},
		{errors.New("unexpected EOF"), OutcomeUnknown, "broken"},
	} {
		is := is.New(t)
		got, reason := classify(test.err)
		is.Equal(got, test.want)
		is.Equal(reason, test.reason)
	}
}

// withGroup runs f with an elected group of two targets, access to it and the
// settings of a run.
func withGroup(t *testing.T, f func(is *is.I, all []*target.Server, a Access, cfg Config)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n memnet.Net
		var all []*target.Server
		var a Access
		for i, address := range []string{"10.0.0.1:5432", "10.0.0.2:5432"} {
			s, err := target.New(target.Config{
				ID: ident.Target([]string{"a1", "a2"}[i]), Listener: n.Listen(address), Dial: n.Dial,
				Slots: 2, ServiceTime: 2 * time.Millisecond,
			})
			is.NoErr(err)
			defer func() { _ = s.Close() }()
			all = append(all, s)
			a.Addresses = append(a.Addresses, address)
		}
		is.NoErr(target.Elect(context.Background(), 1, all...))
		a.dial = n.Dial
		is.NoErr(Prepare(context.Background(), a))
		f(is, all, a, Config{
			Addresses: a.Addresses[:1], Workspaces: []Workspace{{Name: "w1"}, {Name: "w2"}}, Seed: 1,
			Rate: 200, Duration: 5 * time.Second, WriteShare: 0.5, dial: n.Dial,
		})
	})
}

// TestRun guards against errors reported in a run without faults, and against a
// lost answer that is counted as done or not run.
func TestRun(t *testing.T) {
	for _, drops := range []string{"0", "3"} {
		t.Run("drops "+drops, func(t *testing.T) {
			withGroup(t, func(is *is.I, all []*target.Server, a Access, cfg Config) {
				is.NoErr(all[0].SetFault(target.FaultDropCommit, drops))
				r, err := Run(context.Background(), cfg)
				is.NoErr(err)
				v, err := Verify(context.Background(), a, r.Ledger)
				is.NoErr(err)
				is.True(v.Consistent())
				lost := int(drops[0] - '0')
				is.Equal(r.Total.Unknown, lost)
				is.Equal(v.UnknownPresent, lost)
				is.Equal(r.Total.Done, r.Total.Sent-lost)
				is.True(r.Total.Sent > 900)
				is.Equal(r.StaleReads+r.WrongAnswers, 0)
				is.Equal(r.Connects, 8+lost)
			})
		})
	}
}

// TestStall guards against latencies that omit the time in which no session was
// free to send, and against an outage that the write gap does not show.
func TestStall(t *testing.T) {
	withGroup(t, func(is *is.I, all []*target.Server, _ Access, cfg Config) {
		go func() {
			time.Sleep(2 * time.Second)
			_ = all[0].SetFault(target.FaultFreeze, "1")
			time.Sleep(time.Second)
			_ = all[0].SetFault(target.FaultFreeze, "0")
		}()
		r, err := Run(context.Background(), cfg)
		is.NoErr(err)
		is.Equal(r.Total.Done, r.Total.Sent)
		is.True(r.WriteGapMS >= 990 && r.WriteGapMS < 1200)
		// A fifth of the arrivals are due during the stall; a closed-loop
		// generator would send only 8 of them.
		is.True(r.Latency["/write"].P99 > 800)
		is.True(r.Latency["/write"].P50 < 100)
	})
}

// TestGap guards against a gap at the end of the run that is not counted, and
// against time after the end that is.
func TestGap(t *testing.T) {
	for _, test := range []struct {
		moments []time.Duration
		want    float64
	}{
		{nil, 100},
		{[]time.Duration{30, 10, 60}, 40},
		{[]time.Duration{10, 50, 90, 300}, 40},
		{[]time.Duration{70, 75, 80}, 70},
	} {
		is := is.New(t)
		for i := range test.moments {
			test.moments[i] *= time.Millisecond
		}
		is.Equal(longestGap(test.moments, 100*time.Millisecond), test.want)
	}
}

// TestGrace guards against a run that never ends while a target does not answer,
// and against queued arrivals that are missing from the counts.
func TestGrace(t *testing.T) {
	withGroup(t, func(is *is.I, all []*target.Server, _ Access, cfg Config) {
		is.NoErr(all[0].SetFault(target.FaultFreeze, "1"))
		cfg.GracePeriod = time.Second
		start := time.Now()
		r, err := Run(context.Background(), cfg)
		is.NoErr(err)
		is.True(time.Since(start) < 8*time.Second)
		is.True(r.Total.Sent > 900)
		is.Equal(r.Total.NotRun, r.Total.Sent) // no session could connect
		is.NoErr(all[0].SetFault(target.FaultFreeze, "0"))
	})
}

// TestElect guards against an election in a term that a target has promised
// before, and against replicas that keep following the former primary.
func TestElect(t *testing.T) {
	withGroup(t, func(is *is.I, all []*target.Server, a Access, _ Config) {
		members := []repl.Member{{ID: "a2", Address: all[1].Addr()}, {ID: "a1", Address: all[0].Addr()}}
		is.NoErr(a.Elect(context.Background(), members))
		address, err := a.PrimaryAddress(context.Background())
		is.NoErr(err)
		is.Equal(address, all[1].Addr())
		is.NoErr(Prepare(context.Background(), a))
		time.Sleep(time.Second)
		var quorum int64
		is.NoErr(a.queryValue(context.Background(), address, &quorum, "SELECT quorum_term FROM chervil_status()"))
		is.Equal(quorum, int64(2))
	})
}

// TestStaleRead guards against a read that misses an acknowledged write of its
// session and is not counted as stale.
func TestStaleRead(t *testing.T) {
	withGroup(t, func(is *is.I, _ []*target.Server, _ Access, cfg Config) {
		s := &session{cfg: cfg, rec: newRecorder(cfg), id: 1, lastAcked: 3, lastSeq: 3}
		is.NoErr(s.readLastOrder(context.Background()))
		is.Equal(s.rec.staleReads, 1)
		s.closeConn()
	})
}
