package place

import (
	"slices"
	"strings"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

// Regions is a set of allowed regions. The zero value allows every region.
type Regions struct {
	// limited is false if every region is allowed; names is then empty.
	limited bool
	// names holds the allowed regions in sorted order, each followed by separator.
	names string
}

// separator ends each name in Regions.names. A name that contains it is dropped, as it
// cannot be the name of a region.
const separator = "\x00"

// RegionsOf returns the set of the listed regions. An empty list allows every region.
func RegionsOf(list []ident.Region) Regions {
	if len(list) == 0 {
		return Regions{}
	}
	return limitedTo(list)
}

// limitedTo returns the set of the listed regions, which may be empty.
func limitedTo(list []ident.Region) Regions {
	list = slices.Clone(list)
	slices.Sort(list)
	var b strings.Builder
	for _, r := range slices.Compact(list) {
		if !strings.Contains(string(r), separator) {
			b.WriteString(string(r) + separator)
		}
	}
	return Regions{limited: true, names: b.String()}
}

// Limited reports whether some region is not allowed.
func (s Regions) Limited() bool { return s.limited }

// Allows reports whether a region is allowed. The empty name, which stands for the
// region of an unknown zone, is allowed only if every region is.
func (s Regions) Allows(r ident.Region) bool {
	if !s.limited {
		return true
	}
	if r == "" {
		return false
	}
	for name := range strings.SplitSeq(s.names, separator) {
		if name == string(r) {
			return true
		}
	}
	return false
}

// List returns the allowed regions in sorted order, nil if every region is allowed.
func (s Regions) List() []ident.Region {
	var out []ident.Region
	for name := range strings.SplitSeq(strings.TrimSuffix(s.names, separator), separator) {
		if s.names != "" {
			out = append(out, ident.Region(name))
		}
	}
	return out
}

// Intersect returns the regions that both sets allow.
func (s Regions) Intersect(o Regions) Regions {
	switch {
	case !s.limited || s == o:
		return o
	case !o.limited:
		return s
	}
	both := slices.DeleteFunc(s.List(), func(r ident.Region) bool { return !o.Allows(r) })
	return limitedTo(both)
}

// RoutesAllowing returns the number of routes of a group that allow a region. Routes
// without a list count for every region.
func RoutesAllowing(c *catal.Catalogue, g ident.Group, r ident.Region) int {
	count := 0
	for _, route := range c.Routes {
		if route.Group == g && RegionsOf(route.Regions).Allows(r) {
			count++
		}
	}
	return count
}

// UnknownRegions returns the regions in the lists of routes and workspaces that no zone
// of the catalogue has, in sorted order.
func UnknownRegions(c *catal.Catalogue) []ident.Region {
	known := map[ident.Region]bool{}
	for _, z := range c.Zones {
		known[z.Region] = true
	}
	var out []ident.Region
	add := func(list []ident.Region) {
		for _, r := range list {
			if !known[r] {
				out = append(out, r)
			}
		}
	}
	for _, r := range c.Routes {
		add(r.Regions)
	}
	for _, w := range c.Workspaces {
		add(w.Regions)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
