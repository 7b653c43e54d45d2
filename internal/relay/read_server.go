package relay

import (
	"context"
	"sync"
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
)

// takenDelay is how long a read may take before the borrower is told that the lender
// works on it. It is well below takenTimeout; most reads need no such message.
const takenDelay = 100 * time.Millisecond

// errNotARead reports a RelayRead with a statement that may not run twice.
var errNotARead = &Error{Op: "read", Kind: KindProtocol}

// read serves a RelayRead.
func (s *Server) read(st serverStream, r *peerpb.RelayRead) error {
	if r.Open == nil || r.Statement == nil {
		return errProtocol
	}
	if s.stopping.Load() {
		return st.Send(readDone(&peerpb.RelayReadDone{Opened: &peerpb.RelayOpened{Failure: uint32(dbpool.KindClosed)}}))
	}
	s.loans.Add(1)
	s.lent.Add(1)
	defer s.loans.Done()
	defer s.lent.Add(-1)
	taken := newTakenNotice(st)
	done, err := s.runRead(st.Context(), r)
	if err != nil {
		return err
	}
	return taken.finish(readDone(done))
}

func readDone(d *peerpb.RelayReadDone) *peerpb.RelayReply {
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_ReadDone{ReadDone: d}}
}

// takenNotice tells a borrower after takenDelay that its request was received, unless the
// request has been answered by then.
type takenNotice struct {
	st    serverStream
	timer *time.Timer
	// mu serializes sending.
	mu       sync.Mutex
	finished bool
	err      error
}

func newTakenNotice(st serverStream) *takenNotice {
	n := &takenNotice{st: st}
	n.timer = time.AfterFunc(takenDelay, n.send)
	return n
}

func (n *takenNotice) send() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.finished {
		n.err = n.st.Send(takenReply())
	}
}

// finish sends the answer to the request.
func (n *takenNotice) finish(r *peerpb.RelayReply) error {
	n.timer.Stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.finished = true
	if n.err != nil {
		return n.err
	}
	return n.st.Send(r)
}

// runRead gets a connection, sets it up and runs the read.
func (s *Server) runRead(ctx context.Context, r *peerpb.RelayRead) (*peerpb.RelayReadDone, error) {
	sts, ok := fromStatements([]*peerpb.RelayStatement{r.Statement})
	if !ok || sts[0].Kind != dbop.Read && (sts[0].Kind != dbop.Execute || sts[0].Writes) {
		return nil, errNotARead
	}
	setup := dbpool.Setup{Vars: fromVariables(r.Variables)}
	if r.Prepare != nil {
		prepare, ok := fromStatements([]*peerpb.RelayStatement{r.Prepare})
		if !ok || prepare[0].Kind != dbop.Prepare {
			return nil, errProtocol
		}
		setup.Prepare = prepare[0]
	}
	setClass(sts, s.classWeight(openScheduling(r.Open)))
	m, start := fromOpen(r.Open), time.Now()
	conn, err := s.connInTurn(ctx, start.Add(time.Duration(r.Open.WaitMs)*time.Millisecond), m, r.Open)
	done := &peerpb.RelayReadDone{Opened: s.loadReply(m)}
	if conn == nil {
		setFailure(done.Opened, err)
		return done, nil
	}
	if code := s.setUp(conn, &setup); code != dbop.OK {
		done.Setup = uint32(code)
		return done, nil
	}
	deadline := time.Now().Add(time.Duration(r.LimitMs) * time.Millisecond)
	if end := start.Add(time.Duration(r.TotalMs) * time.Millisecond); end.Before(deadline) {
		deadline = end
	}
	answers, err := s.runInTurn(m, conn, deadline, sts)
	if err != nil {
		s.Pools.CloseIdleIfSilent(m, conn.SentAt())
	}
	if len(answers) > 0 {
		done.Answer = toAnswer(&answers[0])
	}
	s.addSpeed(done.Opened, m, conn)
	conn.Release(err == nil)
	return done, nil
}

// setUp brings the needed session state about on a connection. It releases the
// connection unless it returns OK.
func (s *Server) setUp(conn *dbpool.Conn, setup *dbpool.Setup) dbop.Code {
	sts := setup.Statements(conn)
	if len(sts) == 0 {
		return dbop.OK
	}
	answers, err := conn.Do(time.Now().Add(dbpool.SetupTimeout), sts...)
	if err != nil {
		conn.Release(false)
		return dbop.Unknown
	}
	for i := range answers {
		if code := answers[i].Code; code != dbop.OK {
			conn.Release(code.Rejected())
			return code
		}
	}
	return dbop.OK
}
