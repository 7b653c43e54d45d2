package evlog

import "github.com/rs/zerolog"

// Events of the operators' service.
var (
	EditAccepted = register(Event{800, "edit_accepted", zerolog.InfoLevel, "An operator's edit made the version in the field `version`.", "Nothing."})
	EditLost     = register(Event{801, "edit_lost", zerolog.InfoLevel, "An edit lost a race; the field `version` has the one that won.", "Nothing; its operator was shown what won."})
	EditRefused  = register(Event{802, "edit_refused", zerolog.InfoLevel, "A document breaks rules and was not stored.", "Nothing; its operator was shown each problem."})
	EditFailed   = register(Event{803, "edit_failed", zerolog.WarnLevel, "An edit could not be made or its outcome is unknown; the field `reason` says which.", "Look at the store; its operator was told."})
	DrainAsked   = register(Event{810, "drain_asked", zerolog.InfoLevel, "An operator asked this VM to drain.", "Nothing."})
	HTTPFailed   = register(Event{820, "http_failed", zerolog.ErrorLevel, "The listener for health checks and metrics has stopped.", "Look at the field `reason`; restart the daemon."})
)
