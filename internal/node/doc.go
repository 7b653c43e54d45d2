// Package node assembles the daemon that serves callers of a line protocol on a
// platform's VMs. What is particular to the platform comes in as Adapters.
//
// Every VM runs the same parts: the follower of the catalogue, the list of VMs,
// the list of databases, the rates of workspaces, the watch over primaries, and
// the engine of sessions.
//
// # Usage
//
//	s, err := node.Load(path)
//	n, err := node.New(s, adapters, log)
//	err = n.Run(ctx) // until ctx ends, and then a graceful stop
package node
