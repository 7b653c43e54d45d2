package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/evlog"
	"chervilspan.example/internal/peer"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/place"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

const (
	// takenTimeout limits the wait for a lender to accept a request. It exceeds
	// the pause of a VM throttled for its CPU quota, plus the time to open a
	// network connection.
	takenTimeout = 250 * time.Millisecond
	// replyMargin allows for the transit of an answer that the lender sends at the
	// deadline.
	replyMargin = 150 * time.Millisecond
	// failedAvoidPeriod is how long a lender is skipped after a failure.
	failedAvoidPeriod = 2 * time.Second
	// stoppingAvoidPeriod is how long a lender is skipped after it refused a loan
	// because it is stopping.
	stoppingAvoidPeriod = 10 * time.Second
	// maxLoadAge is how long a reported load is used.
	maxLoadAge = time.Second
	// maxIdleStreams is the greatest number of idle streams to a lender;
	// streamIdleTimeout is how long they stay open.
	maxIdleStreams    = 8
	streamIdleTimeout = 15 * time.Second
)

// Peers returns the client for the VM at an address.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config is the configuration of a Client.
type Config struct {
	// Lenders returns the addresses of the VMs from which to borrow a connection
	// of a workspace to a database, in order of preference. It returns none when
	// this VM uses local connections. Only VMs in the allowed regions, or in this VM's
	// own, are returned.
	Lenders func(m *roster.Member, ws ident.Workspace, allowed place.Regions) []string
	Peers   Peers
	// RecordSpeed, unless nil, takes what lenders report about the speed of databases.
	RecordSpeed func(ident.Target, speed.Report)
	Log         zerolog.Logger
}

// Client borrows connections; it implements dbpool.Lender. Its methods are safe
// for concurrent use.
type Client struct {
	cfg Config

	avoid peer.AvoidList
	// readers has the lenders that understand single reads.
	readers addressSet

	mu          sync.Mutex
	idleStreams map[string][]*loan
	loads       map[ident.Target]reportedLoad
	pressure    map[pressureKey]dbpool.Pressure
}

// reportedLoad is the load of a database as last reported by a lender, with the
// number of connections that this VM borrows now.
type reportedLoad struct {
	dbpool.Load
	reportedAt time.Time
	ownLoans   int
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, idleStreams: map[string][]*loan{}, loads: map[ident.Target]reportedLoad{}}
}

// Borrow implements dbpool.Lender. A lender that fails is skipped for some time.
// When no lender remains, this VM uses local connections.
func (c *Client) Borrow(deadline time.Time, m *roster.Member, r *dbpool.Request) (dbpool.LentConn, bool, error) {
	for _, address := range c.cfg.Lenders(m, r.Workspace, r.Allowed) {
		if c.avoids(address, m.ID) {
			continue
		}
		lent, err := c.borrow(deadline, address, m, r)
		if err == nil {
			return lent, true, nil
		}
		c.avoidAfter(address, m.ID, err)
		if err.Kind != dbpool.KindLenderFailed && err.Kind != dbpool.KindClosed {
			return lent, true, err
		}
	}
	return dbpool.LentConn{}, false, nil
}

// avoidAfter makes Borrow skip a lender after a failure: for all databases when
// the lender failed or is stopping, or only for the database that it could not
// reach.
func (c *Client) avoidAfter(address string, id ident.Target, err *dbpool.Error) {
	key, period, reason := address, failedAvoidPeriod, "failed"
	switch err.Kind {
	case dbpool.KindLenderFailed:
		c.dropStreams(address)
	case dbpool.KindClosed:
		period, reason = stoppingAvoidPeriod, "stops"
	case dbpool.KindUnreachable:
		key, reason = atTarget(address, id), "cannot reach the database"
	default:
		return
	}
	c.avoid.Add(key, period)
	evlog.At(c.cfg.Log, evlog.LenderAvoided).Str("lender", address).Str("target", string(id)).Str("reason", reason).
		Dur("for", period).Err(err.Err).Send()
}

// atTarget returns the key under which a lender is avoided for one database.
func atTarget(address string, id ident.Target) string { return address + "/" + string(id) }

// avoids reports whether a lender is skipped for a database, because it or its
// connections to the database failed.
func (c *Client) avoids(address string, id ident.Target) bool {
	return c.avoid.Has(address) || c.avoid.Has(atTarget(address, id))
}

