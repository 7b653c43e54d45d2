// Package entry assembles the daemon: it connects the listener for callers, the
// connections to targets, the watchers of the database groups, rate limits, the
// catalogue and the services for peers and operators, and runs them until a
// planned stop has drained.
//
// # Usage
//
//	d, err := entry.New("chervild.json", cfg)
//	if err != nil {
//		return err
//	}
//	cut, err := d.Run(ctx) // cut is the number of sessions that a stop cut
package entry
