package catal

import (
	"fmt"
)

// ValidateChange returns every rule that the step from old to next breaks.
// Both documents must be valid by themselves. The first version, with a nil
// old, breaks none.
func ValidateChange(old, next *Catalogue) []Problem {
	if old == nil {
		return nil
	}
	v := &validator{c: next}
	for id, g := range ordered(next.Groups) {
		if was, ok := old.Groups[id]; ok {
			v.targets(at("groups", id), was, g)
		}
	}
	for id, w := range ordered(next.Workspaces) {
		v.keyHashes(at("workspaces", id), old.Workspaces[id], w)
	}
	v.sharing(old)
	return v.problems
}

// targets holds the rule that a step adds or removes at most one target: then
// every majority of the old group shares a target with every majority of the
// new one, as with Raft's single-server changes (Ongaro, 2014, section 4.1).
// Otherwise an election could miss acknowledged writes.
func (v *validator) targets(path string, was, g Group) {
	added, removed := 0, 0
	for id := range g.Targets {
		if _, ok := was.Targets[id]; !ok {
			added++
		}
	}
	for id := range was.Targets {
		if _, ok := g.Targets[id]; !ok {
			removed++
		}
	}
	if added+removed > 1 {
		v.add(path+"/targets", fmt.Sprintf("%d targets added and %d removed at once", added, removed), "one target added or removed in an edit")
	}
}

// keyHashes keeps a key's id bound to one secret: sessions are checked by the
// id, so that a replaced hash would leave the former secret's sessions open.
func (v *validator) keyHashes(path string, was, w Workspace) {
	for id, k := range ordered(w.Keys) {
		old, ok := was.Keys[id]
		if ok && old.SHA256 != k.SHA256 {
			v.add(path+at("keys", id)+"/sha256", "the hash of a key changes", "a new key id for a new secret")
		}
	}
}

// sharing refuses other numbers of shards and slices while workspaces have
// rates: VMs at different versions would mint by different shares, and the sum
// could exceed the rate.
func (v *validator) sharing(old *Catalogue) {
	if len(old.Workspaces) == 0 {
		return
	}
	const allowed = "a change only while there is no workspace"
	was, s := old.Sharing, v.c.Sharing
	if was.ShardCount() != s.ShardCount() {
		v.add("/sharing/shards", fmt.Sprintf("changes from %d to %d", was.ShardCount(), s.ShardCount()), allowed)
	}
	if was.SliceCount() != s.SliceCount() {
		v.add("/sharing/slices", fmt.Sprintf("changes from %d to %d", was.SliceCount(), s.SliceCount()), allowed)
	}
}