// Load implements dbpool.Lender.
func (c *Client) Load(m *roster.Member, ws ident.Workspace, allowed place.Regions) (dbpool.Load, bool) {
	if len(c.cfg.Lenders(m, ws, allowed)) == 0 {
		return dbpool.Load{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[m.ID]
	if time.Since(l.reportedAt) > maxLoadAge {
		l.Load = dbpool.Load{}
	}
	l.Age = min(time.Since(l.reportedAt), maxLoadAge)
	l.Busy, l.Own = max(l.Busy, l.ownLoans), l.ownLoans
	l.HasIdle = true
	return l.Load, true
}

// borrow requests a connection from one lender.
func (c *Client) borrow(deadline time.Time, address string, m *roster.Member, req *dbpool.Request) (dbpool.LentConn, *dbpool.Error) {
	failed := func(err error) (dbpool.LentConn, *dbpool.Error) {
		return dbpool.LentConn{}, &dbpool.Error{Op: "borrow", Kind: dbpool.KindLenderFailed, Target: m.ID, Err: err}
	}
	l, err := c.getStream(address)
	if err != nil {
		return failed(err)
	}
	open := toOpen(m, req, deadline)
	l.class = ident.Class(open.Class)
	if err := l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Open{Open: open}}); err != nil {
		return failed(err)
	}
	r, err := l.receive(time.Now().Add(takenTimeout))
	if err == nil && r.GetTaken() != nil {
		if r.GetTaken().Reads {
			c.readers.Add(address)
		}
		stop := c.watchCaller(l, pressureKey{m.ID, address}, req.Scheduling)
		r, err = l.receive(deadline.Add(replyMargin))
		if stop != nil && !stop() {
			l.abort()
			return dbpool.LentConn{}, &dbpool.Error{Op: "borrow", Kind: dbpool.KindRefused, Target: m.ID, Code: dbop.Crowded, Err: errCallerGone}
		}
	}
	if err != nil {
		return failed(err)
	}
	o := r.GetOpened()
	if o == nil {
		l.abort()
		return failed(errProtocol)
	}
	c.recordLoad(m.ID, o)
	c.recordSpeed(m, o)
	c.recordPressure(pressureKey{m.ID, address}, o.Delays)
	if o.Failure != 0 {
		c.keepStream(l)
		e := fromFailure(o)
		e.Op, e.Target = "borrow", m.ID
		return dbpool.LentConn{}, e
	}
	c.addLoans(m.ID, 1)
	l.target = m.ID
	return toLentConn(l, o), nil
}

// toLentConn returns a lent connection with the session state that the lender
// reported.
func toLentConn(l *loan, o *peerpb.RelayOpened) dbpool.LentConn {
	out := dbpool.LentConn{Link: l, Return: l.giveBack, Vars: fromVariables(o.Variables), AnswerAge: time.Duration(o.QuietMs) * time.Millisecond}
	for _, name := range o.Names {
		if out.Prepared == nil {
			out.Prepared = map[string]bool{}
		}
		out.Prepared[string(name)] = true
	}
	return out
}

// recordLoad stores the load of a database as reported by a lender.
func (c *Client) recordLoad(id ident.Target, o *peerpb.RelayOpened) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[id]
	l.Load, l.reportedAt = dbpool.Load{Busy: int(o.Busy), Waiting: int(o.Waiting), FailureRate: float64(o.Faults)}, time.Now()
	c.loads[id] = l
}

// addLoans adds n, which may be negative, to the number of connections that this
// VM borrows to a database.
func (c *Client) addLoans(id ident.Target, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[id]
	l.ownLoans += n
	c.loads[id] = l
}

// getStream returns an idle stream to a lender, or opens a new one.
func (c *Client) getStream(address string) (*loan, error) {
	c.mu.Lock()
	for idle := c.idleStreams[address]; len(idle) > 0; idle = c.idleStreams[address] {
		l := idle[len(idle)-1]
		c.idleStreams[address] = idle[:len(idle)-1]
		if time.Since(l.usedAt) < streamIdleTimeout {
			c.mu.Unlock()
			return l, nil
		}
		l.abort()
	}
	c.mu.Unlock()
	client, err := c.cfg.Peers.Client(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := time.AfterFunc(takenTimeout, cancel)
	st, err := client.Relay(ctx)
	if err != nil || !t.Stop() {
		cancel()
		return nil, &Error{Op: "open a stream", Kind: KindStreamFailed, Err: err}
	}
	return &loan{client: c, address: address, stream: st, cancel: cancel}, nil
}

// Sweep closes the streams that have been idle for streamIdleTimeout and drops
// outdated loads. Callers run it periodically.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, idle := range c.idleStreams {
		idle = slices.DeleteFunc(idle, func(l *loan) bool {
			if now.Sub(l.usedAt) < streamIdleTimeout {
				return false
			}
			l.abort()
			return true
		})
		c.idleStreams[address] = idle
		if len(idle) == 0 {
			delete(c.idleStreams, address)
		}
	}
	maps.DeleteFunc(c.pressure, func(_ pressureKey, p dbpool.Pressure) bool { return !p.IsFresh(now) })
	maps.DeleteFunc(c.loads, func(_ ident.Target, l reportedLoad) bool {
		return l.ownLoans == 0 && now.Sub(l.reportedAt) > streamIdleTimeout
	})
}

// dropStreams closes the idle streams to a lender that failed: with the connection, all of
// them may be lost, and each would fail another request.
func (c *Client) dropStreams(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.idleStreams[address] {
		l.abort()
	}
	delete(c.idleStreams, address)
}

// keepStream keeps a stream for a later loan, or closes it when enough are idle.
func (c *Client) keepStream(l *loan) {
	l.usedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idleStreams[l.address]) >= maxIdleStreams {
		l.abort()
		return
	}
	c.idleStreams[l.address] = append(c.idleStreams[l.address], l)
}

// addressSet is a set of addresses. The zero value is empty. It is safe for concurrent
// use.
type addressSet struct{ m sync.Map }

// Add adds an address.
func (s *addressSet) Add(address string) { s.m.LoadOrStore(address, true) }

// Remove removes an address.
func (s *addressSet) Remove(address string) { s.m.Delete(address) }

// Has reports whether the set has an address.
func (s *addressSet) Has(address string) bool {
	_, ok := s.m.Load(address)
	return ok
}
