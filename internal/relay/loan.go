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

// loan is a stream to a lender through which a connection is borrowed. Between
// loans it is kept as an idle stream. It implements dbpool.Link.
type loan struct {
	client  *Client
	address string
	target  ident.Target
	stream  grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayReply]
	cancel  context.CancelFunc
	usedAt  time.Time
	// class is the class that RelayOpen named, which statements of the loan leave out.
	class ident.Class
	// failed reports that the stream must not be used again.
	failed bool
}

// abort cancels the stream. The lender then closes the connection if it has been
// used.
func (l *loan) abort() {
	l.failed = true
	l.cancel()
}

func (l *loan) send(r *peerpb.RelayRequest) error {
	if l.failed {
		return &Error{Op: "send", Kind: KindStreamFailed}
	}
	if err := l.stream.Send(r); err != nil {
		l.abort()
		return &Error{Op: "send", Kind: KindStreamFailed, Err: err}
	}
	return nil
}

// receive returns the lender's next message. When none arrives by the deadline,
// the stream is cancelled.
func (l *loan) receive(deadline time.Time) (*peerpb.RelayReply, error) {
	if l.failed {
		return nil, &Error{Op: "receive", Kind: KindStreamFailed}
	}
	t := time.AfterFunc(time.Until(deadline), l.cancel)
	r, err := l.stream.Recv()
	if !t.Stop() || err != nil {
		l.abort()
		return nil, &Error{Op: "receive", Kind: KindStreamFailed, Err: err}
	}
	return r, nil
}

// Exchange implements dbpool.Link.
func (l *loan) Exchange(deadline time.Time, sts ...dbop.Statement) ([]dbop.Answer, error) {
	limit := max(0, time.Until(deadline).Milliseconds())
	run := &peerpb.RelayRun{Statements: withoutClass(toStatements(sts), l.class), LimitMs: uint32(limit)}
	if err := l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Run{Run: run}}); err != nil {
		return nil, err
	}
	r, err := l.receive(deadline)
	if err != nil {
		return nil, err
	}
	ran := r.GetRan()
	if ran == nil || len(ran.Answers) > len(sts) || !ran.Broken && len(ran.Answers) < len(sts) {
		l.abort()
		return nil, errProtocol
	}
	answers, ok := fromAnswers(ran.Answers)
	if !ok {
		l.abort()
		return nil, errProtocol
	}
	if ran.Broken {
		return answers, &Error{Op: "run", Kind: KindStreamFailed}
	}
	return answers, nil
}

// Control implements dbpool.Link. It always fails, since control statements are
// not relayed.
func (l *loan) Control(time.Time, dbop.Statement) (dbpool.Status, dbop.Answer, error) {
	return dbpool.Status{}, dbop.Answer{}, &Error{Op: "control", Kind: KindUnsupported}
}

// Close implements dbpool.Link.
func (l *loan) Close() error {
	l.giveBack(false)
	return nil
}

// giveBack ends the loan; the lender closes the connection unless keep is set.
func (l *loan) giveBack(keep bool) {
	l.client.addLoans(l.target, -1)
	if l.failed || l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Return{Return: &peerpb.RelayReturn{Keep: keep}}}) != nil {
		return // the stream has failed, so the lender closes the connection
	}
	l.client.keepStream(l)
}
