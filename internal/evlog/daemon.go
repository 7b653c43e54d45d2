package evlog

import "github.com/rs/zerolog"

// Events of the daemon as a whole.
var (
	DaemonStarted = register(Event{100, "daemon_started", zerolog.InfoLevel, "The daemon listens for callers and peers.", "Nothing."})
	DaemonReady   = register(Event{101, "daemon_ready", zerolog.InfoLevel, "The daemon has a catalogue in force and serves callers.", "Nothing."})
	DrainStarted  = register(Event{110, "drain_started", zerolog.InfoLevel, "A planned stop has begun; readiness fails and no new connection is taken.", "Nothing; the balancer moves callers to other VMs."})
	DrainDone     = register(Event{111, "drain_done", zerolog.InfoLevel, "All sessions have ended and the daemon stops.", "Nothing."})
	DrainCut      = register(Event{112, "drain_cut", zerolog.WarnLevel, "The daemon stops although sessions are still in a transaction; the field `cut` has their number.", "Raise drain_max_ms, or look for callers that keep transactions open."})
	ReloadDone    = register(Event{120, "reload_done", zerolog.InfoLevel, "Certificates and the settings that may change were read again.", "Nothing."})
	ReloadFailed  = register(Event{121, "reload_failed", zerolog.ErrorLevel, "The settings or certificates could not be read again; the former ones stay in force.", "Run chervild --check with the settings file and correct what it prints."})
)
