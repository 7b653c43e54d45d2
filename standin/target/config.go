package target

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/standin/repl"
)

// Default limits of Config and the names of special users. The limits are those
// of the workshop's databases.
const (
	DefaultSlots     = 5
	DefaultConnLimit = 30
	// AdminUser is the user of connections that set faults. They are exempt
	// from faults, slots and the connection limit.
	AdminUser = "standin_admin"
	// ReplicationUser is the user of replication connections, which are exempt
	// from slots and the connection limit.
	ReplicationUser = "standin_replica"
)

// Config has the settings of a target. The zero Config with an ID listens on a
// free port of 127.0.0.1 and accepts every user.
type Config struct {
	ID ident.Target
	// Listen is IP:port; empty means 127.0.0.1:0.
	Listen string
	// Listener, unless nil, is used instead of Listen.
	Listener net.Listener
	// Dial connects to other targets; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Members of the group with their addresses, used when a call of
	// chervil_promote names no members or one of chervil_follow no address.
	Members []repl.Member
	Zone    ident.Zone
	// Slots is the maximum number of statements that run at once.
	Slots uint32
	// ConnLimit is the maximum number of callers' connections.
	ConnLimit uint32
	// ConnectDelay is the time that a new connection takes to become ready.
	ConnectDelay time.Duration
	// ServiceTime is the time for which a statement holds a slot.
	ServiceTime time.Duration
	// Lag is the delay between the arrival of an entry at a replica and its
	// application.
	Lag time.Duration
	// RebuildDelay is the time that a rebuild of the data takes; reads fail
	// meanwhile.
	RebuildDelay time.Duration
	// User and Password are the proxy's credentials. With an empty password
	// every connection is accepted. Administration and replication connections
	// use the same password.
	User     string
	Password string
	// DataDir is the directory that holds the log and the durable state; empty
	// means that they are held in memory only.
	DataDir string
	Log     zerolog.Logger
}

func (c Config) withDefaults() (Config, error) {
	if err := ident.Check(string(c.ID)); err != nil {
		return c, &Error{Op: "configure", Kind: KindConfig, Text: err.Error()}
	}
	c.Listen = cmp.Or(c.Listen, "127.0.0.1:0")
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.ConnLimit = cmp.Or(c.ConnLimit, DefaultConnLimit)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c, nil
}

func (c *Config) addressOf(id ident.Target) string {
	for _, m := range c.Members {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}
