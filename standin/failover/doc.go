// Package failover has tests of the failover (pkg/elect, internal/dbctl and
// internal/watch) against groups of stand-in targets with real rows: three VMs
// watch a group of three targets over an in-memory network on a paused clock.
//
// # Usage
//
//	go test ./standin/failover
package failover
