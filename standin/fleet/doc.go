// Package fleet starts a small deployment on loopback as separate processes:
// the stand-in store, database groups of stand-in targets, and daemons in
// several availability zones, with certificates issued for the run. The demo,
// chervilbench and the process tests use it.
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
//	if err := f.Publish(ctx); err != nil {
//		return err
//	}
//	conn, err := f.Connect(ctx, f.Daemons[0], "taller-ws-a", "taller-1")
//
// Stop ends only the processes that the fleet started.
package fleet
