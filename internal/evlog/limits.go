package evlog

import "github.com/rs/zerolog"

// Events of rate limits and slots.
var (
	LeaseGranted     = register(Event{500, "lease_granted", zerolog.InfoLevel, "The store has granted the lease under which this VM holds rate slices.", "Nothing."})
	LeaseLapsed      = register(Event{501, "lease_lapsed", zerolog.WarnLevel, "The lease has ended; this VM mints no rate tokens until it has claimed slices again, and borrows meanwhile.", "Look for a long pause of the process or a store outage of more than share_lease_ms."})
	SliceClaimed     = register(Event{502, "slice_claimed", zerolog.DebugLevel, "This VM holds the slice in the field `slice` and mints from it after one permit lifetime.", "Nothing."})
	SliceReleased    = register(Event{503, "slice_released", zerolog.DebugLevel, "Another VM is preferred for the slice; this VM has stopped minting and deleted the key.", "Nothing."})
	SharesStoreDown  = register(Event{510, "shares_store_down", zerolog.WarnLevel, "The store does not answer; held slices stay usable until the time in the field `until`.", "Restore the store before that time; no rate is minted after it."})
	SharesStoreUp    = register(Event{511, "shares_store_up", zerolog.InfoLevel, "The store answers again.", "Nothing."})
	GateLost         = register(Event{520, "gate_lost", zerolog.InfoLevel, "The gate of some targets can't be reached; this VM uses slots / live VMs of each.", "Nothing unless it repeats; then check the link to the VM in the field `vm`."})
	WorkspaceRefused = register(Event{530, "workspace_refused", zerolog.InfoLevel, "Requests of a workspace were refused for its rate; the field `refused` has their number since the last such line.", "Nothing, or raise the workspace's rate in the catalogue."})
)
