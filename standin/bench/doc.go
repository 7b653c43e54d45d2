// Package bench measures the objectives of section 15 of the design. It starts
// a fleet of processes on loopback, runs each case with one fault, and prints
// one JSON object a line.
//
// A line has the measure, the case, the value with its unit, the objective
// ("target", null when there is none) and whether it is met. Every run over
// the daemons is also checked by the ledger of package load; a contradiction
// is a line of the measure "ledger", whose objective is 0.
//
// A quick run has a budget of time. Each measure states what it takes on an idle
// machine; before it starts, its runs are shortened to what the rest of the
// budget allows, at most to half. One that can't end in time is not run, or is
// given up, and its line of the measure "skipped" is a missed objective.
//
// # Usage
//
//	ok, err := bench.Measure(ctx, bench.Config{Bin: ".bin", Seed: 1, Out: os.Stdout})
//
// ok is false when an objective was missed.
package bench
