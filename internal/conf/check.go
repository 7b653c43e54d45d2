package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/strict"
)

// Limits of the ranges of the settings.
const (
	// MaxVMNumber is the greatest VM number. Cancel keys have room for numbers
	// below 32768 (wire.Config.VMNumber).
	MaxVMNumber = 4095
	// MaxMS is one day, in milliseconds.
	MaxMS           = 86_400_000
	MinShareLeaseMS = 60_000
	// MaxMessageLimit and MinMessageLimit bound max_message_bytes, in bytes.
	MaxMessageLimit    = 1 << 30
	MinMessageLimit    = 1 << 10
	MaxConnectionLimit = 1_000_000
	MaxWatchers        = 15
)

// Check returns every problem of the settings, in the order of the fields.
func Check(s *Settings) []strict.Problem {
	c := &checker{}
	c.identifier("/vm", string(s.VM))
	c.inRange("/number", s.Number, 1, MaxVMNumber)
	c.identifier("/zone", string(s.Zone))
	c.identifier("/region", string(s.Region))
	c.callers(&s.Callers)
	c.peers(&s.Peers)
	c.address("/store/address", s.Store.Address)
	c.tls("/store/tls", s.Store.TLS)
	c.targets(&s.Targets)
	if s.Admin.Listen != "" {
		c.address("/admin/listen", s.Admin.Listen)
	}
	c.limits(s)
	c.policy("/failover/policy", s.Failover.Policy)
	c.inRange("/failover/watchers", s.Failover.Watchers, 0, MaxWatchers)
	c.inRange("/drain/notice_ms", s.Drain.NoticeMS, 0, MaxMS)
	c.inRange("/drain/max_ms", s.Drain.MaxMS, 0, MaxMS)
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		c.add("/log/level", fmt.Sprintf("%q is unknown", s.Log.Level), "debug, info, warn, error")
	}
	return c.problems
}

type checker struct{ problems []strict.Problem }

func (c *checker) add(path, text, allowed string) {
	c.problems = append(c.problems, strict.Problem{Path: path, Text: text, Allowed: allowed})
}

func (c *checker) identifier(path, id string) {
	if ident.Check(id) != nil {
		c.add(path, fmt.Sprintf("%q is no identifier", id), fmt.Sprintf("1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit", ident.MaxLen))
	}
}

func (c *checker) inRange(path string, n, low, high uint32) {
	if n < low || n > high {
		c.add(path, strconv.FormatUint(uint64(n), 10)+" is out of range", fmt.Sprintf("%d to %d", low, high))
	}
}

// zeroOrInRange checks a setting of which 0, the default, lies outside the range.
func (c *checker) zeroOrInRange(path string, n, low, high uint32) {
	if n != 0 {
		c.inRange(path, n, low, high)
	}
}

func (c *checker) address(path, address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		c.add(path, fmt.Sprintf("%q is no address", address), "IP:port")
	}
	return a
}

func (c *checker) tls(path string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.add(path, "the certificate and its key go together", "both cert_file and key_file, or neither")
	}
}

func (c *checker) policy(path string, p Policy) {
	if !slices.Contains([]Policy{"", PolicyAdaptive, PolicyBaseline}, p) {
		c.add(path, fmt.Sprintf("%q is unknown", p), "adaptive, baseline")
	}
}

func (c *checker) callers(s *Callers) {
	a := c.address("/callers/listen", s.Listen)
	c.tls("/callers/tls", s.TLS)
	if s.TLS.CertFile == "" && !s.PlainText {
		c.add("/callers/tls", "there is no certificate", "cert_file and key_file, or plain_text on a loopback address")
	}
	if s.PlainText && a.IsValid() && !a.Addr().IsLoopback() {
		c.add("/callers/plain_text", "keys would cross the network in clear text", "true only when listen is a loopback address")
	}
	c.inRange("/callers/max_connections", s.MaxConnections, 0, MaxConnectionLimit)
	c.inRange("/callers/max_unauthenticated", s.MaxUnauthenticated, 0, MaxConnectionLimit)
	c.inRange("/callers/handshake_timeout_ms", s.HandshakeTimeoutMS, 0, MaxMS)
	c.zeroOrInRange("/callers/max_message_bytes", s.MaxMessageBytes, MinMessageLimit, MaxMessageLimit)
}

func (c *checker) peers(s *Peers) {
	a := c.address("/peers/listen", s.Listen)
	if s.Advertise != "" {
		a = c.address("/peers/advertise", s.Advertise)
	}
	if a.IsValid() && a.Addr().IsUnspecified() {
		c.add("/peers/advertise", "other VMs cannot reach an unspecified address", "the IP:port by which they do")
	}
	for i, seed := range s.Seeds {
		c.address("/peers/seeds/"+strconv.Itoa(i), seed)
	}
	complete := s.TLS.CertFile != "" && s.TLS.KeyFile != "" && s.TLS.CAFile != ""
	if !complete && !s.PlainText {
		c.add("/peers/tls", "VMs need certificates for each other", "cert_file, key_file and ca_file, or plain_text on a loopback address")
	}
	if s.PlainText && a.IsValid() && !a.Addr().IsLoopback() {
		c.add("/peers/plain_text", "the peer service would be open to anyone", "true only on a loopback address")
	}
}

func (c *checker) targets(s *Targets) {
	if strings.TrimSpace(s.User) == "" {
		c.add("/targets/user", "the proxy's own user at the targets is missing", "a user name")
	}
	if s.PasswordFile == "" {
		c.add("/targets/password_file", "the proxy's own password at the targets is missing", "the name of a file")
	}
	c.tls("/targets/tls", s.TLS)
	c.inRange("/targets/connect_timeout_ms", s.ConnectTimeoutMS, 0, MaxMS)
	c.inRange("/targets/idle_close_ms", s.IdleCloseMS, 0, MaxMS)
}

func (c *checker) limits(s *Settings) {
	c.policy("/limits/policy", s.Limits.Policy)
	c.zeroOrInRange("/limits/share_lease_ms", s.Limits.ShareLeaseMS, MinShareLeaseMS, MaxMS)
	c.inRange("/limits/rate_wait_ms", s.Limits.RateWaitMS, 0, MaxMS)
	c.inRange("/freshness/max_stale_ms", s.Freshness.MaxStaleMS, 0, MaxMS)
	lease := uint32(s.Limits.SliceLeaseTTL().Milliseconds())
	if s.Freshness.CutOffServeMS > lease {
		c.add("/freshness/cut_off_serve_ms", "a VM that is cut off cannot honour rates beyond its lease", fmt.Sprintf("at most share_lease_ms, %d", lease))
	}
}

// Warnings returns the drawbacks of settings that are valid, one sentence each.
func Warnings(s *Settings) []string {
	var out []string
	if s.Freshness.CutOffServeMS > 0 {
		out = append(out, fmt.Sprintf("/freshness/cut_off_serve_ms: a withdrawn key may still work for %s in a VM that is cut off", s.Freshness.CutOffGracePeriod()))
	}
	if s.Limits.Policy == PolicyBaseline {
		out = append(out, "/limits/policy: the static split refuses requests that are inside their rate")
	}
	if s.Failover.Policy == PolicyBaseline {
		out = append(out, "/failover/policy: a primary is replaced only after a time-out of 3 s")
	}
	return out
}
