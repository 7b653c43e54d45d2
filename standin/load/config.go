package load

import (
	"cmp"
	"crypto/tls"
	"math"
	"time"
)

// Workspace is a tenant that sends statements.
type Workspace struct {
	Name string `json:"name"`
	// Key is the password; it is not reported.
	Key string `json:"-"`
	// Weight is the workspace's share of the rate, relative to the others.
	// When no workspace has one, the weights follow Zipf's law.
	Weight float64 `json:"weight"`
}

// Config has the settings of a run.
type Config struct {
	// Addresses of daemons, or of a target. Sessions are spread over them.
	Addresses  []string
	Workspaces []Workspace
	// User, unless empty, is sent in place of the workspace's name: targets know
	// only the proxy's user.
	User string
	// Route is the database that sessions connect to.
	Route string
	// Seed draws the arrivals, and tells the sessions of different runs apart;
	// it must be below 2^42.
	Seed uint64
	// Rate is in statements a second over all workspaces.
	Rate     float64
	Duration time.Duration
	// WriteShare is the share of statements that write, 0 to 1.
	WriteShare float64
	// Zipf is the exponent of the weights; 0 stands for 1.1.
	ZipfExponent float64
	// Sessions is the number of connections of each workspace; 0 stands for 4.
	SessionsPerWorkspace int
	// RoamEvery is after how many statements a session moves to the next
	// address; 0 means never, unless its connection breaks.
	RoamEvery int
	// Deadline of a statement; 0 stands for 5 s.
	StatementTimeout time.Duration
	// Grace is how long after the last arrival statements may still be sent and
	// answered; 0 stands for 5 s. What waits then counts as not sent.
	GracePeriod time.Duration
	// Idempotent gives each order an idempotency key, and repeats it under the
	// same key when its outcome is unknown.
	Idempotent bool
	// TLS, unless nil, is used for connections to Addresses.
	TLS *tls.Config

	dialer dialer
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Addresses) == 0 || len(c.Workspaces) == 0 {
		return c, &Error{Op: "configure", Kind: KindConfig, Text: "addresses and workspaces are needed"}
	}
	if !(c.Rate > 0) || c.Duration <= 0 || !(c.WriteShare >= 0 && c.WriteShare <= 1) {
		return c, &Error{Op: "configure", Kind: KindConfig, Text: "rate and duration must be above 0, the share of writes from 0 to 1"}
	}
	c.ZipfExponent = cmp.Or(c.ZipfExponent, 1.1)
	c.SessionsPerWorkspace = cmp.Or(c.SessionsPerWorkspace, 4)
	c.GracePeriod = cmp.Or(c.GracePeriod, 5*time.Second)
	c.StatementTimeout = cmp.Or(c.StatementTimeout, 5*time.Second)
	weights := make([]Workspace, len(c.Workspaces))
	given := 0.0
	for i, w := range c.Workspaces {
		weights[i] = w
		given += w.Weight
	}
	for i := range weights {
		if given == 0 {
			weights[i].Weight = 1 / math.Pow(float64(i+1), c.ZipfExponent)
		}
	}
	c.Workspaces = weights
	return c, nil
}
