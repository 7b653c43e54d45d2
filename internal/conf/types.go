package conf

import (
	"cmp"
	"time"

	"chervilspan.example/pkg/ident"
)

// Settings of one daemon.
type Settings struct {
	// VM is this VM's name. Two running VMs must never share a name.
	VM ident.VM `json:"vm"`
	// Number identifies the VM in cancel keys; unique in the fleet.
	Number uint32       `json:"number"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`

	Callers   Callers   `json:"callers"`
	Peers     Peers     `json:"peers"`
	Store     Store     `json:"store"`
	Targets   Targets   `json:"targets"`
	Admin     Admin     `json:"admin,omitzero"`
	Limits    Limits    `json:"limits,omitzero"`
	Freshness Freshness `json:"freshness,omitzero"`
	Failover  Failover  `json:"failover,omitzero"`
	Drain     Drain     `json:"drain,omitzero"`
	Log       Log       `json:"log,omitzero"`
}

// TLS names the files of a certificate and of the authorities to trust.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// IsZero reports whether no file is named.
func (t TLS) IsZero() bool { return t == TLS{} }

// Callers has the settings of the listener for callers.
type Callers struct {
	// Listen is IP:port.
	Listen string `json:"listen"`
	TLS    TLS    `json:"tls,omitzero"`
	// PlainText allows keys over plain text; only on a loopback address.
	PlainText          bool   `json:"plain_text,omitempty"`
	MaxConnections     uint32 `json:"max_connections,omitempty"`
	MaxUnauthenticated uint32 `json:"max_unauthenticated,omitempty"`
	HandshakeTimeoutMS uint32 `json:"handshake_timeout_ms,omitempty"`
	MaxMessageBytes    uint32 `json:"max_message_bytes,omitempty"`
}

// Peers has the settings of the service between VMs and for operators.
type Peers struct {
	// Listen is IP:port.
	Listen string `json:"listen"`
	// Advertise is the IP:port by which other VMs reach this one; empty means
	// Listen.
	Advertise string `json:"advertise,omitempty"`
	// Seeds are IP:port of some other VMs, to join.
	Seeds []string `json:"seeds,omitempty"`
	TLS   TLS      `json:"tls,omitzero"`
	// PlainText does without TLS; only on a loopback address.
	PlainText bool `json:"plain_text,omitempty"`
}

// Store has the settings of the platform's key-value service.
type Store struct {
	// Address is IP:port.
	Address string `json:"address"`
	TLS     TLS    `json:"tls,omitzero"`
}

// Targets has the proxy's own credentials at the targets.
type Targets struct {
	User string `json:"user"`
	// PasswordFile names a file with the password; a trailing line break is
	// not part of it.
	PasswordFile     string `json:"password_file"`
	TLS              TLS    `json:"tls,omitzero"`
	ConnectTimeoutMS uint32 `json:"connect_timeout_ms,omitempty"`
	IdleCloseMS      uint32 `json:"idle_close_ms,omitempty"`
}

// Admin has the settings of the HTTP listener for health, metrics and pprof.
type Admin struct {
	// Listen is IP:port; empty means no listener.
	Listen string `json:"listen,omitempty"`
}

// Policy selects between the design's mechanism and the baseline that
// measurements compare it with.
type Policy string

// Values of Policy. The zero value stands for PolicyAdaptive.
const (
	PolicyAdaptive Policy = "adaptive"
	PolicyBaseline Policy = "baseline"
)

// Limits has the settings of rate limits and slots.
type Limits struct {
	Policy       Policy `json:"policy,omitempty"`
	ShareLeaseMS uint32 `json:"share_lease_ms,omitempty"`
	RateWaitMS   uint32 `json:"rate_wait_ms,omitempty"`
}

// Freshness has the settings of keys in a VM that is cut off.
type Freshness struct {
	MaxStaleMS uint32 `json:"max_stale_ms,omitempty"`
	// CutOffServeMS lets a VM that is cut off serve keyed routes for longer.
	// For that time a withdrawn key may still work there.
	CutOffServeMS uint32 `json:"cut_off_serve_ms,omitempty"`
}

// Failover has the settings of the watchers.
type Failover struct {
	Policy Policy `json:"policy,omitempty"`
	// Watchers is the number of VMs that watch each group.
	Watchers uint32 `json:"watchers,omitempty"`
}

// Drain has the settings of a planned stop.
type Drain struct {
	// NoticeMS is the time between failing readiness and refusing connections.
	NoticeMS uint32 `json:"notice_ms,omitempty"`
	// MaxMS is the time after which sessions in a transaction are cut.
	MaxMS uint32 `json:"max_ms,omitempty"`
}

