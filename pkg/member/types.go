package member

import "chervilspan.example/pkg/ident"

// State is the state of a VM in the membership.
type State uint8

// States of a VM. The zero State is StateAlive, so that a list of VMs that gives
// no states names live ones.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Info describes one VM.
type Info struct {
	VM     ident.VM
	Zone   ident.Zone
	Region ident.Region
	// Address is IP:port of the peer service.
	Address string
	// Number is the VM's number in cancel keys.
	Number      uint32
	Incarnation ident.Incarnation
	State       State
}
