package evlog

import "github.com/rs/zerolog"

// Events of the daemon as a whole.
var (
	DaemonStarted = register(Event{100, "daemon_started", zerolog.InfoLevel, "The daemon listens for callers and peers.", "Nothing."})
	DaemonReady   = register(Event{101, "daemon_ready", zerolog.InfoLevel, "The daemon has a catalogue in force and serves callers.", "Nothing."})
	DrainStarted  = register(Event{110, "drain_started", zerolog.InfoLevel, "A planned stop has begun: the readiness check fails, and new connections are refused after a notice period.", "Nothing; the load balancer moves callers to other VMs."})
	DrainDone     = register(Event{111, "drain_done", zerolog.InfoLevel, "All sessions have ended and the daemon stops.", "Nothing."})
	DrainCut      = register(Event{112, "drain_cut", zerolog.WarnLevel, "The daemon stops although sessions have not ended; the field `cut` has their number.", "Raise `drain.max_ms` (chervild) or `grace_s` (chervilnode), or look for callers that keep transactions open."})
	ReloadDone    = register(Event{120, "reload_done", zerolog.InfoLevel, "Certificates and the settings that may change were reloaded.", "Nothing."})
	ReloadFailed  = register(Event{121, "reload_failed", zerolog.ErrorLevel, "The settings or a certificate could not be reloaded; the previous settings stay in force, and so does each certificate that failed.", "Run chervild or chervilnode with --check on the settings file, correct the problems that it prints, and check the certificate files."})
)
