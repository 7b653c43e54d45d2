package evlog

import "github.com/rs/zerolog"

// Events of the failover.
var (
	PrimarySuspected    = register(Event{400, "primary_suspected", zerolog.WarnLevel, "A group needs another primary; the field `reason` says why (silent, stalled, absent, ahead, leaving, members).", "Nothing; an election follows when a majority of the group agrees."})
	SuspicionRefuted    = register(Event{401, "suspicion_refuted", zerolog.InfoLevel, "The reason for another primary has gone without an election.", "Nothing. If it recurs, look at the network between this VM and the primary."})
	ElectionStarted     = register(Event{402, "election_started", zerolog.WarnLevel, "This VM raises the group's term.", "Nothing."})
	ElectionAbandoned   = register(Event{403, "election_abandoned", zerolog.WarnLevel, "An election by this VM ended without a new primary; it tries again after a short wait if it still has to.", "Nothing, unless it recurs for seconds: then check that a majority of the group's databases is up."})
	PrimaryElected      = register(Event{404, "primary_elected", zerolog.WarnLevel, "This VM has promoted a new primary.", "Look after the former primary; it follows by itself when it returns."})
	PrimaryLearned      = register(Event{405, "primary_learned", zerolog.InfoLevel, "A watched group has another primary than known before.", "Nothing."})
	WatchStarted        = register(Event{406, "watch_started", zerolog.InfoLevel, "This VM has become a watcher of a group.", "Nothing."})
	WatchStopped        = register(Event{407, "watch_stopped", zerolog.InfoLevel, "This VM is no longer a watcher of a group.", "Nothing."})
	LastResortWatch     = register(Event{408, "last_resort_watch", zerolog.WarnLevel, "This VM saw errors on a primary and none of the group's watchers answered, so it watches the group itself for a while.", "Look at the VMs that watch the group, or at the network to them."})
	HintUnwritten       = register(Event{409, "hint_unwritten", zerolog.InfoLevel, "A new primary could not be noted in the store; the write is repeated.", "Nothing while the store is down."})
	ControlProtocol     = register(Event{410, "control_protocol", zerolog.ErrorLevel, "A target gave an answer that does not have the agreed form, or its address is that of another target.", "Check the target's address in the catalogue and its version."})
	PrimaryDeposed      = register(Event{411, "primary_deposed", zerolog.InfoLevel, "A database that was taken for the primary refused a writing transaction.", "Nothing; the databases of the group are asked which one leads."})
	PromotionUnanswered = register(Event{412, "promotion_unanswered", zerolog.WarnLevel, "The platform did not answer a promotion; it is asked again while the claim lasts.", "Look at the platform if it repeats."})
	ClaimUnreleased     = register(Event{413, "claim_unreleased", zerolog.InfoLevel, "A claim of a failover could not be given back; it ends with its lease.", "Nothing."})
)
