package evlog

import "github.com/rs/zerolog"

// Events of the catalogue and its freshness.
var (
	CatalogueApplied  = register(Event{600, "catalogue_applied", zerolog.InfoLevel, "A version of the catalogue is in force on this VM.", "Nothing."})
	CatalogueRefused  = register(Event{601, "catalogue_refused", zerolog.ErrorLevel, "A version of the catalogue is not valid for this VM's program and was not applied; the field `reason` names the first problem.", "Bring the VM to the program version of the others, or apply a corrected catalogue."})
	CatalogueReady    = register(Event{602, "catalogue_ready", zerolog.InfoLevel, "The VM has started with the highest version of the catalogue that the store or a majority of its peers knows.", "Nothing."})
	CatalogueRepaired = register(Event{603, "catalogue_repaired", zerolog.InfoLevel, "An interrupted edit had left a history entry of the version in force, so the unchanged catalogue was stored under the next version.", "Nothing; repeat the edit if its operator got no answer."})
	CutOff            = register(Event{610, "cut_off", zerolog.ErrorLevel, "The VM can't tell whether its catalogue is current; keyed routes are refused with 57P03. The field `missing` lists the zones that were not heard from in time.", "Restore the network between the zones or to the store."})
	CutOffEnded       = register(Event{611, "cut_off_ended", zerolog.InfoLevel, "The catalogue is known to be current again.", "Nothing."})
	CutOffGrace       = register(Event{612, "cut_off_grace", zerolog.ErrorLevel, "The VM is cut off and serves keyed routes within cut_off_serve_ms; a key that was withdrawn in the meantime still works.", "Restore the network between the zones or to the store."})
	StoreDown         = register(Event{613, "store_down", zerolog.WarnLevel, "No zone has contact with the store; traffic continues, but edits are not possible.", "Restore the store."})
	RelayStarted      = register(Event{620, "relay_started", zerolog.InfoLevel, "This VM watches the store for its region.", "Nothing."})
	RelayStopped      = register(Event{621, "relay_stopped", zerolog.InfoLevel, "Another VM watches the store for the region.", "Nothing."})
	StoreFailed       = register(Event{622, "store_failed", zerolog.WarnLevel, "The store did not answer this VM; logged once until it answers again.", "Check the store and the network to it."})
	StoreAnswered     = register(Event{623, "store_answered", zerolog.InfoLevel, "The store answers this VM again.", "Nothing."})
)
