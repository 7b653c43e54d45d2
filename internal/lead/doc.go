// Package lead monitors the primary of each group, and fails over to another
// database when the primary is lost or leaves, or its zone is evacuated.
//
// # Monitoring
//
// A database that accepts the start of a read-write transaction is the primary.
// Each VM probes its groups' primaries in this way when no caller's statement
// has confirmed them for a while, and probes all databases of a group while its
// primary is unknown.
//
// # Failover
//
// One VM fails a group over at a time: it creates a claim in the store under a
// lease, and the revision of that write is the fencing token of its promotion
// call. It then fences every replica, so that the former primary can get no
// further commit acknowledged, chooses the replica with the highest position and
// asks the platform to promote it. No acknowledged commit is lost, because:
//
//  1. A commit is acknowledged once one replica has it.
//  2. A fenced replica accepts no more entries of the former term. When all are
//     fenced, the set of acknowledged commits is final.
//  3. Each replica's log is a prefix of the primary's, so the highest position
//     among all replicas covers every acknowledged commit.
//
// A promotion therefore needs an answer from all databases but one that may hold an
// acknowledged commit. These are the group's in-sync set, which lies in the store: each
// acknowledged commit is in the logs of two of them. A database that is gone stays in
// the set until another one is seen to have the primary's log. Before the promotion
// call is sent, the claim's expiry is
// checked against Config.Clock, which has to count the time that the machine was
// suspended. A call without an answer may still be carried out later, unless the platform
// has accepted one with a higher token: each repeat has one. The call is
// written to the store before it is sent, and the replicas stay fenced until a call with a
// higher token has been accepted: that of a later failover, or, when the primary is back,
// one for the present primary, which changes nothing.
//
// Fences that a VM leaves when it freezes or dies are lifted by the next one that holds the
// claim while the primary works, after such a call if one of the VM before is open.
//
// A primary that answers is demoted before another database is promoted, since one that
// joins the group after the fences is not fenced. One that is leaving, missing from the
// list or in an evacuated zone is replaced only by a replica in service that has its log,
// and in the last case only by one outside the evacuated zones. Its replicas are not fenced
// before: a demoted primary acknowledges nothing, so that the end of its log covers the
// commits that any database had received, whether a VM knows of it or not. Without a
// replica that has all of this log, the primary leads again.
//
// # Commits
//
// Fences do not cover databases that join or restart after they were set. These acknowledge
// the commits of a primary that is back, until the promotion takes effect. A VM therefore
// sends commits only to a primary that it trusts (AllowCommit): it has heard from it without
// a gap since it found neither a claim to the group nor an open call for another database in
// the store. A VM with a claim asks the others whether the primary answers them; those that
// trust it say so, all others find the claim.
//
// A commit may still be acknowledged by a database that nobody knows of, between its start
// and its first report. Each VM therefore keeps a position above which it has seen a commit
// acknowledged (AcknowledgedAfter), and answers with it when it is asked about a primary. A
// database that lacks the commit is not promoted, unless its primary was demoted and another
// has the final log: a demoted primary leads again, and for one that does not answer, the
// attempt is repeated until a database with the commit is listed, or lostTimeout ends.
//
// # Former primaries
//
// Where the platform does not end a primary's work in the moment of a promotion
// (Config.Unfenced), two databases may act as primaries for a while. What a primary
// answers counts then only with a round of questions to the other databases, sent after
// the read began; package rindex decides what their answers show. Rounds are shared by
// all reads of a group that wait. A VM that finds two primaries demotes that of the lower
// term.
//
// # Usage
//
//	mon := lead.New(lead.Config{VM: vm, Roster: &table, Pools: pools, Store: s, Promoter: p})
//	mon.Watch(groups)
//	go mon.Run(ctx)
package lead
