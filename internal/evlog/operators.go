package evlog

import "github.com/rs/zerolog"

// Events of the operators' service.
var (
	EditAccepted = register(Event{800, "edit_accepted", zerolog.InfoLevel, "An operator's edit was stored as the version in the field `version`.", "Nothing."})
	EditLost     = register(Event{801, "edit_lost", zerolog.InfoLevel, "An edit was not stored because another edit was stored first; the field `version` has the version of that one.", "Nothing; its operator was shown the edit that was stored."})
	EditRefused  = register(Event{802, "edit_refused", zerolog.InfoLevel, "A catalogue document is invalid and was not stored.", "Nothing; its operator was shown each problem."})
	EditFailed   = register(Event{803, "edit_failed", zerolog.WarnLevel, "An edit could not be made or its outcome is unknown; the field `reason` says which.", "Check the store; the operator of the edit was told."})
	DrainAsked   = register(Event{810, "drain_asked", zerolog.InfoLevel, "An operator requested a drain of this VM.", "Nothing."})
	HTTPFailed   = register(Event{820, "http_failed", zerolog.ErrorLevel, "The listener for health checks and metrics has stopped.", "See the field `reason`, and restart the daemon."})
)