// Log has the settings of the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
}

func millis(v uint32, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return time.Duration(v) * time.Millisecond
}

// AdvertiseAddress returns the address by which other VMs reach this one.
func (p Peers) AdvertiseAddress() string { return cmp.Or(p.Advertise, p.Listen) }

// HandshakeTimeout returns the time a caller has to authenticate, 10 s by
// default.
func (c Callers) HandshakeTimeout() time.Duration {
	return millis(c.HandshakeTimeoutMS, 10*time.Second)
}

// ConnectTimeout returns the time that a connection to a target may take, 2 s
// by default.
func (t Targets) ConnectTimeout() time.Duration { return millis(t.ConnectTimeoutMS, 2*time.Second) }

// IdleClose returns the time after which an idle connection to a target is
// closed, 30 s by default.
func (t Targets) IdleClose() time.Duration { return millis(t.IdleCloseMS, 30*time.Second) }

// ShareLease returns the length of the lease on rate slices, 15 minutes by
// default.
func (l Limits) ShareLease() time.Duration { return millis(l.ShareLeaseMS, 15*time.Minute) }

// MaxRateWait returns the time a request waits for tokens, 250 ms by default.
func (l Limits) MaxRateWait() time.Duration { return millis(l.RateWaitMS, 250*time.Millisecond) }

// MaxStale returns the age of the last proof of freshness up to which keyed
// routes are served, 5 s by default.
func (f Freshness) MaxStale() time.Duration { return millis(f.MaxStaleMS, 5*time.Second) }

// CutOffServe returns the further time that a VM that is cut off serves keyed
// routes, 0 by default.
func (f Freshness) CutOffServe() time.Duration { return millis(f.CutOffServeMS, 0) }

// WatcherCount returns the number of watchers of a group, 3 by default.
func (f Failover) WatcherCount() int { return int(cmp.Or(f.Watchers, 3)) }

// NoticePeriod returns the time between failing readiness and refusing connections,
// 2 s by default.
func (d Drain) NoticePeriod() time.Duration { return millis(d.NoticeMS, 2*time.Second) }

// MaxDuration returns the time after which sessions in a transaction are cut, 60 s by
// default.
func (d Drain) MaxDuration() time.Duration { return millis(d.MaxMS, time.Minute) }

// WithDefaults returns a copy in which zero fields have their defaults.
func (s *Settings) WithDefaults() *Settings {
	d := *s
	ms := func(v time.Duration) uint32 { return uint32(v.Milliseconds()) }
	d.Callers.MaxConnections = uint32(s.Callers.ConnectionLimit())
	d.Callers.MaxUnauthenticated = uint32(s.Callers.UnauthenticatedLimit())
	d.Callers.HandshakeTimeoutMS = ms(s.Callers.HandshakeTimeout())
	d.Callers.MaxMessageBytes = uint32(s.Callers.MessageSizeLimit())
	d.Peers.Advertise = s.Peers.AdvertiseAddress()
	d.Targets.ConnectTimeoutMS = ms(s.Targets.ConnectTimeout())
	d.Targets.IdleCloseMS = ms(s.Targets.IdleClose())
	d.Limits.Policy = cmp.Or(s.Limits.Policy, PolicyAdaptive)
	d.Limits.ShareLeaseMS = ms(s.Limits.ShareLease())
	d.Limits.RateWaitMS = ms(s.Limits.MaxRateWait())
	d.Freshness.MaxStaleMS = ms(s.Freshness.MaxStale())
	d.Failover.Policy = cmp.Or(s.Failover.Policy, PolicyAdaptive)
	d.Failover.Watchers = uint32(s.Failover.WatcherCount())
	d.Drain.NoticeMS = ms(s.Drain.NoticePeriod())
	d.Drain.MaxMS = ms(s.Drain.MaxDuration())
	d.Log.Level = cmp.Or(s.Log.Level, "info")
	return &d
}

// ConnectionLimit returns the greatest number of callers' connections, 10,000 by
// default.
func (c Callers) ConnectionLimit() int { return int(cmp.Or(c.MaxConnections, 10_000)) }

// UnauthenticatedLimit returns the greatest number of connections that have not
// authenticated yet, 500 by default.
func (c Callers) UnauthenticatedLimit() int { return int(cmp.Or(c.MaxUnauthenticated, 500)) }

// MessageSizeLimit returns the greatest size of a caller's message, 16 MiB by
// default.
func (c Callers) MessageSizeLimit() int { return int(cmp.Or(c.MaxMessageBytes, 16<<20)) }
