// Package bench measures the objectives of section 15 of the design. It starts
// a fleet of processes on loopback, runs each case with one fault, and prints
// one JSON object a line.
//
// A line has the measure, the case, the value with its unit, the objective
// ("target", null when there is none) and whether it is met. Every run over
// the daemons is also checked by the ledger of package load; a contradiction
// is a line of the measure "ledger", whose objective is 0.
//
// # Usage
//
//	ok, err := bench.Measure(ctx, bench.Config{Bin: ".bin", Seed: 1, Out: os.Stdout})
//
// ok is false when an objective was missed.
package bench
