package load

import (
	"cmp"
	"crypto/tls"
	"math"
	"time"
)

// Workspace is a workspace of the catalogue that sends statements.
type Workspace struct {
	Name string `json:"name"`
	// Key is the password. It is left out of reports.
	Key string `json:"-"`
	// Weight is the workspace's share of the rate, relative to the others.
	// When all weights are 0, they follow Zipf's law.
	Weight float64 `json:"weight"`
}

// Config holds the settings of a run.
type Config struct {
	// Addresses are those of daemons, or of a target. Sessions are spread over
	// them.
	Addresses  []string
	Workspaces []Workspace
	// User, unless empty, replaces the workspace's name as the user name:
	// targets accept only the proxy's user.
	User string
	// Route is the database name that sessions connect with.
	Route string
	// Seed seeds the generator of arrivals and is part of the session ids, so
	// that different runs have different ones. It must be below 2^42.
	Seed uint64
	// Rate is the total of all workspaces in statements per second.
	Rate     float64
	Duration time.Duration
	// WriteShare is the fraction of statements that write, 0 to 1.
	WriteShare float64
	// ZipfExponent is the exponent of the default weights; 0 means 1.1.
	ZipfExponent float64
	// SessionsPerWorkspace is the number of connections of each workspace; 0
	// means 4.
	SessionsPerWorkspace int
	// RoamEvery is the number of statements after which a session moves to the
	// next address; 0 means that it moves only when its connection breaks.
	RoamEvery int
	// StatementTimeout bounds a statement with its retries; 0 means 5 s.
	StatementTimeout time.Duration
	// GracePeriod is the time after Duration in which statements may still be
	// sent and answered; 0 means 5 s. Arrivals that are still queued at its end
	// count as not sent.
	GracePeriod time.Duration
	// Idempotent gives each order an idempotency key and retries it under the
	// same key while its outcome is unknown.
	Idempotent bool
	// TLS is used for connections to Addresses; nil means plain text.
	TLS *tls.Config

	dial dialFunc
}

func (c Config) withDefaults() (Config, error) {
	if len(c.Addresses) == 0 || len(c.Workspaces) == 0 {
		return c, &Error{Op: "configure", Kind: KindConfig, Text: "at least one address and one workspace are required"}
	}
	if !(c.Rate > 0) || c.Duration <= 0 || !(c.WriteShare >= 0 && c.WriteShare <= 1) {
		return c, &Error{Op: "configure", Kind: KindConfig, Text: "rate and duration must be above 0, and the share of writes must be from 0 to 1"}
	}
	c.ZipfExponent = cmp.Or(c.ZipfExponent, 1.1)
	c.SessionsPerWorkspace = cmp.Or(c.SessionsPerWorkspace, 4)
	c.GracePeriod = cmp.Or(c.GracePeriod, 5*time.Second)
	c.StatementTimeout = cmp.Or(c.StatementTimeout, 5*time.Second)
	workspaces := make([]Workspace, len(c.Workspaces))
	totalWeight := 0.0
	for i, w := range c.Workspaces {
		workspaces[i] = w
		totalWeight += w.Weight
	}
	for i := range workspaces {
		if totalWeight == 0 {
			workspaces[i].Weight = 1 / math.Pow(float64(i+1), c.ZipfExponent)
		}
	}
	c.Workspaces = workspaces
	return c, nil
}
