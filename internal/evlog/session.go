package evlog

import "github.com/rs/zerolog"

// Events about callers and their sessions.
var (
	LoginRefused = register(Event{200, "login_refused", zerolog.InfoLevel, "A caller was refused; the fields `workspace`, `route` and `reason` say why. The key is never logged.", "Nothing, unless the caller should have been let in: then look at its key and its route in the catalogue."})
	SessionEnded = register(Event{201, "session_ended", zerolog.InfoLevel, "The proxy ended a session, because its key was withdrawn, its transaction was idle too long, or it broke the protocol.", "Nothing."})
	AcceptFailed = register(Event{202, "accept_failed", zerolog.ErrorLevel, "A connection could not be accepted.", "Look at the limit of open files."})
	OutcomeLost  = register(Event{203, "outcome_unknown", zerolog.WarnLevel, "A caller was told that the outcome of its write is unknown.", "Nothing, unless it repeats: then look at the group's primary."})
)
