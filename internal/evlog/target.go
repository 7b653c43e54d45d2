package evlog

import "github.com/rs/zerolog"

// Events of targets and the connections to them.
var (
	TargetFailed       = register(Event{300, "target_failed", zerolog.WarnLevel, "A new connection to a target failed, so reads go to other targets for now.", "Check the target and the network to it if it does not come back."})
	QuorumListenerLost = register(Event{301, "quorum_listener_lost", zerolog.WarnLevel, "The connection that reports a primary's quorum position failed; it is being reopened.", "Nothing, unless it recurs: then check the primary."})
	QuorumListenerOpen = register(Event{302, "quorum_listener_open", zerolog.InfoLevel, "The connection that reports a primary's quorum position is open.", "Nothing."})
	TargetReturned     = register(Event{303, "target_returned", zerolog.InfoLevel, "A new connection to a target that had failed succeeded; its share of the reads grows over 10 s.", "Nothing."})
	SpeedChanged       = register(Event{305, "speed_changed", zerolog.InfoLevel, "The learned speed of a database changed by a factor of two or more since it was last logged: `service_us` is the time of a typical statement there, `limit` the number of reads that this VM runs there at a time, of `slots`; `failure_rate` is the fraction of recent statements that failed. Only VMs that hold connections to the database log it.", "Nothing, unless it recurs for one database: then check that database."})
	MessageNotSent     = register(Event{306, "message_not_sent", zerolog.WarnLevel, "A message to a database was not sent, because a value in it has a character that is not allowed where it stands or because it would be too long; its statements did not run, and their caller was told so. `reason` is `malformed` or `too_large`, and `count` is the number of such messages since the last such line, of which there is at most one in a second.", "Look at `workspace` for the caller. If `error` names the service, the tenant or the id of the database, correct the configuration."})
	PathLost           = register(Event{304, "path_lost", zerolog.WarnLevel, "Open connections to a target did not answer while a new one did; they are closed and their statements interrupted.", "Nothing, unless it recurs: then look for a firewall or address translation that drops idle connections."})
)
