package evlog

import "github.com/rs/zerolog"

// Events of rate limits and slots.
var (
	LeaseGranted     = register(Event{500, "lease_granted", zerolog.InfoLevel, "The store has granted the lease under which this VM holds rate slices.", "Nothing."})
	LeaseLapsed      = register(Event{501, "lease_lapsed", zerolog.WarnLevel, "The lease on rate slices has expired; this VM mints no tokens until it has claimed slices again, and borrows tokens in the meantime.", "Look for a long pause of the process, or a store outage longer than the lease (`limits.share_lease_ms`)."})
	SliceClaimed     = register(Event{502, "slice_claimed", zerolog.DebugLevel, "This VM holds the slice in the field `slice` and mints from it after one permit lifetime.", "Nothing."})
	SliceReleased    = register(Event{503, "slice_released", zerolog.DebugLevel, "Another VM is preferred for the slice; this VM has stopped minting from it and deleted its key in the store.", "Nothing."})
	SharesStoreDown  = register(Event{510, "shares_store_down", zerolog.WarnLevel, "The store does not answer; the slices that this VM holds stay usable until the time in the field `until`.", "Restore the store before that time; after it no tokens are minted."})
	SharesStoreUp    = register(Event{511, "shares_store_up", zerolog.InfoLevel, "The store answers this VM's requests about rate slices again.", "Nothing."})
	GateLost         = register(Event{520, "gate_lost", zerolog.InfoLevel, "The VM with the gate of some targets can't be reached; for each of them this VM uses the target's slots divided by the number of live VMs.", "Nothing, unless it recurs: then check the network to the VM in the field `vm`."})
	WorkspaceRefused = register(Event{530, "workspace_refused", zerolog.InfoLevel, "Requests of a workspace were refused because they exceed its rate; the field `refused` has their number since the last such line.", "Nothing, or raise the workspace's rate in the catalogue."})
)
