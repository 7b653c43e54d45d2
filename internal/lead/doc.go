// Package lead finds the primary of each group, watches it, and has another
// database promoted when it is lost or leaves.
//
// # Finding and watching
//
// A database that accepts the start of a writing transaction has the lead. Each
// VM asks its groups' primaries in this way when no caller's statement has shown
// it for a while, and all databases of a group while none is known.
//
// # Promotion
//
// One VM decides at a time: it creates a claim in the store under a lease, and
// the revision of that write is the fencing token of its call. It then fences
// every replica, so that the former primary can get no further commit
// acknowledged, takes the one with the highest position and asks the platform
// to promote it. The argument that no acknowledged commit is lost:
//
//  1. A commit is acknowledged once one replica has it.
//  2. A fenced replica takes no more entries of the former term. When all are
//     fenced, the set of acknowledged commits is final.
//  3. Logs are prefixes of the primary's, so the highest position among all
//     replicas covers every acknowledged commit.
//
// So a promotion waits for each replica that may hold an acknowledged commit,
// until it answers or the platform has listed it as gone for unheardLife. A
// claim is checked against the clock that counts suspension before the call is
// sent. A call without an answer may be carried out late; the replicas then
// stay fenced until a later decision, which has a higher token, ends it.
//
// # Usage
//
//	l := lead.New(lead.Config{VM: vm, Roster: &table, Pools: pools, Store: s, Promoter: p})
//	go l.Run(ctx, groups)
package lead
