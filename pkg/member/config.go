package member

import (
	"cmp"
	"time"
)

// Config has the parameters of a Node. Zero fields take the defaults.
type Config struct {
	// Self is this VM. Its Incarnation should be higher than that of an earlier
	// process with the same VM id, for example the start time in milliseconds.
	Self Info
	// Seeds are the addresses of peers in the settings.
	Seeds []string
	// ProtocolPeriod is the interval between pings of links (1 s).
	ProtocolPeriod time.Duration
	// PingTimeout limits the wait for the answer to a ping (200 ms).
	PingTimeout time.Duration
	// IndirectTimeout limits the wait for the results of indirect probes (500 ms).
	IndirectTimeout time.Duration
	// SuspectPeriods is the number of protocol periods for which a suspicion can
	// be refuted (3).
	SuspectPeriods int
	// IndirectProbes is the number of VMs that are asked for an indirect probe (3).
	IndirectProbes int
	// Successors is the number of links on the hash ring of the zone (4).
	Successors int
	// RetransmitFactor times log2 of the number of live VMs is the number of
	// times that an event is sent (3).
	RetransmitFactor int
	// MaxEvents limits the queued events in a message (48).
	MaxEvents int
	// DeadRetryInterval is the interval between pings of dead members and of
	// seeds (10 s).
	DeadRetryInterval time.Duration
	// HealPeriod is how long dead members are tried in each protocol period after
	// one of them came back (30 s).
	HealPeriod time.Duration
	// DeadRetentionPeriod is how long a dead member is kept (6 h). Regions
	// occasionally lose contact for an hour and have to find each other again.
	DeadRetentionPeriod time.Duration
	// QuietPeriods is the number of protocol periods for which the table must be
	// unchanged before a difference from a peer's table counts as a lost event (10).
	QuietPeriods int
	// Seed is the seed of the pseudo-random choices.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.ProtocolPeriod = cmp.Or(c.ProtocolPeriod, time.Second)
	c.PingTimeout = cmp.Or(c.PingTimeout, 200*time.Millisecond)
	c.IndirectTimeout = cmp.Or(c.IndirectTimeout, 500*time.Millisecond)
	c.SuspectPeriods = cmp.Or(c.SuspectPeriods, 3)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, 3)
	c.Successors = cmp.Or(c.Successors, 4)
	c.RetransmitFactor = cmp.Or(c.RetransmitFactor, 3)
	c.MaxEvents = cmp.Or(c.MaxEvents, 48)
	c.DeadRetryInterval = cmp.Or(c.DeadRetryInterval, 10*time.Second)
	c.HealPeriod = cmp.Or(c.HealPeriod, 30*time.Second)
	c.DeadRetentionPeriod = cmp.Or(c.DeadRetentionPeriod, 6*time.Hour)
	c.QuietPeriods = cmp.Or(c.QuietPeriods, 10)
	c.Self.Incarnation = max(c.Self.Incarnation, 1)
	return c
}
