package member

import "chervilspan.example/pkg/ident"

// State of a VM as the membership sees it.
type State uint8

// States of a VM. The zero State is StateAlive, so that a list from the
// settings needs no states.
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
