/*
 * Commits beside a promotion: a primary, two replicas, a VM that writes, and two VMs that
 * may each make one attempt to replace the primary or to settle what the other one left.
 * The Go code is internal/lead/trust.go, failover.go and settle.go; docs/platform.md has the
 * argument.
 *
 * A commit is acknowledged once one replica has it. Replicas restart, which ends their
 * fences; the primary crashes and is back with its log; a VM that has the claim finds the
 * primary silent, rightly or not, and may die or give up at any step. Its call is carried
 * out at any later time, unless the platform has accepted one with a higher token. That
 * claims are exclusive and not used after their end is shown in promotion.pml.
 *
 * Property: a promoted database has every commit that a caller saw acknowledged. README.md
 * lists the effect of each macro below.
 */
// safeguard: NO_CHECK
// safeguard: NO_ASK
// safeguard: NO_DISCARD
// safeguard: NO_RECORD
// safeguard: NO_SUPERSEDE
// safeguard: NO_CONFIRM

#define MAX_ENTRIES 2
#define MAX_RESTARTS 2
#define NONE 3

#define LEADS (up && primary == 0)
#ifdef NO_CHECK
#define UNDECIDED false
#else
#define UNDECIDED (claimed || open_call != NONE)
#endif

byte log_len[3];
bool fenced[3];
bool up = true;
byte primary = 0;

/* The store: a claim, and the database that the last open call names. */
bool claimed;
byte open_call = NONE;

/* The platform: calls under way, and the highest token of a call that was carried out. */
byte last_token, platform_token;
bool pending[2];
byte target[2], token[2];

/* The writer: checking is set from the read of the store to the end of a check, sending
   while a commit is on its way to the primary, waiting while it is not acknowledged,
   answered while the acknowledgement is on its way back. */
bool trust, checking, sending, waiting, answered;
byte answered_len, acked, restarts;

inline release() { claimed = false; goto done }

proctype vm(byte v) {
	byte len1, best;
	atomic { !claimed -> claimed = true; last_token++; token[v] = last_token }
	if
	:: LEADS -> goto settle
	:: true -> skip /* the primary does not answer this VM */
	fi;
#ifndef NO_ASK
#ifdef NO_DISCARD
	if :: atomic { trust -> release() } :: else fi;
#else
	if :: atomic { trust -> release() } :: atomic { !trust -> checking = false } fi;
#endif
#endif
	atomic { fenced[1] = true; len1 = log_len[1] }
	atomic { fenced[2] = true; best = (len1 >= log_len[2] -> 1 : 2) }
	if :: release() :: true fi;
#ifndef NO_RECORD
	open_call = best;
#endif
	atomic { target[v] = best; pending[v] = true }
	if
	:: atomic { primary == best -> open_call = NONE }
	:: true -> skip /* no answer, or the VM dies */
	fi;
	release();
settle:
	if
	:: open_call == NONE -> skip
	:: else ->
		fenced[1] = true;
		fenced[2] = true;
		if :: release() :: true fi;
#ifndef NO_SUPERSEDE
		atomic { /* a call for the present primary changes nothing else */
			if
			:: primary == 0 && token[v] >= platform_token -> platform_token = token[v]
			:: else -> release()
			fi }
#endif
		open_call = NONE
	fi;
	fenced[1] = false;
	fenced[2] = false;
	release();
done:
	skip
}

/* The call of a VM is carried out. */
inline carry_out(v) {
	pending[v] = false;
	if
	:: token[v] >= platform_token ->
		platform_token = token[v];
		assert(log_len[target[v]] >= acked);
		primary = target[v]
	:: else
	fi
}

proctype platform() {
end:
	do
	:: atomic { pending[0] -> carry_out(0) }
	:: atomic { pending[1] -> carry_out(1) }
	od
}

proctype writer() {
end:
	do
	:: atomic { !trust && LEADS && !UNDECIDED -> checking = true }
	:: atomic { checking -> checking = false; trust = true }
	:: atomic { trust || checking -> trust = false; checking = false }
	:: atomic { trust && !sending && !waiting && !answered -> sending = true }
#ifdef NO_CONFIRM
	:: atomic { answered -> answered = false; acked = answered_len }
#else
	:: atomic { answered && trust && LEADS -> answered = false; acked = answered_len }
#endif
	:: atomic { answered && !trust -> answered = false } /* the outcome is unknown */
	od
}

proctype databases() {
end:
	do
	:: atomic { sending && LEADS && log_len[0] < MAX_ENTRIES -> sending = false; log_len[0]++; waiting = true }
	:: atomic { LEADS && !fenced[1] && log_len[1] < log_len[0] -> log_len[1] = log_len[0] }
	:: atomic { LEADS && !fenced[2] && log_len[2] < log_len[0] -> log_len[2] = log_len[0] }
	:: atomic { waiting && LEADS && (log_len[1] == log_len[0] || log_len[2] == log_len[0]) ->
		waiting = false; answered = true; answered_len = log_len[0] }
	:: atomic { up -> up = false; sending = false; waiting = false }
	:: atomic { !up -> up = true }
	:: atomic { fenced[1] && restarts < MAX_RESTARTS -> fenced[1] = false; restarts++ }
	:: atomic { fenced[2] && restarts < MAX_RESTARTS -> fenced[2] = false; restarts++ }
	od
}

init {
	atomic { run vm(0); run vm(1); run platform(); run writer(); run databases() }
}
