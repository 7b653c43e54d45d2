package lead_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

const (
	// linkDelay is the time that a message takes to a database in another region, one way.
	linkDelay = 30 * time.Millisecond
	// logStep is the interval of commits and of their replication.
	logStep = time.Millisecond
	// reportDelay is the time from the start of a database to its first report.
	reportDelay = 1200 * time.Millisecond
	// primaryChangeTime is the longest time that a group may be without commits while its
	// primary is replaced.
	primaryChangeTime = 5 * time.Second
)

// farDialer are the databases as a VM in another region reaches them.
type farDialer struct{ *linktest.Cluster }

type farLink struct{ dbpool.Link }

func (d farDialer) Dial(deadline time.Time, m *roster.Member, ws ident.Workspace) (dbpool.Link, dbop.Answer, error) {
	l, a, err := d.Cluster.Dial(deadline, m, ws)
	if l != nil {
		l = farLink{l}
	}
	return l, a, err
}

func (l farLink) Control(deadline time.Time, st dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	return l.Link.Control(deadline, st)
}

func (l farLink) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	return l.Link.Exchange(deadline, sts...)
}

// replicatedLogs commits at the primary all the time while a VM sends commits there, and
// replicates the commits to the other databases after a delay of their own.
type replicatedLogs struct {
	f *fixture
	// feeds is set when replicas go on receiving the log of a demoted primary.
	feeds  bool
	delays map[ident.Target]time.Duration
	// written has when the entries of the present log were written, by index.
	written map[uint64]time.Time
	source  *linktest.DB
	acked   uint64
	// ackedAt is when a commit was last acknowledged, longest the longest time without one.
	ackedAt time.Time
	longest time.Duration
	lost    []string
}

// run replicates until the VMs end.
func (l *replicatedLogs) run() {
	l.ackedAt = time.Now()
	for ; l.f.ctx.Err() == nil; time.Sleep(logStep) {
		sent := slices.ContainsFunc(l.f.monitors, func(mon *lead.Monitor) bool {
			m, ok := mon.Await(time.Now(), "g")
			return ok && l.source != nil && m.ID == l.source.ID && mon.AllowCommit(time.Now(), &m)
		})
		l.f.cluster.Update("a", func(*linktest.DB) { l.step(sent) }) // holds the cluster's lock
	}
}

// step commits one entry if a VM sends one, and replicates the log.
func (l *replicatedLogs) step(sent bool) {
	var primary *linktest.DB
	var dbs []*linktest.DB
	for _, id := range targets("a", "b", "c", "d") {
		d := l.f.cluster.Find(id)
		if d == nil {
			continue
		}
		if dbs = append(dbs, d); d.Primary {
			primary = d
		}
	}
	if primary != nil && primary != l.source {
		l.changeSource(primary, dbs)
	}
	if primary == nil && !l.feeds || l.source == nil {
		return
	}
	now := time.Now()
	if sent && primary != nil {
		primary.Index++
		l.written[primary.Index] = now
	}
	for _, d := range dbs {
		if d != l.source && !d.Removed && d.FenceTerm <= l.source.Term {
			l.receive(d, now, primary != nil)
		}
	}
}

// receive gives a replica the entries that have arrived. A primary acknowledges them.
func (l *replicatedLogs) receive(d *linktest.DB, now time.Time, acknowledges bool) {
	for d.Index < l.source.Index && now.Sub(l.written[d.Index+1]) >= l.delays[d.ID] {
		d.Index++
		if acknowledges && d.Index > l.acked {
			l.longest = max(l.longest, now.Sub(l.ackedAt))
			l.acked, l.ackedAt = d.Index, now
		}
	}
}

// changeSource checks the log of a database that was promoted.
func (l *replicatedLogs) changeSource(promoted *linktest.DB, dbs []*linktest.DB) {
	if promoted.Index < l.acked {
		l.lost = append(l.lost, fmt.Sprintf("%s leads with %d of %d acknowledged commits", promoted.ID, promoted.Index, l.acked))
		l.acked = promoted.Index
	}
	l.source = promoted
	for _, d := range dbs {
		d.Index = min(d.Index, promoted.Index)
	}
}

// join starts a database that receives the log after a delay. It is listed reportDelay later.
func (l *replicatedLogs) join(id ident.Target, delay time.Duration) {
	var index uint64
	l.f.cluster.Update("a", func(a *linktest.DB) {
		l.delays[id] = delay
		index = a.Index
	})
	l.f.cluster.Join(id, index)
	time.AfterFunc(reportDelay, func() {
		l.f.cluster.Update(id, func(d *linktest.DB) { d.Unlisted = false })
	})
}

// runFar runs two VMs in another region than the primary, a, and in that of its replicas b
// and c; d may join.
func runFar(t *testing.T, feeds bool, f func(*is.I, *replicatedLogs)) {
	t.Helper()
	fx := &fixture{wrapDialer: func(c *linktest.Cluster) dbpool.Dialer { return farDialer{c} }}
	runWith(t, 2, fx, func(is *is.I, fx *fixture) {
		l := &replicatedLogs{
			f: fx, feeds: feeds, written: map[uint64]time.Time{},
			delays: map[ident.Target]time.Duration{"b": linkDelay, "c": linkDelay},
		}
		fx.promoter.Delay = promotionDelay
		fx.running.Go(l.run)
		time.Sleep(2 * time.Second)
		f(is, l)
		if len(l.lost) > 0 {
			t.Errorf("%s\n%s", strings.Join(l.lost, "\n"), fx.log.String())
		}
		is.True(l.longest <= primaryChangeTime)
	})
}

// TestReplacedWhileOtherJoins guards against a planned replacement that loses what a
// database has acknowledged which joined the group and is not listed yet: between the
// fences of the replicas and the demotion of the primary it alone receives the log.
func TestReplacedWhileOtherJoins(t *testing.T) {
	for name, feeds := range map[string]bool{"demoted feeds": true, "demoted feeds none": false} {
		t.Run(name, func(t *testing.T) {
			runFar(t, feeds, func(is *is.I, l *replicatedLogs) {
				l.join("d", logStep)
				time.Sleep(100 * time.Millisecond)
				l.f.markLeaving("a")
				time.Sleep(7 * time.Second)
				promoted := l.f.promotions()
				is.True(len(promoted) > 0)
				is.True(promoted[len(promoted)-1] != "promote a") // it is replaced in time
			})
		})
	}
}

// TestReplacedWhileOtherLeaves guards against a successor that lacks what a replica has
// acknowledged that is leaving itself: the successor goes on receiving the log until the
// primary acknowledges nothing more.
func TestReplacedWhileOtherLeaves(t *testing.T) {
	runFar(t, false, func(is *is.I, l *replicatedLogs) {
		l.f.cluster.Update("b", func(*linktest.DB) { l.delays["b"] = logStep })
		l.f.markLeaving("b")
		l.f.cluster.Update("a", func(d *linktest.DB) { d.Unlisted = true })
		time.Sleep(7 * time.Second)
		promoted := l.f.promotions()
		is.True(len(promoted) > 0)
		is.Equal(promoted[len(promoted)-1], "promote c")
	})
}
