package place

import (
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/pkg/catal"
	"chervilspan.example/pkg/ident"
)

func regions(names ...ident.Region) Regions { return RegionsOf(names) }

// TestRegions guards against an empty intersection, or the region of an unknown zone,
// that allows every region, and against sets with equal members that differ.
func TestRegions(t *testing.T) {
	is := is.New(t)
	is.True(regions().Allows("a"))
	is.True(regions().Allows(""))
	is.Equal(regions("b", "a", "b"), regions("a", "b"))
	none := regions("a").Intersect(regions("b"))
	is.True(none.Limited())
	for _, r := range []ident.Region{"", "a", "b"} {
		is.True(!none.Allows(r))
	}
	is.True(!regions("").Allows(""))
	is.Equal(none.Intersect(none), none)
	is.Equal(len(none.List()), 0)
	is.Equal(regions().Intersect(regions("a")), regions("a"))
	is.Equal(regions("a").Intersect(regions()), regions("a"))
	is.Equal(regions("a", "b", "c").Intersect(regions("c", "d", "b")), regions("b", "c"))
	is.True(!regions("ab").Allows("a"))
}

// TestRoutesAllowing guards against routes of other groups that count, and routes without
// a list that don't.
func TestRoutesAllowing(t *testing.T) {
	is := is.New(t)
	c := &catal.Catalogue{
		Zones: map[ident.Zone]catal.Zone{"z": {Region: "a"}},
		Routes: map[ident.Route]catal.Route{
			"1": {Group: "g", Regions: []ident.Region{"b"}}, "2": {Group: "g"}, "3": {Group: "h", Regions: []ident.Region{"a"}},
		},
		Workspaces: map[ident.Workspace]catal.Workspace{"w": {Regions: []ident.Region{"d", "a", "b"}}},
	}
	is.Equal(RoutesAllowing(c, "g", "a"), 1)
	is.Equal(RoutesAllowing(c, "g", "b"), 2)
	is.Equal(UnknownRegions(c), []ident.Region{"b", "d"})
}
