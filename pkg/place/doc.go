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
// # Usage
//
//	allowed := place.RegionsOf(route.Regions).Intersect(place.RegionsOf(workspace.Regions))
//	if !allowed.Allows(region) {
//		// refuse the request
//	}
package place
