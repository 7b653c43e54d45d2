// Package node assembles the daemon that serves callers of a line protocol on a
// platform's VMs. Everything specific to the platform is passed in as Adapters.
//
// Every VM runs the same components: the catalogue follower, the list of VMs, the
// list of databases, the rate limiter of workspaces, the lender of connections, the
// guard of cold databases, the monitor of primaries, and the session engine.
//
// # Usage
//
//	s, err := node.Load(path)
//	n := node.New(s, adapters, log)
//	err = n.Run(ctx) // serves until ctx ends, then stops gracefully
package node
