// Package entry assembles the entry daemon from its components: the listener for
// callers, the connections to targets, the watchers of the database groups, the
// rate limiter, the catalogue, and the services for peers and operators. It runs
// them until a planned stop has drained the sessions.
//
// # Usage
//
//	d, err := entry.New("chervild.json", cfg)
//	if err != nil {
//		return err
//	}
//	cut, err := d.Run(ctx) // cut is the number of sessions that a stop cut
package entry
