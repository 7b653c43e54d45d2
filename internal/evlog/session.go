package evlog

import "github.com/rs/zerolog"

// Events of callers and their sessions.
var (
	LoginRefused      = register(Event{200, "login_refused", zerolog.InfoLevel, "A caller was refused; the fields `workspace`, `route` and `reason` say why. On the platform, `version` is the version of the catalogue that decided, and `age` how long ago, in ms, that was last known to be the newest. The key is never logged.", "Nothing, unless the caller should have been accepted: then check its key and its route in the catalogue."})
	SessionEnded      = register(Event{201, "session_ended", zerolog.InfoLevel, "The proxy ended a session, because its key was withdrawn, its transaction was idle too long, or it broke the protocol.", "Nothing."})
	AcceptFailed      = register(Event{202, "accept_failed", zerolog.ErrorLevel, "A connection could not be accepted, or a listener failed or could not be opened.", "Check the limit on open files, and the address of the listener if the field `listener` names one."})
	OutcomeUnknown    = register(Event{203, "outcome_unknown", zerolog.WarnLevel, "A caller was told that the outcome of its write is unknown.", "Nothing, unless it recurs: then check the group's primary."})
	MessageRejected   = register(Event{204, "message_rejected", zerolog.WarnLevel, "A caller sent a message that violates the protocol; `reason` is `framing` if it is in doubt where the message ends, `character`, `too_large`, `syntax` if the first message opens no session, `evicted` if there was none and too many connections waited for theirs, `crowded` if the long messages of others left no memory for this one, or `unfinished` if a long message stopped arriving. `count` is the number of such messages since the last such line, of which there is at most one in a second; `in_transaction` says whether a transaction was open.", "Find the caller by `route` and `workspace`. An embedded line end may be an attempt to have a statement run that stands inside another one."})
	RequestRefused    = register(Event{210, "request_refused", zerolog.InfoLevel, "A caller's statement failed; the fields say which one, why, and whether it was sent to a database.", "See the fields `why` and `last`, and OPERATIONS.md."})
	RequestUnanswered = register(Event{211, "request_unanswered", zerolog.WarnLevel, "A database did not answer a statement before the deadline, so it is unknown whether the statement took effect.", "Look for events of the group's primary at that time; see OPERATIONS.md."})
	RequestRetried    = register(Event{212, "request_retried", zerolog.InfoLevel, "An attempt to run a statement failed without effect and may be followed by another one.", "Nothing, unless it recurs for one target: then check that target."})
	OverloadBegan     = register(Event{214, "overload_began", zerolog.WarnLevel, "Statements wait for a database through this VM for so long that the newest are served first; `waiting` is their number, `delays` has pairs of a weight and the expected delay in ms, `turns` is the number of statements served at a time.", "See overload.md, if it lasts."})
	OverloadEnded     = register(Event{215, "overload_ended", zerolog.InfoLevel, "No statement waits for the database through this VM any more.", "Nothing."})
	LinesDropped      = register(Event{220, "lines_dropped", zerolog.WarnLevel, "Log lines were dropped to limit their number; the field `dropped` has the count since the last such line.", "Nothing; the metrics are not affected."})
)
