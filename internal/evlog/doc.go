// Package evlog has the numbered events that the daemon logs. Each event has a
// number, a name, a level, a meaning and what an operator should do;
// docs/events.md is generated from this table, and a test holds both together.
//
// # Usage
//
//	evlog.At(log, evlog.CatalogueApplied).Uint64("version", 7).Send()
//
// Each part of the daemon keeps its events in a file of its own, with a range
// of numbers: 100 daemon, 200 sessions, 300 targets, 400 failover, 500 limits,
// 600 catalogue, 700 membership, 800 operators.
package evlog
