package evlog

import "github.com/rs/zerolog"

// Events of membership.
var (
	MemberAlive    = register(Event{700, "member_alive", zerolog.InfoLevel, "A VM has joined, has come back or has refuted a suspicion.", "Nothing."})
	MemberSuspect  = register(Event{701, "member_suspect", zerolog.WarnLevel, "A VM answers pings neither directly nor through other VMs.", "Nothing, unless it recurs: then look for pauses of the process or packet loss."})
	MemberLeaving  = register(Event{702, "member_leaving", zerolog.InfoLevel, "A VM is leaving in a planned stop.", "Nothing."})
	MemberDead     = register(Event{703, "member_dead", zerolog.WarnLevel, "A VM was declared dead.", "Check the VM, unless it was replaced."})
	MemberConflict = register(Event{710, "member_conflict", zerolog.ErrorLevel, "Another process uses this VM's name at another address.", "Stop one of the two; rates are exceeded while both run."})
)
