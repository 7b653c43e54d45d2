// Package fleet starts a small deployment on loopback as separate processes:
// the store's stand-in, database groups of stand-in targets and daemons in
// several availability zones, with certificates made for the run. It serves the
// demo and the experiment tool.
//
// # Usage
//
//	f, err := fleet.New(fleet.Config{Bin: ".bin", Layout: fleet.Workshop()})
//	if err != nil {
//		return err
//	}
//	defer f.Stop()
//	if err := f.Start(ctx); err != nil {
//		return err
//	}
//	pool, err := f.Open(ctx, f.Daemons[0], "taller", "orders", f.Keys["taller"])
//
// Stop ends exactly the processes that the fleet started.
package fleet
