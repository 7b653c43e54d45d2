package evlog

import "github.com/rs/zerolog"

// Events of the stand-in target, which replaces a database in tests.
var (
	StandinStarted     = register(Event{900, "standin_started", zerolog.InfoLevel, "A stand-in target listens.", "Nothing."})
	StandinPromoted    = register(Event{901, "standin_promoted", zerolog.InfoLevel, "A stand-in target became the primary of its group in the field `term`.", "Nothing."})
	StandinRebuild     = register(Event{902, "standin_rebuild", zerolog.WarnLevel, "The log of a stand-in target differed from the primary's; it was cut back to the field `keep` and the data is built anew.", "Nothing; reads are refused until it is done."})
	StandinFault       = register(Event{903, "standin_fault", zerolog.InfoLevel, "A fault was set on a stand-in target.", "Nothing."})
	StandinApplyFailed = register(Event{904, "standin_apply_failed", zerolog.ErrorLevel, "A stand-in target could not apply a log entry and serves nothing any more.", "Look for a statement whose result differs between runs, and restart the target."})
	StandinDiskFailed  = register(Event{905, "standin_disk_failed", zerolog.ErrorLevel, "A stand-in target could not write its data directory and stops.", "Check the directory's space and permissions."})
)
