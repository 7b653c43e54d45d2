// Package member tracks which VMs are live. Each VM pings a bounded set of
// peers in turn, asks others to ping a peer that does not answer, suspects it,
// and declares it dead when nobody refutes the suspicion. Events about VMs ride
// on the pings.
package member
