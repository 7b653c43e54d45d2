package evlog

import "github.com/rs/zerolog"

// Events about targets and the connections to them.
var (
	TargetFailed       = register(Event{300, "target_failed", zerolog.WarnLevel, "A new connection to a target failed, so reads go elsewhere for now.", "Look at the target and the network if it stays away."})
	QuorumListenerLost = register(Event{301, "quorum_listener_lost", zerolog.WarnLevel, "The connection that reports a primary's quorum position failed; it is opened again.", "Nothing, unless it repeats: then look at the primary."})
	QuorumListenerOpen = register(Event{302, "quorum_listener_open", zerolog.InfoLevel, "The quorum position of a primary is being followed.", "Nothing."})
	TargetReturned     = register(Event{303, "target_returned", zerolog.InfoLevel, "A new connection to a target that had failed succeeded; its share of the reads grows over 10 s.", "Nothing."})
	PathLost           = register(Event{304, "path_lost", zerolog.WarnLevel, "Open connections to a target gave no answer while a new one did; they are closed and their statements interrupted.", "Look for a firewall or address translation that drops idle connections if it repeats."})
)
