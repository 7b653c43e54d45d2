/*
 * The planned replacement of a primary that works: a primary, two replicas that the VM
 * knows, and a database that has joined and that no VM knows yet. The Go code is
 * internal/lead/transfer.go; docs/platform.md has the argument.
 *
 * A commit is acknowledged once one database other than the primary has it. The VM waits
 * until a replica has the log that the primary reported, demotes the primary, and promotes a
 * replica that has the position in the answer, or else the primary itself, once more. While
 * the primary leads again, the other VMs hold commits back. Replicas may be deaf, and receive
 * the log of a demoted primary or not.
 *
 * Property: a promoted database has every acknowledged commit. README.md lists the effect of
 * each macro below.
 */
// safeguard: NO_FINAL
// safeguard: FENCED_FIRST
// safeguard: NO_DEMOTION

#define MAX_ENTRIES 3
#define PRIMARY 0
#define JOINED 3
#define NOBODY 4
#define MAX_HAND_OVERS 2

byte log_len[4];       /* logs are prefixes of one history */
byte acked;            /* length of the history that was acknowledged */
bool leads = true;     /* the primary accepts and acknowledges commits */
bool held;             /* the other VMs send no commits */
bool fenced[4];
bool deaf[4];
bool feeds;            /* replicas receive the log of a demoted primary */
byte promoted = NOBODY;

byte d;

active proctype databases() {
	if :: feeds = true :: skip fi;
	do
	:: atomic { leads && !held && log_len[PRIMARY] < MAX_ENTRIES -> log_len[PRIMARY]++ }
	:: atomic { /* a database receives the next entry, and the primary acknowledges it */
		if :: d = 1 :: d = 2 :: d = JOINED fi;
		if
		:: (leads || feeds) && !fenced[d] && !deaf[d] && log_len[d] < log_len[PRIMARY] ->
			log_len[d]++;
			if :: leads && log_len[d] > acked -> acked = log_len[d] :: else fi
		:: else
		fi }
	:: atomic { if :: deaf[1] = !deaf[1] :: deaf[2] = !deaf[2] fi }
	od
}

byte reported, final, hand_overs, best;

inline choose(position) {
	if
	:: log_len[1] >= position -> best = 1
	:: log_len[2] >= position -> best = 2
	:: log_len[1] < position && log_len[2] < position -> best = PRIMARY
	fi
}

inline fence_replicas() {
	fenced[1] = true;
	fenced[2] = true
}

active proctype vm() {
	do
	:: hand_overs < MAX_HAND_OVERS ->
		atomic { hand_overs++; reported = log_len[PRIMARY] }
#ifdef FENCED_FIRST
		atomic { fence_replicas(); if :: log_len[1] >= log_len[2] -> best = 1 :: else -> best = 2 fi }
		atomic { leads = false; held = true }
#else
		(log_len[1] >= reported || log_len[2] >= reported);
#ifdef NO_DEMOTION
		atomic { choose(reported) }
		atomic { fence_replicas() }
#else
		atomic { leads = false; held = true; final = log_len[PRIMARY] }
#ifdef NO_FINAL
		atomic { choose(reported) }
#else
		if :: atomic { choose(final) } :: best = PRIMARY fi; /* it waits for a limited time */
#endif
		atomic { fence_replicas() }
#endif
#endif
		atomic { /* the call takes effect, which ends the fences */
			assert(log_len[best] >= acked);
			fenced[1] = false;
			fenced[2] = false;
			if
			:: best == PRIMARY -> leads = true
			:: else -> promoted = best
			fi }
		if :: promoted != NOBODY -> break :: else fi
	:: else -> held = false; break
	od
}
