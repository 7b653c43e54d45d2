package conf

import (
	"cmp"
	"time"

	"chervilspan.example/pkg/ident"
)

// Settings configures one daemon.
type Settings struct {
	// VM is this VM's name. Two running VMs must never share a name.
	VM ident.VM `json:"vm"`
	// Number identifies the VM in cancel keys. It must be unique in the fleet.
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

// TLS names the files of a certificate, its key and the authorities to trust.
type TLS struct {
	CertFile string `json:"cert_file,omitempty"`
	KeyFile  string `json:"key_file,omitempty"`
	CAFile   string `json:"ca_file,omitempty"`
}

// IsZero reports whether no file is named.
func (t TLS) IsZero() bool { return t == TLS{} }

// Callers configures the listener for callers.
type Callers struct {
	// Listen is IP:port.
	Listen string `json:"listen"`
	TLS    TLS    `json:"tls,omitzero"`
	// PlainText allows callers to send keys without TLS; only on a loopback address.
	PlainText          bool   `json:"plain_text,omitempty"`
	MaxConnections     uint32 `json:"max_connections,omitempty"`
	MaxUnauthenticated uint32 `json:"max_unauthenticated,omitempty"`
	HandshakeTimeoutMS uint32 `json:"handshake_timeout_ms,omitempty"`
	MaxMessageBytes    uint32 `json:"max_message_bytes,omitempty"`
}

// Peers configures the service for other VMs and for operators.
type Peers struct {
	// Listen is IP:port.
	Listen string `json:"listen"`
	// Advertise is the IP:port at which other VMs reach this one; empty means
	// Listen.
	Advertise string `json:"advertise,omitempty"`
	// Seeds are the IP:port of some other VMs, by which this VM joins the fleet.
	Seeds []string `json:"seeds,omitempty"`
	TLS   TLS      `json:"tls,omitzero"`
	// PlainText serves without TLS; only on a loopback address.
	PlainText bool `json:"plain_text,omitempty"`
}

// Store configures the connection to the platform's key-value service.
type Store struct {
	// Address is IP:port.
	Address string `json:"address"`
	TLS     TLS    `json:"tls,omitzero"`
}

// Targets configures the proxy's connections to the targets and its credentials
// there.
type Targets struct {
	User string `json:"user"`
	// PasswordFile names a file with the password. Line breaks at its end are not
	// part of the password.
	PasswordFile     string `json:"password_file"`
	TLS              TLS    `json:"tls,omitzero"`
	ConnectTimeoutMS uint32 `json:"connect_timeout_ms,omitempty"`
	IdleCloseMS      uint32 `json:"idle_close_ms,omitempty"`
}

// Admin configures the HTTP listener for health checks, metrics and pprof.
type Admin struct {
	// Listen is IP:port; empty means no listener.
	Listen string `json:"listen,omitempty"`
}

// Policy selects between the adaptive mechanism and the simpler baseline with which
// measurements compare it.
type Policy string

// Values of Policy. The zero value stands for PolicyAdaptive.
const (
	PolicyAdaptive Policy = "adaptive"
	PolicyBaseline Policy = "baseline"
)

// Limits configures rate limits and slots.
type Limits struct {
	Policy       Policy `json:"policy,omitempty"`
	ShareLeaseMS uint32 `json:"share_lease_ms,omitempty"`
	RateWaitMS   uint32 `json:"rate_wait_ms,omitempty"`
}

// Freshness configures how long a VM that is cut off accepts keys.
type Freshness struct {
	MaxStaleMS uint32 `json:"max_stale_ms,omitempty"`
	// CutOffServeMS is how much longer a VM that is cut off serves keyed routes.
	// During that time a withdrawn key may still work there.
	CutOffServeMS uint32 `json:"cut_off_serve_ms,omitempty"`
}

// Failover configures the watchers of database groups.
type Failover struct {
	Policy Policy `json:"policy,omitempty"`
	// Watchers is the number of VMs that watch each group.
	Watchers uint32 `json:"watchers,omitempty"`
}

// Drain configures a planned stop.
type Drain struct {
	// NoticeMS is the time from failing the readiness check to refusing connections.
	NoticeMS uint32 `json:"notice_ms,omitempty"`
	// MaxMS is the time, after NoticeMS, when sessions still in a transaction are cut.
	MaxMS uint32 `json:"max_ms,omitempty"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level,omitempty"`
}

// millisOr returns v milliseconds, or def if v is 0.
func millisOr(v uint32, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return time.Duration(v) * time.Millisecond
}

// AdvertiseAddress returns the address at which other VMs reach this one.
func (p Peers) AdvertiseAddress() string { return cmp.Or(p.Advertise, p.Listen) }

// HandshakeTimeout returns the time in which a caller must authenticate, 10 s by
// default.
func (c Callers) HandshakeTimeout() time.Duration {
	return millisOr(c.HandshakeTimeoutMS, 10*time.Second)
}

// ConnectTimeout returns the time in which a connection to a target must be
// established, 2 s by default.
func (t Targets) ConnectTimeout() time.Duration { return millisOr(t.ConnectTimeoutMS, 2*time.Second) }

// IdleTimeout returns the time after which an idle connection to a target is
// closed, 30 s by default.
func (t Targets) IdleTimeout() time.Duration { return millisOr(t.IdleCloseMS, 30*time.Second) }

// SliceLeaseTTL returns the lifetime of the lease on rate slices, 15 minutes by
// default.
func (l Limits) SliceLeaseTTL() time.Duration { return millisOr(l.ShareLeaseMS, 15*time.Minute) }

// MaxRateWait returns how long a request waits for tokens at most, 250 ms by
// default.
func (l Limits) MaxRateWait() time.Duration { return millisOr(l.RateWaitMS, 250*time.Millisecond) }

// MaxStaleness returns the age up to which a proof that the catalogue is current
// allows keyed routes to be served, 5 s by default.
func (f Freshness) MaxStaleness() time.Duration { return millisOr(f.MaxStaleMS, 5*time.Second) }

// CutOffGracePeriod returns how much longer a VM that is cut off serves keyed
// routes, 0 by default.
func (f Freshness) CutOffGracePeriod() time.Duration { return millisOr(f.CutOffServeMS, 0) }

// WatcherCount returns the number of VMs that watch each group, 3 by default.
func (f Failover) WatcherCount() int { return int(cmp.Or(f.Watchers, 3)) }

// NoticePeriod returns the time from failing the readiness check to refusing
// connections, 2 s by default.
func (d Drain) NoticePeriod() time.Duration { return millisOr(d.NoticeMS, 2*time.Second) }

// MaxDuration returns the time, after NoticePeriod, when sessions still in a
// transaction are cut, 60 s by default.
func (d Drain) MaxDuration() time.Duration { return millisOr(d.MaxMS, time.Minute) }

// WithDefaults returns a copy in which fields with the value zero are set to their
// defaults.
func (s *Settings) WithDefaults() *Settings {
	d := *s
	ms := func(v time.Duration) uint32 { return uint32(v.Milliseconds()) }
	d.Callers.MaxConnections = uint32(s.Callers.ConnectionLimit())
	d.Callers.MaxUnauthenticated = uint32(s.Callers.UnauthenticatedLimit())
	d.Callers.HandshakeTimeoutMS = ms(s.Callers.HandshakeTimeout())
	d.Callers.MaxMessageBytes = uint32(s.Callers.MessageSizeLimit())
	d.Peers.Advertise = s.Peers.AdvertiseAddress()
	d.Targets.ConnectTimeoutMS = ms(s.Targets.ConnectTimeout())
	d.Targets.IdleCloseMS = ms(s.Targets.IdleTimeout())
	d.Limits.Policy = cmp.Or(s.Limits.Policy, PolicyAdaptive)
	d.Limits.ShareLeaseMS = ms(s.Limits.SliceLeaseTTL())
	d.Limits.RateWaitMS = ms(s.Limits.MaxRateWait())
	d.Freshness.MaxStaleMS = ms(s.Freshness.MaxStaleness())
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

// MessageSizeLimit returns the greatest size of a caller's message in bytes, 16 MiB
// by default.
func (c Callers) MessageSizeLimit() int { return int(cmp.Or(c.MaxMessageBytes, 16<<20)) }
