package wiretest

import (
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jackc/pgx/v5/pgproto3"

	"chervilspan.example/pkg/ident"
)

// portal is a prepared statement with its bound parameters.
type portal struct {
	sql    string
	params []string
}

// client is the target's end of one connection.
type client struct {
	target  *Target
	id      int
	netConn net.Conn
	backend *pgproto3.Backend
	sendMu  sync.Mutex
	status  byte
	wrote   bool
	// pendingKeys maps the idempotency keys of the open transaction to their
	// command tags.
	pendingKeys   map[string]string
	floor         ident.Position
	prepared      map[string]string
	portals       map[string]portal
	skipUntilSync bool
	cancelled     chan struct{}
	// hung makes the connection drop all messages, received and sent.
	hung atomic.Bool
}

func (c *client) send(list ...pgproto3.BackendMessage) {
	if c.hung.Load() {
		return
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	for _, m := range list {
		c.backend.Send(m)
	}
	_ = c.backend.Flush()
}

func (c *client) serve() {
	c.send(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: uint32(c.id), SecretKey: []byte{1, 2, 3, 4}},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return
		}
		if !c.hung.Load() && !c.handle(m) {
			return
		}
	}
}

// sendReady ends an answer: it reports the position and the transaction status.
func (c *client) sendReady() {
	if c.status == 'I' && c.wrote {
		c.wrote = false
		c.target.commit(c)
	}
	c.send(&pgproto3.ParameterStatus{Name: "chervil.position", Value: c.target.Applied().String()}, &pgproto3.ReadyForQuery{TxStatus: c.status})
}

// handle serves a message; it reports false when the connection ends.
func (c *client) handle(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Sync:
		c.skipUntilSync = false
		c.sendReady()
		return true
	case *pgproto3.Terminate:
		return false
	}
	if c.skipUntilSync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(m.String, ";") {
			if sql = strings.TrimSpace(sql); sql == "" {
				continue
			}
			alive, ok := c.run(sql, nil, true)
			if !alive {
				return false
			}
			if !ok {
				break
			}
		}
		c.sendReady()
	default:
		return c.handleExtended(m)
	}
	return true
}

func (c *client) handleExtended(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if c.prepared[m.Name] != "" && m.Name != "" {
			c.fail("42P05", "the statement exists")
			return true
		}
		if strings.Contains(m.Query, "syntax error") {
			c.fail("42601", "syntax error")
			return true
		}
		c.prepared[m.Name] = m.Query
		c.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.bind(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			c.send(&pgproto3.ParameterDescription{ParameterOIDs: paramTypes(c.prepared[m.Name])}, rowDescription(c.prepared[m.Name]))
			return true
		}
		c.send(rowDescription(c.portals[m.Name].sql))
	case *pgproto3.Execute:
		p := c.portals[m.Portal]
		alive, _ := c.run(p.sql, p.params, false)
		return alive
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.prepared, m.Name)
		}
		c.send(&pgproto3.CloseComplete{})
	}
	return true
}

func (c *client) bind(m *pgproto3.Bind) {
	sql, ok := c.prepared[m.PreparedStatement]
	if !ok {
		c.fail("26000", "no such statement")
		return
	}
	p := portal{sql: sql}
	for _, v := range m.Parameters {
		p.params = append(p.params, string(v))
	}
	c.portals[m.DestinationPortal] = p
	c.send(&pgproto3.BindComplete{})
}

// paramTypes returns the type text for each parameter of a statement, as far as
// they are numbered from $1 without a gap.
func paramTypes(sql string) []uint32 {
	const text = 25
	var list []uint32
	for i := 1; strings.Contains(sql, "$"+strconv.Itoa(i)); i++ {
		list = append(list, text)
	}
	return list
}

func rowDescription(sql string) pgproto3.BackendMessage {
	if !strings.HasPrefix(strings.ToUpper(sql), "SELECT") {
		return &pgproto3.NoData{}
	}
	const text = 25
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("c"), DataTypeOID: text, DataTypeSize: -1, TypeModifier: -1}}}
}

