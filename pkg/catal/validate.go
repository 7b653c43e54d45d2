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
	// MaxTextBytes bounds owners and labels.
	MaxTextBytes = 200
)

// Validate returns all violations of the rules for a single document, in the
// order of its sections and ids. Their Line is not set.
func Validate(c *Catalogue) []Problem {
	v := &validator{c: c}
	v.checkZones()
	for id, class := range sortedByKey(c.Classes) {
		v.checkClass(entryPath("classes", id), string(id), class)
	}
	v.checkGroups()
	for id, w := range sortedByKey(c.Workspaces) {
		v.checkWorkspace(entryPath("workspaces", id), string(id), w)
	}
	for id, r := range sortedByKey(c.Routes) {
		v.checkRoute(entryPath("routes", id), string(id), r)
	}
	v.checkRange("/sharing/shards", uint64(c.Sharing.Shards), 0, MaxShards)
	v.checkRange("/sharing/slices", uint64(c.Sharing.Slices), 0, MaxSlices)
	v.checkRange("/sessions/idle_transaction_ms", uint64(c.Sessions.IdleTransactionMS), 0, MaxDeadlineMS)
	return v.problems
}

// validator collects the problems of a document.
type validator struct {
	c        *Catalogue
	problems []Problem
}

// sortedByKey iterates over a map in the order of its keys.
func sortedByKey[K ~string, V any](m map[K]V) func(func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

// entryPath returns the JSON Pointer of an entry of a section.
func entryPath[K ~string](section string, id K) string {
	return "/" + section + "/" + strict.EscapePointer(string(id))
}

func (v *validator) add(path, text, allowed string) {
	v.problems = append(v.problems, Problem{Path: path, Text: text, Allowed: allowed})
}

func (v *validator) checkID(path, id string) {
	if ident.Check(id) != nil {
		v.add(path, fmt.Sprintf("%q is no identifier", id), fmt.Sprintf("1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit", ident.MaxLen))
	}
}

func (v *validator) checkRange(path string, n, low, high uint64) {
	if n < low || n > high {
		v.add(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) checkOwner(path, owner string) {
	if strings.TrimSpace(owner) == "" || len(owner) > MaxTextBytes {
		v.add(path+"/owner", "the owner is missing or too long", fmt.Sprintf("1 to %d bytes", MaxTextBytes))
	}
}

func (v *validator) checkClassRef(path string, id ident.Class) {
	if _, ok := v.c.Classes[id]; id != "" && !ok {
		v.add(path+"/class", fmt.Sprintf("class %q is not in the catalogue", id), listIDs(v.c.Classes))
	}
}

// listIDs returns the ids that a reference may name, shortened to the first
// maxListed.
func listIDs[K ~string, V any](m map[K]V) string {
	if len(m) == 0 {
		return "none, the section is empty"
	}
	const maxListed = 8
	var list []string
	for id := range sortedByKey(m) {
		if len(list) == maxListed {
			list = append(list, "...")
			break
		}
		list = append(list, string(id))
	}
	return strings.Join(list, ", ")
}

func (v *validator) checkZones() {
	if len(v.c.Zones) == 0 {
		v.add("/zones", "there is no zone", "at least one zone")
	}
	for id, z := range sortedByKey(v.c.Zones) {
		v.checkID(entryPath("zones", id), string(id))
		v.checkID(entryPath("zones", id)+"/region", string(z.Region))
	}
}

func (v *validator) checkClass(path, id string, c Class) {
	v.checkID(path, id)
	v.checkRange(path+"/weight", uint64(c.Weight), 0, MaxWeight)
	v.checkRange(path+"/max_queue", uint64(c.MaxQueue), 0, MaxQueueLimit)
	v.checkRange(path+"/deadline_ms", uint64(c.DeadlineMS), 0, MaxDeadlineMS)
}

func (v *validator) checkGroups() {
	pathOf := map[string]string{}
	groupOf := map[ident.Target]ident.Group{}
	for id, g := range sortedByKey(v.c.Groups) {
		v.checkGroup(entryPath("groups", id), string(id), g)
		for tid, t := range sortedByKey(g.Targets) {
			path := entryPath("groups", id) + entryPath("targets", tid)
			if other, ok := groupOf[tid]; ok {
				v.add(path, fmt.Sprintf("target %q is in group %q too", tid, other), "a target id of its own")
			}
			if other, ok := pathOf[t.Address]; ok {
				v.add(path+"/address", fmt.Sprintf("%s has the address too", other), "an address of its own")
			}
			groupOf[tid], pathOf[t.Address] = id, path
			v.checkTarget(path, string(tid), t)
		}
	}
}

func (v *validator) checkGroup(path, id string, g Group) {
	v.checkID(path, id)
	v.checkOwner(path, g.Owner)
	v.checkClassRef(path, g.Class)
	if g.Ack != "" && g.Ack != AckMajority && g.Ack != AckPrimary {
		v.add(path+"/ack", fmt.Sprintf("%q is unknown", g.Ack), "majority, primary")
	}
	v.checkRange(path+"/targets", uint64(len(g.Targets)), 1, MaxTargets)
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

func (v *validator) checkTarget(path, id string, t Target) {
	v.checkID(path, id)
	a, err := netip.ParseAddrPort(t.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		v.add(path+"/address", fmt.Sprintf("%q is no address", t.Address), "IP:port")
	}
	if _, ok := v.c.Zones[t.Zone]; !ok {
		v.add(path+"/zone", fmt.Sprintf("zone %q is not in the catalogue", t.Zone), listIDs(v.c.Zones))
	}
	v.checkRange(path+"/slots", uint64(t.Slots), 1, MaxSlots)
	v.checkRange(path+"/connections", uint64(t.Connections), max(1, min(uint64(t.Slots), MaxSlots)), MaxConnections)
}

func (v *validator) checkWorkspace(path, id string, w Workspace) {
	v.checkID(path, id)
	v.checkOwner(path, w.Owner)
	v.checkClassRef(path, w.Class)
	if !(w.Rate > 0 && w.Rate <= MaxRate) {
		v.add(path+"/rate", strconv.FormatFloat(w.Rate, 'g', -1, 64)+" is out of range", fmt.Sprintf("above 0 to %d statements a second", MaxRate))
	}
	v.checkRange(path+"/burst", uint64(w.Burst), 1, MaxBurst)
	v.checkRegions(path, w.Regions)
	for kid, k := range sortedByKey(w.Keys) {
		v.checkKey(path+entryPath("keys", kid), kid, k)
	}
}

func (v *validator) checkKey(path, id string, k Key) {
	v.checkID(path, id)
	sum, err := hex.DecodeString(k.SHA256)
	if err != nil || len(sum) != 32 || strings.ToLower(k.SHA256) != k.SHA256 {
		// The message does not contain the value, which may be part of a key.
		v.add(path+"/sha256", "is no SHA-256", "64 lower-case hexadecimal digits, as chervilctl keys give writes them")
	}
	if len(k.Label) > MaxTextBytes {
		v.add(path+"/label", "the label is too long", fmt.Sprintf("at most %d bytes", MaxTextBytes))
	}
	if !k.Expires.IsZero() && !k.Expires.After(k.NotBefore) {
		v.add(path+"/expires", "the key expires before it is valid", "a time after not_before")
	}
}

// checkRegions refuses lists of regions: daemons that read validated documents do not
// enforce them.
func (v *validator) checkRegions(path string, list []ident.Region) {
	if len(list) > 0 {
		v.add(path+"/regions", "lists of regions are not enforced in this deployment", "no list")
	}
}

func (v *validator) checkRoute(path, id string, r Route) {
	v.checkID(path, id)
	v.checkOwner(path, r.Owner)
	v.checkClassRef(path, r.Class)
	if _, ok := v.c.Groups[r.Group]; !ok {
		v.add(path+"/group", fmt.Sprintf("group %q is not in the catalogue", r.Group), listIDs(v.c.Groups))
	}
	if r.Mode != "" && r.Mode != ModeReadWrite && r.Mode != ModeReadOnly {
		v.add(path+"/mode", fmt.Sprintf("%q is unknown", r.Mode), "read_write, read_only")
	}
	v.checkRange(path+"/max_age_ms", uint64(r.MaxAgeMS), 0, MaxAgeLimitMS)
	if len(r.Database) > ident.MaxLen || strings.ContainsRune(r.Database, 0) {
		v.add(path+"/database", "the database name is too long or has a zero byte", fmt.Sprintf("at most %d bytes", ident.MaxLen))
	}
	v.checkRegions(path, r.Regions)
	for i, w := range r.Workspaces {
		if _, ok := v.c.Workspaces[w]; !ok {
			v.add(path+"/workspaces/"+strconv.Itoa(i), fmt.Sprintf("workspace %q is not in the catalogue", w), listIDs(v.c.Workspaces))
		}
	}
}
