// Package load is an open-loop load generator for daemons and stand-in
// targets, with a ledger that is checked against the targets' rows.
//
// Arrivals are drawn from a seeded generator: exponential gaps, and workspaces
// with Zipf weights unless weights are given. An arrival that finds all
// sessions of its workspace busy waits, and its latency counts from the moment
// it was meant to be sent, so that a stall shows in the figures (coordinated
// omission: Tene, "How NOT to Measure Latency", 2015). Histograms are kept for
// each workspace and class of statement.
//
// Each write is an order with an id of its own. Its outcome goes into the
// ledger: done, not run or unknown. Verify reads the orders back: one that is
// done must be there exactly once, one that did not run must be absent, an
// unknown one may be there at most once. Each read asks for its session's last
// order and is stale when it misses one that was acknowledged before.
//
// # Usage
//
//	err := load.Prepare(ctx, load.Access{Addresses: targets})
//	run, err := load.Run(ctx, load.Config{Addresses: daemons, Workspaces: ws, Rate: 300, Duration: time.Minute})
//	verdict, err := load.Verify(ctx, load.Access{Addresses: targets}, run.Ledger)
package load
