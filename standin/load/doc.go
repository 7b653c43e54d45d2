// Package load is an open-loop load generator for daemons and stand-in
// targets. It keeps a ledger of its writes and checks it against the targets'
// rows.
//
// Arrivals come from a seeded generator: the gaps are exponentially
// distributed, and workspaces have Zipf weights unless weights are given. An
// arrival that finds all sessions of its workspace busy is queued. Its latency
// counts from the time at which it should have been sent, so that the latencies
// include stalls (coordinated omission: Tene, "How NOT to Measure Latency",
// 2015). There is a histogram for each workspace and class of statement.
//
// Each write inserts an order with a unique id. Its outcome is recorded in the
// ledger: done, not run or unknown. Verify reads the orders back: one that is
// done must be present exactly once, one that did not run must be absent, and an
// unknown one may be present at most once. Each read asks for its session's
// last order and is stale when it misses one that was acknowledged before.
//
// # Usage
//
//	err := load.Prepare(ctx, load.Access{Addresses: targets})
//	run, err := load.Run(ctx, load.Config{Addresses: daemons, Workspaces: ws, Rate: 300, Duration: time.Minute})
//	verdict, err := load.Verify(ctx, load.Access{Addresses: targets}, run.Ledger)
package load
