// Command chervilnode is the daemon of chervilspan on the platform's VMs. It
// serves callers of the platform's line protocol.
//
// Exit statuses: 0 after a complete stop, 1 on an error while running or when
// sessions were cut, 2 on bad settings or arguments.
package main

import (
	"os"

	"chervilspan.example/platform/run"
)

func main() { os.Exit(run.Main(os.Args[1:])) }
