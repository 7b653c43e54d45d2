package node

import (
	"encoding/json"
	"net/netip"
	"os"
	"strings"
	"time"
	"unicode"

	"chervilspan.example/internal/usage"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/strict"
)

// Settings configures a VM. Addresses have the form IP:port.
type Settings struct {
	VM     ident.VM     `json:"vm"`
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
	// Zones maps each zone of the deployment to its region.
	Zones map[ident.Zone]ident.Region `json:"zones"`
	// Callers, Ready and Peers are the addresses to listen on for callers, for the
	// load balancer's readiness checks and for other VMs. Metrics, unless empty, is
	// the address at which metrics are served.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics,omitempty"`
	// Seeds are the addresses of other VMs' peer services.
	Seeds []string `json:"seeds,omitempty"`
	// Store and Platform are the addresses of the platform's store and of its API
	// for promoting a database to primary.
	Store    string `json:"store"`
	Platform string `json:"platform"`
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool `json:"first_start,omitempty"`
	// FencedPromotions is true where the platform ends a primary's work in the moment
	// in which another database takes over. Otherwise a replaced primary may go on for
	// a while, and reads at a primary need the word of other databases.
	FencedPromotions bool `json:"fenced_promotions,omitempty"`
	// RateExcess is how far workspaces may exceed their rates.
	RateExcess RateExcess `json:"rate_excess,omitzero"`
	// LearnSpeed is whether the choice of databases follows their learned speed. When
	// it is not set, it does where VMs lend each other connections.
	LearnSpeed *bool `json:"learn_speed,omitempty"`
	// ConfigMS is the time in milliseconds within which a version of the catalogue must be
	// in force after it was written; 0 means the default of package follow.
	ConfigMS Milliseconds `json:"config_ms,omitempty"`
	// EvacuateMS is the time in milliseconds within which the evacuation of a zone must be
	// in force after it was ordered; 0 means that zones are not evacuated.
	EvacuateMS Milliseconds `json:"evacuate_ms,omitempty"`
	// ColdExcess is how many requests may reach a cold database in any one second.
	// If it is missing, there is no limit.
	ColdExcess ColdExcess `json:"cold_excess,omitzero"`
	// MemoryMB is the VM's memory in MiB; 0 means no memory limit.
	MemoryMB int `json:"memory_mb,omitempty"`
	// GraceS is the longest time of a planned stop in seconds; 0 means 6.
	GraceS float64 `json:"grace_s,omitempty"`
}

// RateExcess is how much more than a workspace's rate and burst may be admitted in
// each window: a fraction of what these allow in the window, and in addition a
// fixed number of operations.
type RateExcess struct {
	WindowS  float64 `json:"window_s,omitempty"`
	Fraction float64 `json:"part,omitempty"`
	Tokens   float64 `json:"tokens,omitempty"`
}

// EvacuateWithin returns the time within which the evacuation of a zone must be in force.
func (s *Settings) EvacuateWithin() time.Duration {
	return s.EvacuateMS.Duration()
}

// ConfigWithin returns the time within which a version of the catalogue must be in force.
func (s *Settings) ConfigWithin() time.Duration {
	return s.ConfigMS.Duration()
}

// maxWithinMS is the greatest value of EvacuateMS and of ConfigMS, an hour.
const maxWithinMS = 3_600_000

// ColdExcess is a multiple of the rate of a cold database, and in addition a fixed
// number of requests.
type ColdExcess struct {
	Fraction float64 `json:"part,omitempty"`
	Tokens   float64 `json:"tokens,omitempty"`
}

const defaultGrace = 6 * time.Second

// Grace returns the longest time of a planned stop.
func (s *Settings) Grace() time.Duration {
	if s.GraceS <= 0 {
		return defaultGrace
	}
	return time.Duration(s.GraceS * float64(time.Second))
}

// Place returns the location of the VM.
func (s *Settings) Place() usage.Place {
	return usage.Place{Zone: s.Zone, Region: s.Region, RegionOf: func(z ident.Zone) ident.Region { return s.Zones[z] }}
}

// Load reads and checks a settings file. Its errors are of type *Error and kind
// KindSettings, and list every problem.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	return Parse(raw)
}

// Parse decodes and checks the text of a settings file.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, &Error{Op: "read settings", Kind: KindSettings, Err: err}
	}
	if problems := s.check(); len(problems) > 0 {
		return nil, &Error{Op: "check settings", Kind: KindSettings, Problems: problems}
	}
	return &s, nil
}

func (s *Settings) check() []strict.Problem {
	var out []strict.Problem
	add := func(path, text, allowed string) {
		out = append(out, strict.Problem{Path: path, Text: text, Allowed: allowed})
	}
	for path, v := range map[string]string{"/vm": string(s.VM), "/zone": string(s.Zone), "/region": string(s.Region)} {
		switch {
		case v == "":
			add(path, "is missing", "a name")
		case strings.ContainsFunc(v, unicode.IsControl):
			// The name of the VM is sent in a header, which can't have one: the VM could
			// lead a group and replace no primary.
			add(path, "has a control character", "a name without them")
		}
	}
	if len(s.Zones) > 0 && s.Zones[s.Zone] != s.Region {
		add("/zones", "gives the VM's zone another region", "the region of /region")
	}
	for path, v := range map[string]string{
		"/callers": s.Callers, "/ready": s.Ready, "/peers": s.Peers, "/store": s.Store, "/platform": s.Platform,
	} {
		if _, err := netip.ParseAddrPort(v); err != nil {
			add(path, "is no address", "IP:port")
		}
	}
	if s.Metrics != "" {
		if _, err := netip.ParseAddrPort(s.Metrics); err != nil {
			add("/metrics", "is no address", "IP:port or nothing")
		}
	}
	if x := s.RateExcess; x.WindowS < 0 || x.Fraction < 0 || x.Tokens < 0 {
		add("/rate_excess", "has a negative number", "0 or more")
	}
	for path, ms := range map[string]Milliseconds{"/evacuate_ms": s.EvacuateMS, "/config_ms": s.ConfigMS} {
		if !(ms >= 0 && ms <= maxWithinMS) { // also true for NaN
			add(path, "is out of range", "0 to an hour")
		}
	}
	if x := s.ColdExcess; x.Fraction < 0 || x.Tokens < 0 {
		add("/cold_excess", "has a negative number", "0 or more")
	}
	if s.MemoryMB < 0 {
		add("/memory_mb", "is negative", "0 or more")
	}
	return out
}

// homeRegion returns the region with the most zones. Of regions with equally many
// it is the first by name.
func (s *Settings) homeRegion() ident.Region {
	count := map[ident.Region]int{}
	for _, r := range s.Zones {
		count[r]++
	}
	best := s.Region
	for r, n := range count {
		if n > count[best] || n == count[best] && r < best {
			best = r
		}
	}
	return best
}
