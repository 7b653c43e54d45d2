package catal

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/strict"
)

// Ranges of the limits in a document.
const (
	MaxWeight      = 1000
	MaxQueueLimit  = 10_000
	MaxDeadlineMS  = 3_600_000
	MaxTargets     = 15
	MaxSlots       = 1000
	MaxConnections = 100_000
	MaxRate        = 1_000_000
	MaxBurst       = 1_000_000
	MaxAgeLimitMS  = 86_400_000
	MaxShards      = 4096
	MaxSlices      = 64
	// MaxText bounds owners and labels, in bytes.
	MaxTextBytes = 200
)

// Validate returns every rule that the document breaks by itself, in the order
// of the document's sections and ids. Lines are not set.
func Validate(c *Catalogue) []Problem {
	v := &validator{c: c}
	v.zones()
	for id, class := range ordered(c.Classes) {
		v.class(at("classes", id), string(id), class)
	}
	v.groups()
	for id, w := range ordered(c.Workspaces) {
		v.workspace(at("workspaces", id), string(id), w)
	}
	for id, r := range ordered(c.Routes) {
		v.route(at("routes", id), string(id), r)
	}
	v.upTo("/sharing/shards", uint64(c.Sharing.Shards), 0, MaxShards)
	v.upTo("/sharing/slices", uint64(c.Sharing.Slices), 0, MaxSlices)
	v.upTo("/sessions/idle_transaction_ms", uint64(c.Sessions.IdleTransactionMS), 0, MaxDeadlineMS)
	return v.problems
}

type validator struct {
	c        *Catalogue
	problems []Problem
}

