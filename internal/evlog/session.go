package evlog

import "github.com/rs/zerolog"

// Events about callers and their sessions.
var (
	LoginRefused      = register(Event{200, "login_refused", zerolog.InfoLevel, "A caller was refused; the fields `workspace`, `route` and `reason` say why. The key is never logged.", "Nothing, unless the caller should have been let in: then look at its key and its route in the catalogue."})
	SessionEnded      = register(Event{201, "session_ended", zerolog.InfoLevel, "The proxy ended a session, because its key was withdrawn, its transaction was idle too long, or it broke the protocol.", "Nothing."})
	AcceptFailed      = register(Event{202, "accept_failed", zerolog.ErrorLevel, "A connection could not be accepted.", "Look at the limit of open files."})
	OutcomeUnknown    = register(Event{203, "outcome_unknown", zerolog.WarnLevel, "A caller was told that the outcome of its write is unknown.", "Nothing, unless it repeats: then look at the group's primary."})
	RequestRefused    = register(Event{210, "request_refused", zerolog.InfoLevel, "A statement of a caller ended without success; the fields say which, why, and whether a database was asked.", "Look at `why` and `last`; see OPERATIONS.md."})
	RequestUnanswered = register(Event{211, "request_unanswered", zerolog.WarnLevel, "A database did not answer a statement in its time, so nobody can tell whether it took effect.", "Look for events of the group's primary at that time; see OPERATIONS.md."})
	RequestRetried    = register(Event{212, "request_retried", zerolog.InfoLevel, "An attempt of a statement failed without effect and another one follows.", "Nothing, unless it repeats for one target."})
	LinesDropped      = register(Event{220, "lines_dropped", zerolog.WarnLevel, "Log lines were left out to bound their number; the field `dropped` has the count since the last such line.", "Nothing; the counters have the whole numbers."})
)
