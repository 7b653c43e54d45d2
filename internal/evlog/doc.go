// Package evlog defines the numbered events that the daemons log. Each event has a
// number, a name, a level, a meaning, and the action that an operator should take.
// docs/events.md is generated from this table, and a test checks that it is current.
//
// # Usage
//
//	evlog.At(log, evlog.CatalogueApplied).Uint64("version", 7).Send()
//
// Each file has the events of one area, with a range of numbers: 100 daemon,
// from 130 the platform's store and lenders, 200 sessions, 300 targets, 400
// failover, 500 limits, 600 catalogue, 700 membership, 800 operators, 900 the
// stand-in target.
package evlog
