// Package conf defines, reads and checks the daemon's settings: one JSON document
// with names in snake case. It is read at start, and again on SIGHUP for the fields
// that may change at run time.
//
// The zero value of a field stands for its default, except for the names and
// addresses that only the operator knows; Check reports those that are missing.
// Fields that end in _ms are durations in whole milliseconds.
//
// # Usage
//
//	cfg, err := conf.Load("chervild.json")
//	if err != nil {
//		// *conf.Error; its Problems name file, line, JSON path and what is allowed
//	}
package conf
