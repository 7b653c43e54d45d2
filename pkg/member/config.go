package member

import (
	"cmp"
	"time"
)

// Config has the parameters of a Node. Zero fields take the defaults.
type Config struct {
	// Self is this VM; its Incarnation should be higher than that of a former
	// process of the same VM id, such as the start time in milliseconds.
	Self Info
	// Seeds are addresses of peers from the settings.
	Seeds []string
	// Period is the time between pings (1 s).
	ProtocolPeriod time.Duration
	// PingTimeout is the time for an answer to a ping (200 ms).
	PingTimeout time.Duration
	// IndirectTimeout is the time for answers to indirect probes (500 ms).
	IndirectTimeout time.Duration
	// SuspectPeriods is how long a suspicion can be refuted (3).
	SuspectPeriods int
	// Indirect is the number of VMs asked for an indirect probe (3).
	IndirectProbes int
	// Successors is the number of links on the ring of the zone (4).
	Successors int
	// EventFactor times log2 of the number of members is how often an event
	// is sent (3).
	RetransmitFactor int
	// MaxEvents is the greatest number of events on a message (48).
	MaxEvents int
	// RetryDead is the time between pings to dead members and seeds (10 s).
	DeadRetryInterval time.Duration
	// HealTime is how long dead members are tried each period after one of
	// them came back (30 s).
	HealPeriod time.Duration
	// ForgetDead is when a dead member is dropped (6 h); regions lose contact
	// for an hour now and then and have to find each other again.
	DeadRetentionPeriod time.Duration
	// QuietPeriods is how long the table must be unchanged before a difference
	// to a peer's table counts as a lost event (10).
	QuietPeriods int
	// Seed of the pseudo-random choices.
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
