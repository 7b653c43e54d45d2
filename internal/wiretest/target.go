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

// Call is a statement sent to a target.
type Call struct {
	SQL    string
	Params []string
	// ConnID identifies the connection; a target numbers its connections from 1.
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
	// CloseConn closes the connection after the rows, before the answer is
	// complete.
	CloseConn bool
	// NoTag leaves out the end of the answer, its command tag.
	NoTag bool
	// NoAnswer leaves the statement unanswered.
	NoAnswer bool
}

// RowsReply returns the reply to a query, with one column.
func RowsReply(rows ...string) Reply { return Reply{Rows: rows, Tag: "SELECT 1"} }

// WriteReply returns the reply to a write.
func WriteReply() Reply { return Reply{Tag: "INSERT 0 1", Write: true} }

// ErrorReply returns an error with the SQLSTATE code.
func ErrorReply(code string) Reply { return Reply{Code: code, Message: "refused by the test"} }

// Target is a scripted server.
type Target struct {
	Name   string
	Handle func(*Call) Reply
	// OnCancel, unless nil, is called for each cancel request.
	OnCancel func(conn int)

	mu            sync.Mutex
	applied       ident.Position
	quorum        ident.Position
	quorumHeld    bool
	keys          map[string]string
	conns         map[int]*client
	lastID        int
	calls         []Call
	floorRefusals int
	failCommits   bool
	listeners     []*client
}

// New returns a target in term 1 whose quorum follows its own position.
func New(name string) *Target {
	return &Target{
		Name: name, applied: ident.Position{Term: 1, Index: 1}, quorum: ident.Position{Term: 1, Index: 1},
		keys: map[string]string{}, conns: map[int]*client{},
		Handle: func(*Call) Reply { return RowsReply("1") },
	}
}

// HoldQuorum makes commits leave the quorum position as it is, so that only
// SetQuorum changes it.
func (t *Target) HoldQuorum() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quorumHeld = true
}

// FailCommits makes every COMMIT fail as if a deferred constraint were violated.
func (t *Target) FailCommits() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failCommits = true
}

func (t *Target) commitsFail() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failCommits
}

// SetQuorum sets the quorum position and notifies the listeners.
func (t *Target) SetQuorum(p ident.Position) {
	t.mu.Lock()
	t.quorum = p
	listeners := slices.Clone(t.listeners)
	t.mu.Unlock()
	for _, c := range listeners {
		c.send(&pgproto3.NotificationResponse{Channel: "chervil_quorum", Payload: p.String()})
	}
}

// SetApplied sets the position that the target has applied.
func (t *Target) SetApplied(p ident.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applied = p
}

func (t *Target) quorumPosition() ident.Position {
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

// Calls returns the statements passed to Handle, which excludes those of the
// proxy itself.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.calls)
}

// FloorRefusals returns the number of statements refused because the target was
// behind the floor.
func (t *Target) FloorRefusals() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.floorRefusals
}

// SQL returns the statement texts of Calls.
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
		_ = c.netConn.Close()
	}
}

// HangConns makes the open connections silent permanently, as when a middlebox
// has lost their state; new connections work.
func (t *Target) HangConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.hung.Store(true)
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
	c := &client{target: t, netConn: n, backend: pgproto3.NewBackend(n, n), status: 'I', prepared: map[string]string{}, portals: map[string]portal{}}
	m, err := c.backend.ReceiveStartupMessage()
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
	t.lastID++
	c.id = t.lastID
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
	maps.Copy(t.keys, c.pendingKeys)
	c.pendingKeys = nil
	t.applied.Index++
	p, manual := t.applied, t.quorumHeld
	t.mu.Unlock()
	if !manual {
		t.SetQuorum(p)
	}
}

// runOnce implements chervil_once without the comparison of fingerprints. It
// returns the command tag stored under the key, or the empty string after
// recording a new key.
func (t *Target) runOnce(c *client, sql string) string {
	args := strings.Split(sql, "'")
	const key, tag = 1, 5
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.keys[args[key]]; ok {
		return old
	}
	if c.pendingKeys == nil {
		c.pendingKeys = map[string]string{}
	}
	c.pendingKeys[args[key]] = args[tag]
	c.wrote = true
	return ""
}