func (c *client) fail(code, message string) {
	if c.status == 'T' {
		c.status = 'E'
	}
	c.wrote = c.wrote && c.status != 'I'
	c.skipUntilSync = true
	c.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: message})
}

// run executes a statement. It reports whether the connection stays open and
// whether the statement succeeded.
func (c *client) run(sql string, params []string, simple bool) (alive, ok bool) {
	r, done := c.runBuiltin(sql)
	if !done {
		r = c.callHandler(sql, params)
	}
	if r.NoAnswer {
		_, _ = c.netConn.Read(make([]byte, 1)) // until the peer closes
		return false, false
	}
	if r.Code != "" {
		c.fail(r.Code, r.Message)
		c.skipUntilSync = !simple
		return true, false
	}
	if simple && len(r.Rows) > 0 {
		c.send(rowDescription("SELECT"))
	}
	for _, row := range r.Rows {
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(row)}})
	}
	if r.CloseConn {
		return false, false
	}
	c.wrote = c.wrote || r.Write
	if !r.NoTag {
		c.send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
	}
	return true, true
}

func (c *client) callHandler(sql string, params []string) Reply {
	if c.target.Applied().Less(c.floor) {
		c.target.mu.Lock()
		c.target.floorRefusals++
		c.target.mu.Unlock()
		return Reply{Code: "CV001", Message: "behind the floor"}
	}
	if c.status == 'E' {
		return Reply{Code: "25P02", Message: "the transaction has failed"}
	}
	c.target.mu.Lock()
	call := Call{SQL: sql, Params: params, ConnID: c.id, InTx: c.status == 'T', Cancelled: c.cancelled}
	c.target.calls = append(c.target.calls, call)
	c.target.mu.Unlock()
	return c.target.Handle(&call)
}

// runBuiltin answers the statements that every target handles itself; it reports
// false for all others.
func (c *client) runBuiltin(sql string) (Reply, bool) {
	upper := strings.ToUpper(sql)
	switch {
	case strings.HasPrefix(upper, "SET CHERVIL.FLOOR"):
		c.floor, _ = ident.ParsePosition(strings.Split(sql, "'")[1])
		return Reply{Tag: "SET"}, true
	case strings.HasPrefix(upper, "SET "):
		return Reply{Tag: "SET"}, true
	case strings.HasPrefix(upper, "BEGIN"):
		if c.target.Applied().Less(c.floor) {
			return Reply{Code: "CV001", Message: "behind the floor"}, true
		}
		c.status = 'T'
		return Reply{Tag: "BEGIN"}, true
	case strings.HasPrefix(upper, "ROLLBACK TO"):
		c.status = 'T'
		return Reply{Tag: "ROLLBACK"}, true
	case strings.HasPrefix(upper, "COMMIT"), strings.HasPrefix(upper, "ROLLBACK"):
		return c.endTx(upper), true
	case strings.HasPrefix(upper, "LISTEN"):
		c.target.mu.Lock()
		c.target.listeners = append(c.target.listeners, c)
		c.target.mu.Unlock()
		return Reply{Tag: "LISTEN"}, true
	case strings.Contains(sql, "chervil_status"):
		q := c.target.quorumPosition()
		if strings.Contains(sql, "log_term") {
			q = c.target.Applied()
		}
		term, index, _ := strings.Cut(q.String(), "/")
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(term), []byte(index)}})
		return Reply{Tag: "SELECT 1"}, true
	case strings.Contains(sql, "chervil_once"):
		if tag := c.target.runOnce(c, sql); tag != "" {
			return RowsReply(tag), true
		}
		return Reply{Tag: "SELECT 1"}, true
	}
	return Reply{}, false
}

func (c *client) endTx(upper string) Reply {
	if upper == "COMMIT" && c.target.commitsFail() {
		c.status, c.wrote, c.pendingKeys = 'I', false, nil
		return Reply{Code: "23505", Message: "a deferred constraint is violated"}
	}
	if upper == "COMMIT" && c.status == 'T' {
		c.status = 'I'
		return Reply{Tag: "COMMIT"}
	}
	c.status, c.wrote, c.pendingKeys = 'I', false, nil
	return Reply{Tag: "ROLLBACK"}
}
