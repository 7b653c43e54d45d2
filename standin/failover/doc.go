// Package failover tests the failover (pkg/elect, internal/dbctl and
// internal/watch) with stand-in targets that store and replicate rows: three VMs
// watch a group of three targets over an in-memory network with a fake clock.
//
// # Usage
//
//	go test ./standin/failover
package failover
