package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
)

// Server lends the connections of this VM. Its fields must be set before the
// first use.
type Server struct {
	Pools *dbpool.Pools
	// ClassOf returns the objective and deadline of a class. Lends reports whether
	// connections to the databases of a group are lent. Requests have no order unless
	// both are set.
	ClassOf func(ident.Class) catal.Class
	Lends   func(ident.Group) bool
	Log     zerolog.Logger
	// ZoneStatus, unless nil, returns how the databases of a zone may be used now.
	ZoneStatus func(ident.Zone) place.Status

	mu     sync.Mutex
	queues map[ident.Target]*readQueue
	turns  map[ident.Target]*turnQueue

	stopping atomic.Bool
	loans    sync.WaitGroup
	lent     atomic.Int64
}

// serverStream is a stream opened by a borrower.
type serverStream = grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayReply]

// Relay implements the Relay call of the Peer service. A stream serves one loan
// after another.
func (s *Server) Relay(st serverStream) error {
	for {
		r, err := st.Recv()
		if err != nil {
			return nil // the borrower has closed the stream
		}
		if read := r.GetRead(); read != nil {
			if err := s.read(st, read); err != nil {
				return err
			}
			continue
		}
		o := r.GetOpen()
		if o == nil {
			continue // left over from a loan that was refused
		}
		if err := s.lend(st, o); err != nil {
			return err
		}
	}
}

// LentCount returns the number of loans in progress.
func (s *Server) LentCount() int { return int(s.lent.Load()) }

// Stop makes the server refuse further loans.
func (s *Server) Stop() { s.stopping.Store(true) }

// Wait waits until no loan is in progress, or until the deadline. It returns the
// number of remaining loans.
func (s *Server) Wait(deadline time.Time) int {
	done := make(chan struct{})
	go func() {
		s.loans.Wait()
		close(done)
	}()
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
	return s.LentCount()
}

// lend serves one loan.
func (s *Server) lend(st serverStream, o *peerpb.RelayOpen) error {
	if s.stopping.Load() {
		return st.Send(openedReply(&peerpb.RelayOpened{Failure: uint32(dbpool.KindClosed)}))
	}
	s.loans.Add(1)
	s.lent.Add(1)
	defer s.loans.Done()
	defer s.lent.Add(-1)
	if err := st.Send(takenReply()); err != nil {
		return err
	}
	m := fromOpen(o)
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	sched := openScheduling(o)
	conn, err := s.connInTurn(st.Context(), deadline, m, o)
	reply := s.openResult(m, conn, err)
	if conn == nil {
		return st.Send(openedReply(reply))
	}
	if err := st.Send(openedReply(reply)); err != nil {
		conn.Release(true)
		return err
	}
	return s.run(st, m, conn, s.classWeight(sched))
}

// connInTurn returns a connection for a borrower once its request has its turn.
func (s *Server) connInTurn(ctx context.Context, deadline time.Time, m *roster.Member, o *peerpb.RelayOpen) (*dbpool.Conn, error) {
	ws := ident.Workspace(o.Workspace)
	turn, err := s.Await(ctx, deadline, m, ws, openScheduling(o))
	if err != nil {
		return nil, err
	}
	return s.Pools.GetWithTurn(deadline, m, ws, dbpool.Owner(o.Owner), turn)
}

func takenReply() *peerpb.RelayReply {
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_Taken{Taken: &peerpb.RelayTaken{Reads: true}}}
}

func openedReply(o *peerpb.RelayOpened) *peerpb.RelayReply {
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_Opened{Opened: o}}
}

// loadReply returns the load of a database for a borrower.
func (s *Server) loadReply(m *roster.Member) *peerpb.RelayOpened {
	load, queue := s.Pools.LocalLoad(m, ""), s.queueOf(m.ID)
	return &peerpb.RelayOpened{
		Busy: uint32(queue.runningCount()), Waiting: uint32(load.Waiting + queue.waitingCount()), Faults: float32(load.FailureRate),
		Delays: s.turnsOf(m.ID).delays(),
	}
}