// ordered iterates over a map in the order of its keys.
func ordered[K ~string, V any](m map[K]V) func(func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

func at[K ~string](section string, id K) string {
	return "/" + section + "/" + strict.EscapePointer(string(id))
}

func (v *validator) add(path, text, allowed string) {
	v.problems = append(v.problems, Problem{Path: path, Text: text, Allowed: allowed})
}

func (v *validator) id(path, id string) {
	if ident.Check(id) != nil {
		v.add(path, fmt.Sprintf("%q is no identifier", id), fmt.Sprintf("1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit", ident.MaxLen))
	}
}

func (v *validator) upTo(path string, n, low, high uint64) {
	if n < low || n > high {
		v.add(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) owner(path, owner string) {
	if strings.TrimSpace(owner) == "" || len(owner) > MaxTextBytes {
		v.add(path+"/owner", "the owner is missing or too long", fmt.Sprintf("1 to %d bytes", MaxTextBytes))
	}
}

func (v *validator) classRef(path string, id ident.Class) {
	if _, ok := v.c.Classes[id]; id != "" && !ok {
		v.add(path+"/class", fmt.Sprintf("class %q is not in the catalogue", id), names(v.c.Classes))
	}
}

// names lists what a reference may name.
func names[K ~string, V any](m map[K]V) string {
	if len(m) == 0 {
		return "none, the section is empty"
	}
	const most = 8
	var list []string
	for id := range ordered(m) {
		if len(list) == most {
			list = append(list, "...")
			break
		}
		list = append(list, string(id))
	}
	return strings.Join(list, ", ")
}

func (v *validator) zones() {
	if len(v.c.Zones) == 0 {
		v.add("/zones", "there is no zone", "at least one zone")
	}
	for id, z := range ordered(v.c.Zones) {
		v.id(at("zones", id), string(id))
		v.id(at("zones", id)+"/region", string(z.Region))
	}
}

func (v *validator) class(path, id string, c Class) {
	v.id(path, id)
	v.upTo(path+"/weight", uint64(c.Weight), 0, MaxWeight)
	v.upTo(path+"/max_queue", uint64(c.MaxQueue), 0, MaxQueueLimit)
	v.upTo(path+"/deadline_ms", uint64(c.DeadlineMS), 0, MaxDeadlineMS)
}

func (v *validator) groups() {
	addresses := map[string]string{}
	ids := map[ident.Target]ident.Group{}
	for id, g := range ordered(v.c.Groups) {
		v.group(at("groups", id), string(id), g)
		for tid, t := range ordered(g.Targets) {
			path := at("groups", id) + at("targets", tid)
			if other, ok := ids[tid]; ok {
				v.add(path, fmt.Sprintf("target %q is in group %q too", tid, other), "a target id of its own")
			}
			if other, ok := addresses[t.Address]; ok {
				v.add(path+"/address", fmt.Sprintf("%s has the address too", other), "an address of its own")
			}
			ids[tid], addresses[t.Address] = id, path
			v.target(path, string(tid), t)
		}
	}
}

func (v *validator) group(path, id string, g Group) {
	v.id(path, id)
	v.owner(path, g.Owner)
	v.classRef(path, g.Class)
	if g.Ack != "" && g.Ack != AckMajority && g.Ack != AckPrimary {
		v.add(path+"/ack", fmt.Sprintf("%q is unknown", g.Ack), "majority, primary")
	}
	v.upTo(path+"/targets", uint64(len(g.Targets)), 1, MaxTargets)
	staying := 0
	for _, t := range g.Targets {
		if !t.Leaving {
			staying++
		}
	}
	if len(g.Targets) > 0 && staying < g.Majority() {
		v.add(path+"/targets", fmt.Sprintf("%d of %d targets stay, no majority", staying, len(g.Targets)), fmt.Sprintf("at least %d that are not leaving", g.Majority()))
	}
}

func (v *validator) target(path, id string, t Target) {
	v.id(path, id)
	a, err := netip.ParseAddrPort(t.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		v.add(path+"/address", fmt.Sprintf("%q is no address", t.Address), "IP:port")
	}
	if _, ok := v.c.Zones[t.Zone]; !ok {
		v.add(path+"/zone", fmt.Sprintf("zone %q is not in the catalogue", t.Zone), names(v.c.Zones))
	}
	v.upTo(path+"/slots", uint64(t.Slots), 1, MaxSlots)
	v.upTo(path+"/connections", uint64(t.Connections), max(1, min(uint64(t.Slots), MaxSlots)), MaxConnections)
}

func (v *validator) workspace(path, id string, w Workspace) {
	v.id(path, id)
	v.owner(path, w.Owner)
	v.classRef(path, w.Class)
	if !(w.Rate > 0 && w.Rate <= MaxRate) {
		v.add(path+"/rate", strconv.FormatFloat(w.Rate, 'g', -1, 64)+" is out of range", fmt.Sprintf("above 0 to %d statements a second", MaxRate))
	}
	v.upTo(path+"/burst", uint64(w.Burst), 1, MaxBurst)
	for kid, k := range ordered(w.Keys) {
		v.key(path+at("keys", kid), kid, k)
	}
}

func (v *validator) key(path, id string, k Key) {
	v.id(path, id)
	sum, err := hex.DecodeString(k.SHA256)
	if err != nil || len(sum) != 32 || strings.ToLower(k.SHA256) != k.SHA256 {
		// The value is not repeated: it may be part of a key.
		v.add(path+"/sha256", "is no SHA-256", "64 lower-case hexadecimal digits, as chervilctl keys give writes them")
	}
	if len(k.Label) > MaxTextBytes {
		v.add(path+"/label", "the label is too long", fmt.Sprintf("at most %d bytes", MaxTextBytes))
	}
	if !k.Expires.IsZero() && !k.Expires.After(k.NotBefore) {
		v.add(path+"/expires", "the key expires before it is valid", "a time after not_before")
	}
}

func (v *validator) route(path, id string, r Route) {
	v.id(path, id)
	v.owner(path, r.Owner)
	v.classRef(path, r.Class)
	if _, ok := v.c.Groups[r.Group]; !ok {
		v.add(path+"/group", fmt.Sprintf("group %q is not in the catalogue", r.Group), names(v.c.Groups))
	}
	if r.Mode != "" && r.Mode != ModeReadWrite && r.Mode != ModeReadOnly {
		v.add(path+"/mode", fmt.Sprintf("%q is unknown", r.Mode), "read_write, read_only")
	}
	v.upTo(path+"/max_age_ms", uint64(r.MaxAgeMS), 0, MaxAgeLimitMS)
	if len(r.Database) > ident.MaxLen || strings.ContainsRune(r.Database, 0) {
		v.add(path+"/database", "the database name is too long or has a zero byte", fmt.Sprintf("at most %d bytes", ident.MaxLen))
	}
	for i, w := range r.Workspaces {
		if _, ok := v.c.Workspaces[w]; !ok {
			v.add(path+"/workspaces/"+strconv.Itoa(i), fmt.Sprintf("workspace %q is not in the catalogue", w), names(v.c.Workspaces))
		}
	}
}
