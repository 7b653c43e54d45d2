package evlog

import "github.com/rs/zerolog"

// Events of the membership.
var (
	MemberAlive    = register(Event{700, "member_alive", zerolog.InfoLevel, "A VM has joined, has come back or has refuted a suspicion.", "Nothing."})
	MemberSuspect  = register(Event{701, "member_suspect", zerolog.WarnLevel, "A VM does not answer pings, direct or through others.", "Nothing yet; look for pauses or losses when this comes often."})
	MemberLeaving  = register(Event{702, "member_leaving", zerolog.InfoLevel, "A VM leaves as planned.", "Nothing."})
	MemberDead     = register(Event{703, "member_dead", zerolog.WarnLevel, "A VM was declared dead.", "Look at the VM, unless it was replaced."})
	MemberConflict = register(Event{710, "member_conflict", zerolog.ErrorLevel, "Another process uses this VM's id at another address.", "Stop one of the two; rates are exceeded while both run."})
)
