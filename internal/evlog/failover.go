package evlog

import "github.com/rs/zerolog"

// Events of failover.
var (
	PrimarySuspected    = register(Event{400, "primary_suspected", zerolog.WarnLevel, "A group needs a new primary; the field `reason` says why (silent, stalled, absent, ahead, leaving, members).", "Nothing; an election follows when a majority of the group agrees."})
	SuspicionRefuted    = register(Event{401, "suspicion_refuted", zerolog.InfoLevel, "The reason for a new primary no longer holds, and no election was needed.", "Nothing. If it recurs, look at the network between this VM and the primary."})
	ElectionStarted     = register(Event{402, "election_started", zerolog.WarnLevel, "This VM has started an election: it raises the group's term.", "Nothing."})
	ElectionAbandoned   = register(Event{403, "election_abandoned", zerolog.WarnLevel, "An election by this VM ended without a new primary; it tries again after a short wait if a new primary is still needed.", "Nothing, unless it recurs for seconds: then check that a majority of the group's databases is up."})
	PrimaryElected      = register(Event{404, "primary_elected", zerolog.WarnLevel, "This VM has promoted a new primary.", "Check the former primary; once it is back, it follows the new one by itself."})
	PrimaryLearned      = register(Event{405, "primary_learned", zerolog.InfoLevel, "A watched group has a primary other than the one known before.", "Nothing."})
	WatchStarted        = register(Event{406, "watch_started", zerolog.InfoLevel, "This VM has become a watcher of a group.", "Nothing."})
	WatchStopped        = register(Event{407, "watch_stopped", zerolog.InfoLevel, "This VM is no longer a watcher of a group.", "Nothing."})
	LastResortWatch     = register(Event{408, "last_resort_watch", zerolog.WarnLevel, "This VM saw errors on a primary and none of the group's watchers answered, so it watches the group itself for a while.", "Check the VMs that watch the group and the network to them."})
	HintUnwritten       = register(Event{409, "hint_unwritten", zerolog.InfoLevel, "The hint that names a new primary could not be written to the store; the write is repeated.", "Nothing while the store is down."})
	ControlProtocol     = register(Event{410, "control_protocol", zerolog.ErrorLevel, "A target's answer does not conform to the control protocol, or the target's address is that of another target.", "Check the target's address in the catalogue and its software version."})
	PrimaryDeposed      = register(Event{411, "primary_deposed", zerolog.InfoLevel, "A database that was known as the primary refused a read-write transaction.", "Nothing; the databases of the group are asked which one is the primary."})
	PromotionUnanswered = register(Event{412, "promotion_unanswered", zerolog.WarnLevel, "The platform did not answer a promotion; the request is repeated while the claim lasts.", "Check the platform if this recurs."})
	ClaimUnreleased     = register(Event{413, "claim_unreleased", zerolog.InfoLevel, "The claim of a failover could not be released; it expires with its lease.", "Nothing."})
	FormerDemoted       = register(Event{414, "former_demoted", zerolog.WarnLevel, "This VM has demoted a database that still took itself for the primary although another one leads in a higher term; `answered` says whether it confirmed that.", "Nothing; reads that it answered after its replacement are not passed on."})
	InSyncRemoved       = register(Event{415, "insync_removed", zerolog.InfoLevel, "Databases that are gone were removed from the in-sync set of a group: every acknowledged commit is in two other logs.", "Nothing."})
	FencesLifted        = register(Event{417, "fences_lifted", zerolog.WarnLevel, "Replicas that an interrupted failover had left fenced receive the primary's log again.", "Nothing. If it recurs, look for VMs that freeze or die during failovers."})
	PromotionCalled     = register(Event{418, "promotion_called", zerolog.InfoLevel, "This VM calls the platform for a promotion, with `token`; `received` has the positions at which the databases were fenced, `silent` those that did not answer, `final` the end of the log of a primary that was demoted for it.", "Nothing. If acknowledged commits are missing, compare `received` with `final`; without `final`, a database that is in neither list may have them."})
	CommitsHeld         = register(Event{419, "commits_held", zerolog.WarnLevel, "This VM sends no commits to a database that acts as the primary: a failover or a promotion call is under way that may replace it.", "Nothing. If `commits_released` does not follow within seconds, look for events 403 and 412 and for the VM that holds the claim."})
	CommitsReleased     = register(Event{420, "commits_released", zerolog.InfoLevel, "Commits are sent again; `after` says how long they were held back.", "Nothing."})
	PrimaryReinstated   = register(Event{421, "primary_reinstated", zerolog.WarnLevel, "A primary that was demoted for a planned replacement leads again: no other database had its whole log, which ends at `final`; `received` has the positions of the others. The replacement is tried again.", "Nothing. If it recurs, look at the replication of the group: a replica receives nothing, or too late."})
	CommitsMissing      = register(Event{422, "commits_missing", zerolog.WarnLevel, "The database chosen in a failover ends at `received`, and a VM has seen a commit acknowledged above `acknowledged_after`: a database that does not answer has it. A demoted primary leads again; otherwise nothing is promoted until a database with the commit answers, for at most 20 s.", "Check the databases of the group that do not answer, or that the store does not list. After 20 s the commits count as lost."})
	InSyncFailed        = register(Event{416, "insync_failed", zerolog.InfoLevel, "The in-sync set of a group could not be read or changed; this is tried again.", "Nothing while the store is down."})
)
