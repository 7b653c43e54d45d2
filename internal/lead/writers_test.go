package lead_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/lead"
	"chervilspan.example/internal/linktest"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

const (
	// promotionDelay is the time from an accepted call to its effect.
	promotionDelay = 700 * time.Millisecond
	// maxDatabases bounds the databases that join a group.
	maxDatabases = 5
	// writePause and idlePause are the longest pauses between writes of a VM.
	writePause = 40 * time.Millisecond
	idlePause  = 3 * time.Second
	// connTimeout bounds the waits of a write for a primary and for a connection.
	connTimeout = 300 * time.Millisecond
)

// write writes to the primary on connections of a VM, as the session engine does, until the
// VM is killed or the play ends. The VM makes longer pauses now and then.
func (s *soak) write(vm *soakVM, mon *lead.Monitor, pools *dbpool.Pools, rnd *rand.Rand) {
	for s.ctx.Err() == nil && !vm.killed.Load() {
		pause := writePause
		if rnd.IntN(20) == 0 {
			pause = idlePause
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(pause))))
		m, ok := mon.Await(time.Now().Add(connTimeout), "g")
		if !ok {
			continue
		}
		conn, err := pools.Get(time.Now().Add(connTimeout), &m, "", 0)
		if err != nil {
			mon.ReportUnanswered("g", m.ID)
			continue
		}
		sent := s.now()
		answers, err := conn.Do(time.Now().Add(writeTimeout), dbop.Statement{Kind: dbop.Write, ID: "w", Text: "WRITE x 1"})
		conn.Release(err == nil)
		switch {
		case err != nil:
			pools.CloseIdleIfSilent(&m, conn.SentAt())
			mon.ReportStalledWrite("g", m.ID)
		case answers[0].Code == dbop.OK:
			mon.ReportWrite("g", m.ID)
			mon.Confirm("g", m.ID, answers[0].Position, sent)
		case answers[0].Code == dbop.ReadOnly:
			mon.Depose("g", m.ID)
		}
	}
}

// commitWrite replicates a commit of a primary to one replica, if one receives it, and reports
// whether it is acknowledged. The others follow with the next step.
func (s *soak) commitWrite(p *linktest.DB) bool {
	p.Index--
	if s.leader(s.logs) != p {
		return false
	}
	p.Index++
	receivers := slices.DeleteFunc(slices.Clone(s.logs), func(d *linktest.DB) bool { return !s.receives(d, p) })
	if len(receivers) == 0 {
		return false
	}
	receivers[s.commitRnd.IntN(len(receivers))].Index = p.Index
	s.acked, s.ackedAt = max(s.acked, p.Index), time.Now()
	return true
}

// replicate sends the log of the primary to all replicas that receive it.
func (s *soak) replicate(dbs []*linktest.DB) {
	p := s.leader(dbs)
	if p == nil || p.Unreachable || p.Removed {
		return
	}
	for _, d := range dbs {
		if s.receives(d, p) {
			d.Index = p.Index
		}
	}
}

// writerTrouble plays one of the troubles that only plays with writers have.
func (s *soak) writerTrouble(id ident.Target, span time.Duration) {
	switch s.rnd.IntN(4) {
	case 0:
		id = s.currentPrimary()
		fallthrough
	case 1:
		share := s.rnd.IntN(100)
		s.note("%s is cut off from %d%% of the VMs for %v", id, share, span)
		for _, vm := range s.vms {
			if s.rnd.IntN(100) < share {
				vm.cut.Store(id, time.Now().Add(span))
			}
		}
	case 2:
		s.note("%s is cut off from the store for %v", id, span)
		s.muted[id] = period{time.Now(), time.Now().Add(span)}
	case 3:
		s.joinOrLeave(id)
	}
}

// joinOrLeave adds a database, or lets a replica leave if there are many.
func (s *soak) joinOrLeave(id ident.Target) {
	present := 0
	for _, d := range s.dbs {
		if !s.isDown(d) && !s.leaving[d] {
			present++
		}
	}
	if present < maxDatabases {
		s.join()
		return
	}
	if id != s.currentPrimary() && !s.leaving[id] {
		s.note("%s leaves", id)
		s.leave(id)
	}
}

// TestNoCommitLostWriters is TestNoCommitLostLateCalls with VMs that write on connections of
// their own, so that a commit is acknowledged where a VM takes a database for the primary, and
// with databases that are cut off from VMs or from the store, join and leave.
func TestNoCommitLostWriters(t *testing.T) { playAll(t, soakKind{lateCalls: true, writers: true}) }

// TestNoCommitLostJoins is TestNoCommitLostWriters with databases that acknowledge commits
// before they are listed, and with VMs in another region than the databases, so that time
// passes between the fences and a demotion.
func TestNoCommitLostJoins(t *testing.T) {
	playAll(t, soakKind{lateCalls: true, writers: true, far: true})
}
