package relay

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
)

// loan is a stream to a lender with a connection on it; it implements
// dbpool.Link.
type loan struct {
	c       *Client
	address string
	target  ident.Target
	st      grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayReply]
	cancel  context.CancelFunc
	used    time.Time
	// failed tells that the stream is of no further use.
	failed bool
}

// end closes the stream; the lender then closes a connection that was used.
func (l *loan) end() {
	l.failed = true
	l.cancel()
}

func (l *loan) send(r *peerpb.RelayRequest) error {
	if l.failed {
		return &Error{Op: "send", Kind: KindStreamFailed}
	}
	if err := l.st.Send(r); err != nil {
		l.end()
		return &Error{Op: "send", Kind: KindStreamFailed, Err: err}
	}
	return nil
}

// receive returns the lender's next message. When none comes by the deadline,
// the stream is closed.
func (l *loan) receive(deadline time.Time) (*peerpb.RelayReply, error) {
	if l.failed {
		return nil, &Error{Op: "receive", Kind: KindStreamFailed}
	}
	t := time.AfterFunc(time.Until(deadline), l.cancel)
	r, err := l.st.Recv()
	if !t.Stop() || err != nil {
		l.end()
		return nil, &Error{Op: "receive", Kind: KindStreamFailed, Err: err}
	}
	return r, nil
}

// Exchange implements dbpool.Link.
func (l *loan) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	limit := max(0, time.Until(deadline).Milliseconds())
	run := &peerpb.RelayRun{Statements: toStatements(sts), LimitMs: uint32(limit)}
	if err := l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Run{Run: run}}); err != nil {
		return nil, err
	}
	r, err := l.receive(deadline)
	if err != nil {
		return nil, err
	}
	ran := r.GetRan()
	if ran == nil || len(ran.Answers) > len(sts) || !ran.Broken && len(ran.Answers) < len(sts) {
		l.end()
		return nil, errProtocol
	}
	answers := fromAnswers(ran.Answers)
	if ran.Broken {
		return answers, &Error{Op: "run", Kind: KindStreamFailed}
	}
	return answers, nil
}

// Control implements dbpool.Link. Statements about databases are not relayed.
func (l *loan) Control(time.Time, dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	return dbpool.Status{}, dbop.Answer{}, &Error{Op: "control", Kind: KindUnsupported}
}

// Close implements dbpool.Link.
func (l *loan) Close() error {
	l.giveBack(false)
	return nil
}

// giveBack ends the loan.
func (l *loan) giveBack(keep bool) {
	l.c.count(l.target, -1)
	if l.failed || l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Return{Return: &peerpb.RelayReturn{Keep: keep}}}) != nil {
		return // the lender has closed the connection, or will
	}
	l.c.keep(l)
}
