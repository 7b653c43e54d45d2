package rendez

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func vms(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

// TestRankStable guards against a ranking that depends on the order of the input,
// or in which removing a member reorders the others.
func TestRankStable(t *testing.T) {
	is := is.New(t)
	all := vms(9)
	shuffled := slices.Clone(all)
	slices.Reverse(shuffled)
	for i := range 200 {
		key := fmt.Sprintf("k%d", i)
		before := Rank(key, all)
		is.Equal(before, Rank(key, shuffled))
		gone := before[3]
		rest := slices.DeleteFunc(slices.Clone(all), func(m string) bool { return m == gone })
		want := slices.DeleteFunc(slices.Clone(before), func(m string) bool { return m == gone })
		is.Equal(Rank(key, rest), want)
	}
}

// TestFirstSpread guards against a hash that distributes keys unevenly.
func TestFirstSpread(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	for i := range 9000 {
		m, ok := First(fmt.Sprintf("k%d", i), vms(9))
		is.True(ok)
		count[m]++
	}
	for m, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s has %d of 9000 keys", m, n)
		}
	}
	_, ok := First("k", []string(nil))
	is.True(!ok)
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 48, 480} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			all := vms(n)
			for b.Loop() {
				Rank("group/one", all)
			}
		})
	}
}

// BenchmarkChange measures the choices that a VM recomputes after a membership
// change: the watchers of each group and the gate of each target, with
// three targets in a group.
func BenchmarkChange(b *testing.B) {
	for _, s := range []struct{ vms, groups int }{{9, 3}, {48, 37}, {480, 367}} {
		b.Run(fmt.Sprintf("vms=%d/groups=%d", s.vms, s.groups), func(b *testing.B) {
			all := vms(s.vms)
			zone := all[:max(1, s.vms/10)]
			for b.Loop() {
				for g := range s.groups {
					Top(fmt.Sprint("group/", g), all, 3)
					for t := range 3 {
						First(fmt.Sprint("gate/", g, "-", t), zone)
					}
				}
			}
		})
	}
}
