/*
 * Promotion by a fenced call: three databases, of which one is the primary, and
 * two VMs, each of which may at any moment take the primary for lost, rightly or
 * not. The Go code is internal/lead; docs/platform.md has the argument.
 *
 * A commit is acknowledged once one replica has it. A VM claims the failover in
 * the store under a lease, asks all databases, fences every replica, chooses the
 * replica with the highest position and calls the platform with the claim's
 * token. A VM that takes no step is suspended or dead. Time passes in ticks, at
 * any moment. A call is carried out within CALL_MARGIN ticks or never; this is an
 * assumption, which LATE_CALL drops.
 *
 * Property: a promoted database has every acknowledged commit. README.md lists
 * the effect of each macro below.
 */
// safeguard: NO_FENCE
// safeguard: NO_ALL_HEARD
// safeguard: NO_HIGHEST
// safeguard: NO_LEADER_CHECK
// safeguard: STEADY_CLOCK
// safeguard: NO_MARGIN
// safeguard: LATE_CALL

#define MAX_ENTRIES 2 /* entries of a log; replication below copies exactly 2 */
#define CLAIM_TTL 3   /* ticks */
#define CALL_MARGIN 1 /* ticks within which a call is carried out */
#define NONE 3        /* no VM */
#define MAX_TOKEN 2   /* claims */

#ifdef NO_MARGIN
#define MAY_CALL(v) (local_claim_left[v] > 0)
#else
#define MAY_CALL(v) (local_claim_left[v] > CALL_MARGIN)
#endif

byte term = 1, primary = 0;
byte log[6];        /* term of entry i of database d at d * MAX_ENTRIES + i */
byte log_len[3];
byte fence[3];      /* the database refuses entries of lower terms */
byte acked_term[2]; /* term of the acknowledged entry i, 0 for none */

/* The store's claim with the ticks that it has left, the last token given to a
   claim, and the highest token of a call that reached the platform. */
byte claim_holder = NONE, claim_left, last_token, platform_token;

/* The VMs. Steps: 0 no claim, 1 ask the databases, 2 fence the first replica,
   3 fence the second replica, 4 choose a replica and send the call, 5 wait for the
   end of the call, 6 release the claim. local_claim_left is what the claim has left
   by the VM's own clock; highest_fence is the highest of the term and all fences. */
byte step[2], local_claim_left[2], claim_token[2], known_primary[2], highest_fence[2],
	first_replica[2], second_replica[2];
bool call_pending[2];
byte call_target[2], call_age[2];

/* Length of the longest common prefix of two logs; j is scratch. */
byte common_len, j;
inline compute_common_len(a, b) {
	common_len = 0;
	do
	:: common_len < log_len[a] && common_len < log_len[b] &&
	   log[a * MAX_ENTRIES + common_len] == log[b * MAX_ENTRIES + common_len] -> common_len++
	:: else -> break
	od
}

/* Asserts that the primary has every acknowledged entry. */
inline check_complete() {
	j = 0;
	do
	:: j < MAX_ENTRIES ->
		assert(acked_term[j] == 0 || (log_len[primary] > j && log[primary * MAX_ENTRIES + j] == acked_term[j]));
		j++
	:: else -> break
	od
}

/* A database accepts only a fence above the term and above its present fence. */
inline set_fence(d, t) {
	if :: t > term && t > fence[d] -> fence[d] = t :: else fi
}

#define LAST_TERM(d) (log_len[d] == 0 -> 0 : log[(d) * MAX_ENTRIES + log_len[d] - 1])
/* The log of a has a higher position than the log of b. */
#define LOG_AHEAD(a, b) (LAST_TERM(a) > LAST_TERM(b) || (LAST_TERM(a) == LAST_TERM(b) && log_len[a] > log_len[b]))

byte replica;

active proctype databases() {
	do
	:: atomic { log_len[primary] < MAX_ENTRIES -> log[primary * MAX_ENTRIES + log_len[primary]] = term; log_len[primary]++ }
	:: atomic { /* a replica copies the primary's log */
		select(replica : 0 .. 2);
		if
		:: replica != primary && fence[replica] <= term ->
			log_len[replica] = log_len[primary];
			log[replica * MAX_ENTRIES] = log[primary * MAX_ENTRIES]; log[replica * MAX_ENTRIES + 1] = log[primary * MAX_ENTRIES + 1]
		:: else
		fi
	   }
	:: atomic { /* the primary acknowledges what a replica has */
		select(replica : 0 .. 2);
		if
		:: replica != primary ->
			compute_common_len(replica, primary);
			j = 0;
			do
			:: j < common_len -> if :: acked_term[j] == 0 -> acked_term[j] = log[primary * MAX_ENTRIES + j] :: else fi; j++
			:: else -> break
			od
		:: else
		fi
	   }
	od
}

