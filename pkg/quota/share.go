package quota

import (
	"github.com/cespare/xxhash/v2"

	"chervilspan.example/pkg/ident"
)

// Share is the part of a limit that one slice mints.
type Share struct {
	// Rate is in tokens a second.
	Rate  float64
	Burst ident.MicroTokens
}

// ShardOf returns the shard of a workspace.
func ShardOf(ws ident.Workspace, shards uint32) Shard {
	if shards == 0 {
		shards = DefaultShards
	}
	return Shard(xxhash.Sum64String(string(ws)) % uint64(shards))
}

// MintingSlices returns how many of n slices mint: all of them, or as many as the
// burst has whole tokens.
func MintingSlices(l Limit, n int) int { return min(n, int(l.Burst)) }

// SliceShare returns the part of l that slice i of n mints. offset rotates the
// slices, so that workspaces with a burst below n use different ones. The parts
// of all slices sum up to l.
func SliceShare(l Limit, i Index, n int, offset uint32) Share {
	m := MintingSlices(l, n)
	if m == 0 || int(i) >= n {
		return Share{}
	}
	rank := (int(i) + n - int(offset)%n) % n
	if rank >= m {
		return Share{}
	}
	whole := int(l.Burst) / m
	if rank < int(l.Burst)%m {
		whole++
	}
	return Share{Rate: l.Rate / float64(m), Burst: ident.MicroTokens(whole) * ident.Token}
}

// SliceOffset returns the rotation of a workspace's slices for ShareOf.
func SliceOffset(ws ident.Workspace) uint32 {
	return uint32(xxhash.Sum64String(string(ws)) >> 40)
}

// StaticShare returns the baseline's part of l for the VM at position i of n live
// ones: an even split without lending. The parts never sum up to more than l
// while the membership is fixed.
func StaticShare(l Limit, i, n int) Share { return SliceShare(l, Index(i), n, 0) }