// setFailure records why there is no connection.
func setFailure(o *peerpb.RelayOpened, err error) {
	var e *dbpool.Error
	o.Failure = uint32(dbpool.KindUnreachable)
	if errors.As(err, &e) {
		o.Failure, o.Code = uint32(e.Kind), uint32(e.Code)
	}
}

// openResult returns the session state of a lent connection, or why there is no
// connection, together with the load of the database.
func (s *Server) openResult(m *roster.Member, conn *dbpool.Conn, err error) *peerpb.RelayOpened {
	out := s.loadReply(m)
	if err != nil {
		setFailure(out, err)
		return out
	}
	s.addSpeed(out, m, conn)
	out.Variables = toVariables(conn.Vars)
	for name := range conn.Prepared {
		out.Names = append(out.Names, []byte(name))
	}
	out.QuietMs = uint32(conn.AnswerAge().Milliseconds())
	return out
}

// run executes the borrower's statements until the connection is returned. When
// the stream ends before that, a connection that has been used is closed. sched has the
// class and weight of statements that the borrower sends without a class.
func (s *Server) run(st serverStream, m *roster.Member, conn *dbpool.Conn, sched dbop.Scheduling) error {
	used := false
	for {
		r, err := st.Recv()
		if err != nil {
			conn.Release(!used)
			return nil
		}
		switch step := r.Step.(type) {
		case *peerpb.RelayRequest_Return:
			conn.Release(step.Return.Keep)
			return nil
		case *peerpb.RelayRequest_Run:
			used = true
			if err := st.Send(s.runStatements(m, conn, step.Run, sched)); err != nil {
				conn.Release(false)
				return err
			}
		default:
			conn.Release(false)
			return errProtocol
		}
	}
}

func (s *Server) runStatements(m *roster.Member, conn *dbpool.Conn, r *peerpb.RelayRun, sched dbop.Scheduling) *peerpb.RelayReply {
	ran := &peerpb.RelayRan{Broken: true}
	deadline := time.Now().Add(time.Duration(r.LimitMs) * time.Millisecond)
	if sts, ok := fromStatements(r.Statements); ok {
		setClass(sts, sched)
		answers, err := s.runInTurn(m, conn, deadline, sts)
		ran.Answers, ran.Broken = toAnswers(answers), err != nil
	}
	if ran.Broken {
		s.Pools.CloseIdleIfSilent(m, conn.SentAt())
	}
	return &peerpb.RelayReply{Step: &peerpb.RelayReply_Ran{Ran: ran}}
}

// runInTurn runs statements. When a read among them has to be scheduled, it first
// waits for the turn of that read.
func (s *Server) runInTurn(m *roster.Member, conn *dbpool.Conn, deadline time.Time, sts []dbop.Statement) ([]dbop.Answer, error) {
	i := slices.IndexFunc(sts, func(st dbop.Statement) bool { return st.Scheduling.MaxWait > 0 })
	if i < 0 {
		return s.send(m, conn, deadline, sts)
	}
	sched := sts[i].Scheduling
	queue := s.queueOf(m.ID)
	if !queue.acquire(s.Pools.SlotLimit(m), sched, conn.Workspace) {
		out := make([]dbop.Answer, len(sts))
		for i := range out {
			out[i] = dbop.Answer{Code: dbop.Crowded, State: conn.State(), Text: "too many statements wait for the database"}
		}
		return out, nil
	}
	start, ws := time.Now(), conn.Workspace
	release := sync.OnceFunc(func() { queue.release(sched, ws, time.Since(start)) })
	slotTimer := time.AfterFunc(maxSlotHold, release)
	defer slotTimer.Stop()
	defer release()
	return s.send(m, conn, deadline, sts)
}

// queueOf returns the queue of reads for a database.
func (s *Server) queueOf(id ident.Target) *readQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[id]
	if q == nil {
		if s.queues == nil {
			s.queues = map[ident.Target]*readQueue{}
		}
		q = &readQueue{}
		s.queues[id] = q
	}
	return q
}

// errProtocol reports a message that is not allowed at this point of a stream.
var errProtocol = &Error{Op: "lend", Kind: KindProtocol}
