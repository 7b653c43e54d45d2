// Package conf has the daemon's settings: one JSON document with names in
// snake case, read at start and, for the fields that may change, on SIGHUP.
//
// Every field has a default at its zero value, except the names and addresses
// that only the operator knows; Check lists what is missing. Durations are
// whole milliseconds in fields that end in _ms.
//
// # Usage
//
//	cfg, err := conf.Load("chervild.json")
//	if err != nil {
//		// *conf.Error; its Problems name file, line, JSON path and what is allowed
//	}
package conf
