package relay

import (
	"time"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
)

// Read implements dbpool.Reader. A lender that fails is skipped for some time, and the
// read is sent to the next one, since a read may run twice.
func (c *Client) Read(m *roster.Member, req *dbpool.Request, r *dbpool.Read) (res dbpool.ReadResult, ok bool) {
	for _, address := range c.cfg.Lenders(m, req.Workspace, req.Allowed) {
		if c.avoids(address, m.ID) {
			continue
		}
		if !c.readers.Has(address) {
			return res, false
		}
		got, err := c.readAt(address, m, req, r)
		res.MayHaveRun = res.MayHaveRun || got.MayHaveRun
		if err == nil {
			got.MayHaveRun = res.MayHaveRun
			return got, true
		}
		c.avoidAfter(address, m.ID, err)
		if err.Kind != dbpool.KindLenderFailed && err.Kind != dbpool.KindClosed {
			got.Err, got.MayHaveRun = err, res.MayHaveRun
			return got, true
		}
	}
	return res, false
}

// readAt runs a read at one lender. The error tells why there was no connection.
func (c *Client) readAt(address string, m *roster.Member, req *dbpool.Request, r *dbpool.Read) (res dbpool.ReadResult, failure *dbpool.Error) {
	failed := func(err error) (dbpool.ReadResult, *dbpool.Error) {
		c.readers.Remove(address) // it may be another version after a restart
		return res, &dbpool.Error{Op: "read", Kind: dbpool.KindLenderFailed, Target: m.ID, Err: err}
	}
	l, err := c.getStream(address)
	if err != nil {
		return failed(err)
	}
	c.addLoans(m.ID, 1)
	defer c.addLoans(m.ID, -1)
	if err := l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Read{Read: toRead(m, req, r)}}); err != nil {
		return failed(err)
	}
	res.MayHaveRun = true
	reply, err := l.receive(time.Now().Add(takenTimeout))
	key := pressureKey{m.ID, address}
	if err == nil && reply.GetTaken() != nil {
		stop := c.watchCaller(l, key, req.Scheduling)
		reply, err = l.receive(r.Deadline.Add(replyMargin))
		if stop != nil && !stop() {
			l.abort()
			return res, &dbpool.Error{Op: "read", Kind: dbpool.KindRefused, Target: m.ID, Code: dbop.Crowded, Err: errCallerGone}
		}
	}
	if err != nil {
		return failed(err)
	}
	done := reply.GetReadDone()
	if done == nil || done.Opened == nil {
		l.abort()
		return failed(errProtocol)
	}
	res.MayHaveRun = false
	c.recordLoad(m.ID, done.Opened)
	c.recordSpeed(m, done.Opened)
	c.recordPressure(key, done.Opened.Delays)
	c.keepStream(l)
	if done.Opened.Failure != 0 {
		e := fromFailure(done.Opened)
		e.Op, e.Target = "read", m.ID
		return res, e
	}
	if res, err = toReadResult(done); err != nil {
		return failed(err)
	}
	return res, nil
}

func toRead(m *roster.Member, req *dbpool.Request, r *dbpool.Read) *peerpb.RelayRead {
	open := toOpen(m, req, r.ConnDeadline)
	class := ident.Class(open.Class)
	out := &peerpb.RelayRead{
		Open: open, Variables: toVariables(r.Setup.Vars), Statement: withoutClass([]*peerpb.RelayStatement{toStatement(&r.Statement)}, class)[0],
		LimitMs: uint32(max(0, r.Limit.Milliseconds())), TotalMs: uint32(max(0, time.Until(r.Deadline).Milliseconds())),
	}
	if r.Setup.Prepare.Kind == dbop.Prepare {
		out.Prepare = toStatement(&r.Setup.Prepare)
	}
	return out
}

// toReadResult returns an error, and that the read may have run, for an answer with a
// state that is not known here.
func toReadResult(done *peerpb.RelayReadDone) (dbpool.ReadResult, error) {
	res := dbpool.ReadResult{Setup: fromCode(done.Setup)}
	switch {
	case done.Answer != nil:
		a, ok := fromAnswer(done.Answer)
		if !ok {
			return dbpool.ReadResult{MayHaveRun: true}, errProtocol
		}
		res.Answered, res.Answer = true, a
	case res.Setup == dbop.OK:
		res.MayHaveRun = true
	}
	return res, nil
}
