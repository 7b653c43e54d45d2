// Command gen writes docs/events.md from the table of events. Run it in the root of
// the repository.
package main

import (
	"fmt"
	"os"

	"chervilspan.example/internal/evlog"
)

func main() {
	if err := os.WriteFile("docs/events.md", []byte(evlog.Markdown()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
