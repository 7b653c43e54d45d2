/*
 * The in-sync set of a group: three places for databases, of which one is the primary.
 * The Go code is internal/lead/insync.go and replies.go; docs/platform.md has the argument.
 *
 * A commit is acknowledged once one replica has it. Databases crash and come back with
 * their logs; replicas leave for good, and an empty one joins in their place. The set has
 * the databases that may hold an acknowledged commit. A VM keeps no other knowledge, as if
 * it had just started: it promotes when all databases of the set but one answer. Fences
 * are left out: the primary is down when another database is promoted.
 *
 * Property: a promoted database has every acknowledged commit. README.md lists the effect
 * of each macro below.
 */
// safeguard: NO_PROOF
// safeguard: LEFT_HOLDS_NOTHING
// safeguard: LIST_ONLY
// safeguard: TWO_MISSING

#define MAX_ENTRIES 3
#define MAX_PROMOTIONS 2

byte primary = 0;
byte log_len[3]; /* logs are prefixes of one history */
byte acked;      /* length of the history that was acknowledged */
byte heard;      /* length that some replica has received from the primary */
byte promotions;
bool up[3] = true;
bool left_for_good[3];
bool in_set[3] = true;

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define WORKS(d) (up[d] && !left_for_good[d])
/* Whether the place d counts as missing for a promotion. */
#ifdef LIST_ONLY
#define MISSING(d) (0)
#else
#ifdef LEFT_HOLDS_NOTHING
#define MISSING(d) (in_set[d] && !left_for_good[d] && !up[d])
#else
#define MISSING(d) (in_set[d] && !WORKS(d))
#endif
#endif
/* Whether place y proves that the set needs place x no more. */
#ifdef NO_PROOF
#define HELD(y) (true)
#else
#define HELD(y) (in_set[y] && WORKS(y) && log_len[y] == log_len[primary])
#endif
#ifdef TWO_MISSING
#define MAX_MISSING 2
#else
#define MAX_MISSING 1
#endif

byte x, y, best;

inline pick(d) {
	if :: d = 0 :: d = 1 :: d = 2 fi
}

active proctype group() {
	do
	:: atomic { WORKS(primary) && log_len[primary] < MAX_ENTRIES -> log_len[primary]++ }
	:: atomic { /* a replica receives the log; the primary hears of it, even if the replica ends */
		pick(x);
		if
		:: x != primary && WORKS(x) && WORKS(primary) -> log_len[x] = log_len[primary]; heard = log_len[primary]
		:: else
		fi }
	:: atomic { WORKS(primary) && heard > acked -> acked = heard }
	:: atomic { pick(x); if :: WORKS(x) -> up[x] = false :: else fi }
	:: atomic { pick(x); if :: !up[x] -> up[x] = true :: else fi }
	:: atomic { pick(x); if :: x != primary && WORKS(x) -> left_for_good[x] = true; log_len[x] = 0 :: else fi }
	:: atomic { /* an empty database joins in the place of one that is not in the set */
		pick(x);
		if :: left_for_good[x] && !in_set[x] -> left_for_good[x] = false; in_set[x] = true; log_len[x] = 0 :: else fi }
	:: atomic { /* a database that left is removed from the set */
		pick(x); y = 3 - x - primary;
		if
		:: left_for_good[x] && in_set[x] && x != primary && WORKS(primary) && HELD(y) -> in_set[x] = false
		:: else
		fi }
	:: atomic { /* the primary does not answer, and another database is promoted */
		promotions < MAX_PROMOTIONS && !WORKS(primary) && MISSING(0) + MISSING(1) + MISSING(2) <= MAX_MISSING ->
		x = (primary + 1) % 3; y = (primary + 2) % 3;
		if
		:: WORKS(x) && (!WORKS(y) || log_len[x] >= log_len[y]) -> best = x
		:: WORKS(y) && (!WORKS(x) || log_len[y] > log_len[x]) -> best = y
		:: else -> best = 3
		fi;
		if
		:: best < 3 ->
			assert(log_len[best] >= acked);
			promotions++; primary = best; heard = acked;
			log_len[0] = MIN(log_len[0], log_len[best]);
			log_len[1] = MIN(log_len[1], log_len[best]);
			log_len[2] = MIN(log_len[2], log_len[best])
		:: else
		fi }
	od
}
