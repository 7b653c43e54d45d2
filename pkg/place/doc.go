// Package place decides which databases and VMs may serve a request: those in the
// regions that the request's route and workspace allow, and outside the availability
// zones that operators are evacuating.
//
// The package does no I/O, starts no goroutine and reads no clock.
//
// # Regions
//
// Regions is the set of regions in which a request may be served. Its zero value allows
// every region. It is comparable, so that structs that contain one can be compared.
//
// # Evacuation
//
// Evacuation tracks the zones that are being evacuated and when each one closes, so that no
// request reaches its databases when the time allowed for the evacuation has passed.
//
// # Usage
//
//	allowed := place.RegionsOf(route.Regions).Intersect(place.RegionsOf(workspace.Regions))
//	if !allowed.Allows(region) {
//		// refuse the request
//	}
//
//	e := place.Evacuation{Within: 5 * time.Second}
//	e.Confirm(place.Snapshot{}, asked) // no zone was evacuated at that time
//	e.Apply(place.NewSnapshot(revision, zones), now)
//	if e.View().Status(zone, now) == place.Closed {
//		// refuse the request
//	}
package place
