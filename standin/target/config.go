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

// Defaults of Config, those of the workshop's databases.
const (
	DefaultSlots     = 5
	DefaultConnLimit = 30
	// AdminUser is the user of connections that set faults. They are exempt
	// from faults, slots and the limit of connections.
	AdminUser = "standin_admin"
	// ReplicaUser is the user of replication connections, which are exempt
	// from slots and the limit of connections.
	ReplicationUser = "standin_replica"
)

// Config has the settings of a target. The zero Config with an ID listens on a
// free port of 127.0.0.1 and lets every user in.
type Config struct {
	ID ident.Target
	// Listen is IP:port; empty stands for 127.0.0.1:0.
	Listen string
	// Listener, unless nil, is used instead of Listen.
	Listener net.Listener
	// Dial connects to other targets; nil stands for a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Members of the group, with their addresses; used when chervil_promote or
	// chervil_follow name none.
	Members []repl.Member
	Zone    ident.Zone
	// Slots is the number of statements that run at once.
	Slots uint32
	// Connections is the number of connections that are accepted.
	ConnLimit uint32
	// ConnectCost is what a new connection takes before it is ready.
	ConnectDelay time.Duration
	// ServiceTime is what a statement takes while it holds a slot.
	ServiceTime time.Duration
	// Lag is the time between the arrival of an entry at a replica and its
	// application.
	Lag time.Duration
	// RebuildCost is what a rebuild of the data takes; reads are refused
	// meanwhile.
	RebuildDelay time.Duration
	// User and Password are the proxy's credentials. Without a password every
	// connection is let in. Administration and replication use the same
	// password.
	User     string
	Password string
	// DataDir keeps log and promises over a restart; empty means memory only.
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
