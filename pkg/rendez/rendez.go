// Package rendez assigns keys to members by rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): every
// VM with the same list of members makes the same choice, and adding or removing
// a member moves only the keys of that member.
//
// # Usage
//
//	watchers := rendez.Top("group/taller-db-1", live, 3)
//	if slices.Contains(watchers, self) {
//		// this VM watches the group
//	}
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members in descending order of their hash for key. The order
// depends only on the key and on the set of members. Rank does not modify members.
func Rank[M ~string](key string, members []M) []M {
	type scored struct {
		m M
		h uint64
	}
	list := make([]scored, len(members))
	var d xxhash.Digest
	for i, m := range members {
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(string(m))
		list[i] = scored{m, d.Sum64()}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.h, a.h); c != 0 {
			return c
		}
		return cmp.Compare(a.m, b.m)
	})
	out := make([]M, len(list))
	for i, s := range list {
		out[i] = s.m
	}
	return out
}

// Top returns the first n members of Rank, or all if there are fewer.
func Top[M ~string](key string, members []M, n int) []M {
	r := Rank(key, members)
	return r[:min(n, len(r))]
}

// First returns the first member of Rank; ok is false when there are no members.
func First[M ~string](key string, members []M) (m M, ok bool) {
	r := Rank(key, members)
	if len(r) == 0 {
		return m, false
	}
	return r[0], true
}
