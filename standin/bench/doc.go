// Package bench measures the objectives of section 15 of the design. It starts
// a fleet of processes on loopback, runs the cases, each with at most one kind
// of fault, and prints one JSON object per line.
//
// A line holds the measure, the case, the value with its unit, the objective
// ("target", null when there is none) and whether it is met. Each measured run
// that writes is also checked against the ledger of package load. The number of
// contradictions is printed as the measure "ledger", whose objective is 0.
//
// A quick run has a time budget. Each measure states its duration on an idle
// machine. Before it starts, its runs are shortened to fit the rest of the
// budget, at most to half their length. A measure that cannot end in time is not
// run or is stopped, and its line of the measure "skipped" counts as a missed
// objective.
//
// # Usage
//
//	ok, err := bench.Measure(ctx, bench.Config{Bin: ".bin", Seed: 1, Out: os.Stdout})
//
// ok is false when an objective was missed.
package bench
