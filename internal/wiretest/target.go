package wiretest

import (
	"maps"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/ident"
)

// Call is a statement that a target was sent.
type Call struct {
	SQL    string
	Params []string
	// Conn numbers the connections of a target from 1.
	ConnID int
	// InTx tells whether an explicit transaction is open.
	InTx bool
	// Cancelled is closed by a cancel request for the connection.
	Cancelled <-chan struct{}
}

// Reply is a target's answer.
type Reply struct {
	Rows []string
	Tag  string
	// Code and Message, unless empty, make an ErrorResponse.
	Code    string
	Message string
	// Write advances the target's position when the transaction commits.
	Write bool
	// Drop closes the connection in place of an answer, after the rows.
	CloseConn bool
	// Silent never answers.
	NoAnswer bool
}

// RowsReply returns the reply to a query.
func RowsReply(rows ...string) Reply { return Reply{Rows: rows, Tag: "SELECT 1"} }

// WriteReply returns the reply to a write.
func WriteReply() Reply { return Reply{Tag: "INSERT 0 1", Write: true} }

// ErrorReply returns an error reply.
func ErrorReply(code string) Reply { return Reply{Code: code, Message: "refused by the test"} }

// Target is a scripted server.
type Target struct {
	Name   string
	Handle func(*Call) Reply
	// OnCancel, unless nil, is told of each cancel request.
	OnCancel func(conn int)

	mu        sync.Mutex
	applied   ident.Position
	quorum    ident.Position
	manual    bool
	keys      map[string]string
	conns     map[int]*client
	next      int
	log       []Call
	refused   int
	violate   bool
	listeners []*client
}

// New returns a target in term 1 whose quorum follows its own position.
func New(name string) *Target {
	return &Target{
		Name: name, applied: ident.Position{Term: 1, Index: 1}, quorum: ident.Position{Term: 1, Index: 1},
		keys: map[string]string{}, conns: map[int]*client{},
		Handle: func(*Call) Reply { return RowsReply("1") },
	}
}

// HoldQuorum makes the quorum position stay where it is until SetQuorum.
func (t *Target) HoldQuorum() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.manual = true
}

// FailCommits makes every COMMIT fail, as by a deferred constraint.
func (t *Target) FailCommits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violate = true
}

func (t *Target) refuseCommit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.violate
}

// SetQuorum sets the quorum position and notifies the listeners.
func (t *Target) SetQuorum(p ident.Position) {
	t.mu.Lock()
	t.quorum = p
	list := slices.Clone(t.listeners)
	t.mu.Unlock()
	for _, c := range list {
		c.send(&pgproto3.NotificationResponse{Channel: "chervil_quorum", Payload: p.String()})
	}
}

// SetApplied sets the position that the target has applied.
func (t *Target) SetApplied(p ident.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied = p
}

func (t *Target) position() ident.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quorum
}

// Applied returns the position that the target has applied.
func (t *Target) Applied() ident.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applied
}

// Calls returns the statements that were run, but for the proxy's own.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.log)
}

// FloorRefusals returns the number of statements refused for being behind a floor.
func (t *Target) FloorRefusals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused
}

// SQL returns the texts of Log.
func (t *Target) SQL() []string {
	var out []string
	for _, c := range t.Calls() {
		out = append(out, c.SQL)
	}
	return out
}

// OpenConns returns the number of open connections.
func (t *Target) OpenConns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// CloseConns closes all connections.
func (t *Target) CloseConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		_ = c.net.Close()
	}
}

// HangConns makes the open connections silent for good, as a middlebox that lost
// them does; new connections work.
func (t *Target) HangConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.silent.Store(true)
	}
}

// Serve accepts connections until the listener closes.
func (t *Target) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go t.ServeConn(c)
	}
}

// ServeConn serves one connection.
func (t *Target) ServeConn(n net.Conn) {
	defer n.Close()
	c := &client{t: t, net: n, be: pgproto3.NewBackend(n, n), status: 'I', stmts: map[string]string{}, portals: map[string]portal{}}
	m, err := c.be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		t.cancel(int(m.ProcessID))
		return
	case *pgproto3.StartupMessage:
	default:
		return
	}
	t.mu.Lock()
	t.next++
	c.id = t.next
	c.cancelled = make(chan struct{})
	t.conns[c.id] = c
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c.id)
		t.listeners = slices.DeleteFunc(t.listeners, func(l *client) bool { return l == c })
	}()
	c.serve()
}

func (t *Target) cancel(id int) {
	t.mu.Lock()
	c := t.conns[id]
	if c != nil {
		close(c.cancelled)
		c.cancelled = make(chan struct{})
	}
	t.mu.Unlock()
	if t.OnCancel != nil {
		t.OnCancel(id)
	}
}

// commit advances the position after a write.
func (t *Target) commit(c *client) {
	t.mu.Lock()
	maps.Copy(t.keys, c.once)
	c.once = nil
	t.applied.Index++
	p, manual := t.applied, t.manual
	t.mu.Unlock()
	if !manual {
		t.SetQuorum(p)
	}
}

// once is chervil_once without the comparison of fingerprints.
func (t *Target) once(c *client, sql string) string {
	args := strings.Split(sql, "'")
	const key, tag = 1, 5
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.keys[args[key]]; ok {
		return old
	}
	if c.once == nil {
		c.once = map[string]string{}
	}
	c.once[args[key]] = args[tag]
	c.wrote = true
	return ""
}
