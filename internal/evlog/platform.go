package evlog

import "github.com/rs/zerolog"

// Events of the platform's store, and of VMs that lend connections or relay lists.
var (
	CatalogueTaken  = register(Event{130, "catalogue_taken", zerolog.InfoLevel, "A version of the catalogue is in force on this VM; `from` says whether it came from the store or from another VM.", "Nothing."})
	CatalogueUnread = register(Event{131, "catalogue_unread", zerolog.ErrorLevel, "A version of the catalogue could not be decoded; the previous one stays in force.", "See the error, and check the program that wrote the version."})
	StoreLost       = register(Event{132, "store_lost", zerolog.WarnLevel, "The platform's store does not answer this VM; it continues with the data that it has and asks other VMs for new versions of the catalogue.", "Check the platform and the network to it."})
	StoreRegained   = register(Event{133, "store_regained", zerolog.InfoLevel, "The platform's store answers this VM, for the first time or again.", "Nothing."})
	FleetUnlisted   = register(Event{134, "fleet_unlisted", zerolog.WarnLevel, "The list of VMs could not be read, this VM's entry could not be kept, or its rate slices could not be released at a stop; the previous list stays in use.", "Nothing while the store is down."})
	FleetListed     = register(Event{135, "fleet_listed", zerolog.InfoLevel, "The list of VMs can be read again.", "Nothing."})
	TargetsUnlisted = register(Event{136, "targets_unlisted", zerolog.WarnLevel, "The list of databases could not be read; the previous one stays in use.", "Nothing while the store is down."})
	TargetsListed   = register(Event{137, "targets_listed", zerolog.InfoLevel, "The list of databases can be read again.", "Nothing."})
	EntrySkipped    = register(Event{138, "entry_skipped", zerolog.WarnLevel, "An entry in the store could not be decoded and is ignored; the other entries are used.", "Check the program that wrote the key."})
	LenderAvoided   = register(Event{140, "lender_avoided", zerolog.WarnLevel, "Another VM could not lend a connection to a database and is not asked for some time; `reason` says whether it failed, is stopping or can't reach the database.", "Nothing, unless it recurs: then check that VM."})
	ReaderAvoided   = register(Event{141, "reader_avoided", zerolog.WarnLevel, "Another VM could not return a list of the store's entries and is not asked for some time.", "Nothing, unless it recurs: then check that VM and the store's answers to it."})
	PanicContained  = register(Event{142, "panic_contained", zerolog.ErrorLevel, "The handling of one input ended in an unexpected error; `where` and `request` say which, `stack` where in the code. Only that session, call or document is given up; a statement that was under way is reported as unknown.", "Report the line to the maintainers."})
	StoreRestored   = register(Event{143, "store_restored", zerolog.WarnLevel, "The platform's store has been restored from an older copy: what was written to it since, `last_before` being the last revision that this VM saw, is gone. `before` and `after` are the epochs, `first_after` is the first revision seen since, 0 if none was.", "Check the platform; nothing else, unless catalogue_older stays the last word about the catalogue."})
	CatalogueOlder  = register(Event{144, "catalogue_older", zerolog.WarnLevel, "The store has an older version of the catalogue than the one in force on this VM, which stays in force.", "Write the newest version to the store again."})
	EpochBegun      = register(Event{145, "epoch_begun", zerolog.WarnLevel, "After a restoration of the platform's store, new claims of rate slices and of failovers wait until those that the store may have forgotten have ended; `wait` is the longest such time, in ms. What VMs hold stays in use.", "Nothing."})
	BytesUsed       = register(Event{146, "bytes_used", zerolog.InfoLevel, "The number of bytes sent and received since the start on connections that this VM opened, by mechanism and by the border that they cross (`none`, `zone`, `region`). `peers` is the sum of the calls between VMs, which are listed by name without framing.", "Nothing; bytes between zones and regions are charged for."})
	TargetCold      = register(Event{155, "target_cold", zerolog.InfoLevel, "A database was started a short time ago, or may have been: all VMs together send it no more than `rate` requests per second and `burst` at once, for `left_ms` or until it reports that it is warm.", "Nothing; reads go to other databases meanwhile. If its group has no other database that is warm, requests are refused above that rate."})
	TargetWarm      = register(Event{156, "target_warm", zerolog.InfoLevel, "A database is warm; the requests to it grow within one second.", "Nothing."})
	ColdInvalid     = register(Event{157, "cold_invalid", zerolog.WarnLevel, "A value about cold databases, in the field `field`, is negative, implausible or not a number. An unusable ColdPerS sets no limit; ColdStartS counts as an hour; a database with an unusable ColdLeftMs counts as cold for ColdStartS after its start.", "Correct the configuration, or look at the program of the database in the field `target`."})
	StoreCalls      = register(Event{139, "store_calls", zerolog.InfoLevel, "The number of calls to the platform's store since the start, by operation, and of those without a usable answer.", "Nothing; the calls are counted because each one is charged for."})
)
