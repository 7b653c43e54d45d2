package catal

import (
	"fmt"
)

// ValidateChange returns all violations of the rules for the change from old to
// next. Both documents must be valid by themselves. A nil old means that next
// is the first version, for which there are no such rules.
func ValidateChange(old, next *Catalogue) []Problem {
	if old == nil {
		return nil
	}
	v := &validator{c: next}
	for id, g := range sortedByKey(next.Groups) {
		if oldGroup, ok := old.Groups[id]; ok {
			v.checkTargetChange(entryPath("groups", id), oldGroup, g)
		}
	}
	for id, w := range sortedByKey(next.Workspaces) {
		v.checkKeyHashes(entryPath("workspaces", id), old.Workspaces[id], w)
	}
	v.checkSharingChange(old)
	return v.problems
}

// checkTargetChange checks that a change adds or removes at most one target of
// a group. Then every majority of the old group shares a target with every
// majority of the new one, as with Raft's single-server changes (Ongaro, 2014,
// section 4.1). Otherwise an election could miss acknowledged writes.
func (v *validator) checkTargetChange(path string, oldGroup, g Group) {
	added, removed := 0, 0
	for id := range g.Targets {
		if _, ok := oldGroup.Targets[id]; !ok {
			added++
		}
	}
	for id := range oldGroup.Targets {
		if _, ok := g.Targets[id]; !ok {
			removed++
		}
	}
	if added+removed > 1 {
		v.add(path+"/targets", fmt.Sprintf("%d targets added and %d removed at once", added, removed), "one target added or removed in an edit")
	}
}

// checkKeyHashes checks that the id of a key stays bound to one secret.
// Otherwise a check of a session by the id alone would leave the sessions of the
// former secret open after the hash is replaced.
func (v *validator) checkKeyHashes(path string, oldWorkspace, w Workspace) {
	for id, k := range sortedByKey(w.Keys) {
		old, ok := oldWorkspace.Keys[id]
		if ok && old.SHA256 != k.SHA256 {
			v.add(path+entryPath("keys", id)+"/sha256", "the hash of a key changes", "a new key id for a new secret")
		}
	}
}

// checkSharingChange checks that the numbers of shards and slices do not change
// while the old version has workspaces. VMs at different versions would mint tokens by
// different shares, whose sum could exceed the rate of a workspace.
func (v *validator) checkSharingChange(old *Catalogue) {
	if len(old.Workspaces) == 0 {
		return
	}
	const allowed = "a change only while there is no workspace"
	oldSharing, newSharing := old.Sharing, v.c.Sharing
	if oldSharing.ShardCount() != newSharing.ShardCount() {
		v.add("/sharing/shards", fmt.Sprintf("changes from %d to %d", oldSharing.ShardCount(), newSharing.ShardCount()), allowed)
	}
	if oldSharing.SliceCount() != newSharing.SliceCount() {
		v.add("/sharing/slices", fmt.Sprintf("changes from %d to %d", oldSharing.SliceCount(), newSharing.SliceCount()), allowed)
	}
}
