package evlog

import "github.com/rs/zerolog"

// Events of the placement of requests: allowed regions and evacuated zones.
var (
	RegionsUnknown    = register(Event{150, "regions_unknown", zerolog.WarnLevel, "The configuration allows routes or workspaces regions that no availability zone has; `regions` are their names. They allow nothing; the rest of the configuration is in force.", "Correct the names of the regions in the configuration."})
	EvacuationBegan   = register(Event{151, "evacuation_began", zerolog.WarnLevel, "This VM knows that operators evacuate an availability zone; `from` says whether it learned that from the store or from another VM, `age` (ms) how long ago the order may have been given at the most.", "Nothing; see docs/evacuation.md for how to end it."})
	EvacuationEnded   = register(Event{152, "evacuation_ended", zerolog.WarnLevel, "This VM knows that the evacuation of an availability zone has ended and uses its databases again.", "Nothing."})
	EvacuationUnknown = register(Event{153, "evacuation_unknown", zerolog.WarnLevel, "An evacuation is ordered for an availability zone that does not exist, and is ignored.", "Correct the key in the store."})
	EvacuationRefused = register(Event{154, "evacuation_refused", zerolog.WarnLevel, "The number of statements that this VM refused since the last such line because only a database in an evacuated zone could have run them.", "Check that each group has a database outside the evacuated zones, and that the primary moves there."})
)
