package evlog

import "github.com/rs/zerolog"

// Events about what the platform's store tells a VM.
var (
	CatalogueTaken  = register(Event{130, "catalogue_taken", zerolog.InfoLevel, "A version of the catalogue is in force on this VM; `from` says whether the store or another VM had it.", "Nothing."})
	CatalogueUnread = register(Event{131, "catalogue_unread", zerolog.ErrorLevel, "A version of the catalogue could not be read; the former one stays in force.", "Look at the error, and at what wrote the version."})
	StoreLost       = register(Event{132, "store_lost", zerolog.WarnLevel, "The platform's store does not answer this VM; it goes on with what it knows and asks other VMs for versions.", "Look at the platform and at the network to it."})
	StoreRegained   = register(Event{133, "store_regained", zerolog.InfoLevel, "The platform's store answers this VM.", "Nothing."})
	FleetUnlisted   = register(Event{134, "fleet_unlisted", zerolog.WarnLevel, "The list of VMs could not be read or this VM's entry not be kept; the former list stays.", "Nothing while the store is down."})
	FleetListed     = register(Event{135, "fleet_listed", zerolog.InfoLevel, "The list of VMs can be read again.", "Nothing."})
	TargetsUnlisted = register(Event{136, "targets_unlisted", zerolog.WarnLevel, "The list of databases could not be read; the former one stays.", "Nothing while the store is down."})
	TargetsListed   = register(Event{137, "targets_listed", zerolog.InfoLevel, "The list of databases can be read again.", "Nothing."})
	EntrySkipped    = register(Event{138, "entry_skipped", zerolog.WarnLevel, "An entry in the store can't be read and is passed over; the others hold.", "Look at what wrote the key."})
	LenderAvoided   = register(Event{140, "lender_avoided", zerolog.WarnLevel, "Another VM could not lend a connection to a database and is passed over for some time; `reason` says whether it failed, stops or can't reach the database.", "Nothing; look at that VM when it repeats."})
	ReaderAvoided   = register(Event{141, "reader_avoided", zerolog.WarnLevel, "Another VM could not answer with a list of the store and is passed over for some time.", "Nothing; look at that VM, or at the store's answers to it, when it repeats."})
	StoreCalls      = register(Event{139, "store_calls", zerolog.InfoLevel, "The number of calls to the platform's store since the start, by operation, and of those without a usable answer.", "Nothing; each call is paid for."})
)