active proctype clock() {
	do
	:: atomic {
#ifndef LATE_CALL
		!(call_pending[0] && call_age[0] == CALL_MARGIN) && !(call_pending[1] && call_age[1] == CALL_MARGIN) &&
#endif
		claim_left > 0 -> claim_left--;
#ifndef STEADY_CLOCK
		if :: local_claim_left[0] > 0 -> local_claim_left[0]-- :: else fi;
		if :: local_claim_left[1] > 0 -> local_claim_left[1]-- :: else fi;
#endif
		if :: call_pending[0] && call_age[0] < CALL_MARGIN -> call_age[0]++ :: else fi;
		if :: call_pending[1] && call_age[1] < CALL_MARGIN -> call_age[1]++ :: else fi;
		if :: claim_left == 0 -> claim_holder = NONE :: else fi
	   }
	od
}

active [2] proctype vm() {
	byte v = _pid - 2;
	do
	:: atomic { step[v] == 0 && claim_holder == NONE && last_token < MAX_TOKEN ->
		last_token++; claim_holder = v; claim_left = CLAIM_TTL;
		local_claim_left[v] = CLAIM_TTL; claim_token[v] = last_token; step[v] = 1 }
	:: atomic { step[v] == 1 ->
#ifndef NO_LEADER_CHECK
		if
		:: primary != known_primary[v] -> known_primary[v] = primary; step[v] = 6
		:: else -> step[v] = 2
		fi;
#else
		step[v] = 2;
#endif
		highest_fence[v] = term;
		if :: fence[0] > highest_fence[v] -> highest_fence[v] = fence[0] :: else fi;
		if :: fence[1] > highest_fence[v] -> highest_fence[v] = fence[1] :: else fi;
		if :: fence[2] > highest_fence[v] -> highest_fence[v] = fence[2] :: else fi;
		first_replica[v] = (known_primary[v] + 1) % 3; second_replica[v] = (known_primary[v] + 2) % 3 }
	:: atomic { step[v] == 2 ->
#ifndef NO_FENCE
		set_fence(first_replica[v], highest_fence[v] + 1);
#endif
		step[v] = 3 }
	:: atomic { step[v] == 3 ->
#ifdef NO_ALL_HEARD
		if
		:: true -> second_replica[v] = first_replica[v] /* the second replica did not answer */
		:: set_fence(second_replica[v], highest_fence[v] + 1)
		fi;
#else
#ifndef NO_FENCE
		set_fence(second_replica[v], highest_fence[v] + 1);
#endif
#endif
		step[v] = 4 }
	:: atomic { step[v] == 4 ->
		if
		:: !MAY_CALL(v) -> step[v] = 6
		:: MAY_CALL(v) ->
#ifdef NO_HIGHEST
			call_target[v] = first_replica[v];
#else
			call_target[v] = (LOG_AHEAD(second_replica[v], first_replica[v]) -> second_replica[v] : first_replica[v]);
#endif
			call_pending[v] = true; call_age[v] = 0; step[v] = 5
		fi }
	:: atomic { step[v] == 5 && !call_pending[v] -> known_primary[v] = primary; step[v] = 6 }
	:: atomic { step[v] == 6 ->
		if :: claim_holder == v -> claim_holder = NONE; claim_left = 0 :: else fi;
		local_claim_left[v] = 0; step[v] = 0 }
	od
}

active proctype platform() {
	byte v;
	do
	:: atomic { select(v : 0 .. 1); call_pending[v] ->
		call_pending[v] = false;
		if
		:: claim_token[v] < platform_token || call_target[v] == primary ->
			if :: claim_token[v] > platform_token -> platform_token = claim_token[v] :: else fi
		:: claim_token[v] >= platform_token && call_target[v] != primary ->
			platform_token = claim_token[v]; term++; primary = call_target[v];
			fence[0] = 0; fence[1] = 0; fence[2] = 0;
			check_complete()
		:: true /* the call is lost */
		fi }
	od
}
