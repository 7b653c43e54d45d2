package evlog

import "github.com/rs/zerolog"

// Events of the stand-in target, which replaces a database in tests.
var (
	StandinStarted     = register(Event{900, "standin_started", zerolog.InfoLevel, "A stand-in target accepts connections.", "Nothing."})
	StandinPromoted    = register(Event{901, "standin_promoted", zerolog.InfoLevel, "A stand-in target became the primary of its group; the field `term` has its term.", "Nothing."})
	StandinRebuild     = register(Event{902, "standin_rebuild", zerolog.WarnLevel, "The log of a stand-in target differed from the primary's; it was truncated after the index in the field `keep`, and the data is being rebuilt.", "Nothing; reads are refused until the rebuild is done."})
	StandinFault       = register(Event{903, "standin_fault", zerolog.InfoLevel, "A fault was set on a stand-in target.", "Nothing."})
	StandinApplyFailed = register(Event{904, "standin_apply_failed", zerolog.ErrorLevel, "A stand-in target could not apply a log entry and no longer serves requests.", "Look for a statement that is not deterministic, and restart the target."})
	StandinDiskFailed  = register(Event{905, "standin_disk_failed", zerolog.ErrorLevel, "A stand-in target could not write its data directory and stops.", "Check the directory's space and permissions."})
)
