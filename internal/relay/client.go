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
	"chervilspan.example/pkg/roster"
)

const (
	// takenTimeout bounds the first answer of a lender. It is above the pause of
	// a VM that has used up its processor share, and a new connection.
	takenTimeout = 250 * time.Millisecond
	// replyTime is for the way of an answer that the lender gives at a deadline.
	replyTime = 150 * time.Millisecond
	// avoidTime is how long a lender is passed over after a failure.
	avoidTime = 2 * time.Second
	// leaveTime is how long a lender is passed over after it refused because it
	// stops.
	leaveTime = 10 * time.Second
	// loadLife is how long a reported load counts.
	loadLife = time.Second
	// maxIdle bounds the unused streams to a lender; idleLife their age.
	maxIdle  = 8
	idleLife = 15 * time.Second
)

// Peers gives clients of other VMs by address.
type Peers interface {
	Client(address string) (peerpb.PeerClient, error)
}

// Config has the parts of a Client.
type Config struct {
	// Lenders returns the addresses of the VMs to borrow a workspace's connection
	// to a database from, in order; none when this VM uses its own.
	Lenders func(*roster.Member, ident.Workspace) []string
	Peers   Peers
	Log     zerolog.Logger
}

// Client borrows connections; it implements dbpool.Lender. Its methods may be
// called from several goroutines.
type Client struct {
	cfg Config

	avoid peer.Avoid

	mu    sync.Mutex
	idle  map[string][]*loan
	loads map[ident.Target]load
}

// load is that of a database as a lender reported it at a time, with the loans
// of this VM since.
type load struct {
	dbpool.Load
	at   time.Time
	mine int
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, idle: map[string][]*loan{}, loads: map[ident.Target]load{}}
}

// Borrow implements dbpool.Lender. A lender that fails is passed over for some
// time; without any, this VM uses its own connections.
func (c *Client) Borrow(deadline time.Time, m *roster.Member, ws ident.Workspace, owner dbpool.Owner) (dbpool.LentConn, bool, error) {
	for _, address := range c.cfg.Lenders(m, ws) {
		if c.avoid.Has(address) || c.avoid.Has(atTarget(address, m.ID)) {
			continue
		}
		lent, err := c.borrow(deadline, address, m, ws, owner)
		if err == nil {
			return lent, true, nil
		}
		c.note(address, m.ID, err)
		if err.Kind != dbpool.KindLenderFailed && err.Kind != dbpool.KindClosed {
			return lent, true, err
		}
	}
	return dbpool.LentConn{}, false, nil
}

// note passes a lender over after a failure: for all databases when the lender
// itself failed, else for the one that it could not reach.
func (c *Client) note(address string, id ident.Target, err *dbpool.Error) {
	key, d, reason := address, avoidTime, "failed"
	switch err.Kind {
	case dbpool.KindLenderFailed:
	case dbpool.KindClosed:
		d, reason = leaveTime, "stops"
	case dbpool.KindUnreachable:
		key, reason = atTarget(address, id), "cannot reach the database"
	default:
		return
	}
	c.avoid.Add(key, d)
	evlog.At(c.cfg.Log, evlog.LenderAvoided).Str("lender", address).Str("target", string(id)).Str("reason", reason).
		Dur("for", d).Err(err.Err).Send()
}

// atTarget names a lender that is passed over for one database.
func atTarget(address string, id ident.Target) string { return address + "/" + string(id) }

// Load implements dbpool.Lender.
func (c *Client) Load(m *roster.Member, ws ident.Workspace) (dbpool.Load, bool) {
	if len(c.cfg.Lenders(m, ws)) == 0 {
		return dbpool.Load{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[m.ID]
	if time.Since(l.at) > loadLife {
		l.Load = dbpool.Load{}
	}
	l.Busy = max(l.Busy, l.mine)
	l.HasIdle = true
	return l.Load, true
}

// borrow asks one lender.
func (c *Client) borrow(deadline time.Time, address string, m *roster.Member, ws ident.Workspace, owner dbpool.Owner) (dbpool.LentConn, *dbpool.Error) {
	failed := func(err error) (dbpool.LentConn, *dbpool.Error) {
		return dbpool.LentConn{}, &dbpool.Error{Op: "borrow", Kind: dbpool.KindLenderFailed, Target: m.ID, Err: err}
	}
	l, err := c.stream(address)
	if err != nil {
		return failed(err)
	}
	open := toOpen(m, ws, owner)
	open.WaitMs = uint32(max(0, time.Until(deadline).Milliseconds()))
	if err := l.send(&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Open{Open: open}}); err != nil {
		return failed(err)
	}
	r, err := l.receive(time.Now().Add(takenTimeout))
	if err == nil && r.GetTaken() != nil {
		r, err = l.receive(deadline.Add(replyTime))
	}
	if err != nil {
		return failed(err)
	}
	o := r.GetOpened()
	if o == nil {
		l.end()
		return failed(errProtocol)
	}
	c.noteLoad(m.ID, o)
	if o.Failure != 0 {
		c.keep(l)
		return dbpool.LentConn{}, &dbpool.Error{Op: "borrow", Kind: dbpool.Kind(o.Failure), Target: m.ID, Code: dbop.Code(o.Code)}
	}
	c.count(m.ID, 1)
	l.target = m.ID
	return lent(l, o), nil
}

func lent(l *loan, o *peerpb.RelayOpened) dbpool.LentConn {
	out := dbpool.LentConn{Link: l, Return: l.giveBack, AnswerAge: time.Duration(o.QuietMs) * time.Millisecond}
	for _, v := range o.Variables {
		if out.Vars == nil {
			out.Vars = map[string]string{}
		}
		out.Vars[string(v.Name)] = string(v.Value)
	}
	for _, name := range o.Names {
		if out.Prepared == nil {
			out.Prepared = map[string]bool{}
		}
		out.Prepared[string(name)] = true
	}
	return out
}

func (c *Client) noteLoad(id ident.Target, o *peerpb.RelayOpened) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[id]
	l.Load, l.at = dbpool.Load{Busy: int(o.Busy), Waiting: int(o.Waiting), FailureRate: float64(o.Faults)}, time.Now()
	c.loads[id] = l
}

func (c *Client) count(id ident.Target, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[id]
	l.mine += n
	c.loads[id] = l
}

// stream returns an unused stream to a lender, or a new one.
func (c *Client) stream(address string) (*loan, error) {
	c.mu.Lock()
	for idle := c.idle[address]; len(idle) > 0; idle = c.idle[address] {
		l := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		if time.Since(l.used) < idleLife {
			c.mu.Unlock()
			return l, nil
		}
		l.end()
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
	return &loan{c: c, address: address, st: st, cancel: cancel}, nil
}

// Sweep ends the streams that were unused for long, and forgets old loads.
// Callers run it now and then.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, idle := range c.idle {
		idle = slices.DeleteFunc(idle, func(l *loan) bool {
			if now.Sub(l.used) < idleLife {
				return false
			}
			l.end()
			return true
		})
		c.idle[address] = idle
		if len(idle) == 0 {
			delete(c.idle, address)
		}
	}
	maps.DeleteFunc(c.loads, func(_ ident.Target, l load) bool { return l.mine == 0 && now.Sub(l.at) > idleLife })
}

// keep puts a stream aside for the next loan.
func (c *Client) keep(l *loan) {
	l.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[l.address]) >= maxIdle {
		l.end()
		return
	}
	c.idle[l.address] = append(c.idle[l.address], l)
}
