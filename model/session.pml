/*
 * Read-your-writes of a session, as in docs/design.md section 8: floors, the
 * read-index of a session that moves to another proxy without a token, and the
 * check of the floor at the target. Elections are single steps here; failover.pml
 * shows that they keep acknowledged entries.
 *
 * Databases apply their logs with a delay. A database with a diverged log drops
 * all of it and copies the primary's, so its position can go back. README.md
 * lists the effect of each macro below.
 */
// safeguard: NO_FLOOR_ON_ROAM
// safeguard: PRIMARY_READ_INDEX
// safeguard: CACHED_POSITION_ONLY
// safeguard: NO_LOG_MATCH
// safeguard: NO_REBUILD_CHECK
// safeguard: NO_TERM_IN_FLOOR

#define N 3                /* databases; as the number of a database it means none */
#define MAX_ENTRIES 4      /* entries of a log */
#define MAX_TERM 3
#define MAX_WRITES 2       /* writes of the session */
#define MAX_OTHER_WRITES 1 /* writes of other sessions */
#ifdef CACHED_POSITION_ONLY
#define MAX_ROAMS 0        /* the cached positions multiply the number of states */
#else
#define MAX_ROAMS 1
#endif

byte promised_term[N];
byte led_term[N];      /* term in which the database became the primary, 0 for none */
byte primary[N];       /* the primary that the database follows */
byte log_len[N];
byte log[12];          /* terms of the entries, MAX_ENTRIES for each database */
byte applied_len[N];   /* number of entries that readers see */
bool rebuilding[N];    /* the database dropped a diverged log and has not yet copied the primary's */
byte highest_term = 1; /* of all databases */
byte other_writes;

#define LOG(d, i) log[(d) * MAX_ENTRIES + (i)]
#define IS_PRIMARY(d) (led_term[d] != 0 && led_term[d] == promised_term[d])
#define TERM_AND_INDEX(d, n) ((n) > 0 -> LOG(d, (n) - 1) * 8 + (n) : 0)
#ifdef NO_TERM_IN_FLOOR
#define POSITION(d, n) (n)
#else
#define POSITION(d, n) TERM_AND_INDEX(d, n)
#endif
/* The first n entries of d include the entry of term t at index i, counted from 1. */
#define HAS_ENTRY(d, n, t, i) ((n) >= (i) && LOG(d, (i) - 1) == (t))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_REBUILD_CHECK
#define SERVES(d) true
#else
#define SERVES(d) (!rebuilding[d])
#endif

/* Primary d appends an entry of its term and applies it. */
inline append(d) {
	LOG(d, log_len[d]) = led_term[d];
	log_len[d]++;
	applied_len[d] = log_len[d]
}

/* Database d takes the next entry of primary p's log, or drops its own if it diverges. */
inline pull(d, p) {
	x = 0;
#ifdef NO_LOG_MATCH
	x = log_len[d];
#else
	do
	:: x < log_len[d] && x < log_len[p] && LOG(d, x) == LOG(p, x) -> x++
	:: else -> break
	od;
#endif
	if
	:: log_len[d] > x -> log_len[d] = 0; applied_len[d] = 0; rebuilding[d] = true
	:: else ->
		if
		:: log_len[d] < log_len[p] -> LOG(d, log_len[d]) = LOG(p, log_len[d]); log_len[d]++
		:: else
		fi;
		if
		:: log_len[d] == log_len[p] -> rebuilding[d] = false
		:: else
		fi
	fi;
	x = log_len[d];
	do /* clear dropped entries, so that they do not add states */
	:: x < MAX_ENTRIES -> LOG(d, x) = 0; x++
	:: else -> break
	od;
	x = 0
}

/* Databases a and b promise the next term, and the one with the higher log position
   becomes its primary. The third database does not learn of the term. */
#define MAY_ELECT(a, b) (highest_term < MAX_TERM && !rebuilding[a] && !rebuilding[b] && \
	log_len[a] < MAX_ENTRIES && log_len[b] < MAX_ENTRIES)
inline elect(a, b) {
	highest_term++;
	promised_term[a] = highest_term;
	promised_term[b] = highest_term;
	if
	:: TERM_AND_INDEX(a, log_len[a]) >= TERM_AND_INDEX(b, log_len[b]) -> x = a
	:: else -> x = b
	fi;
	led_term[x] = highest_term;
	primary[x] = x;
	append(x);
	x = 0
}

proctype elections() {
	byte x;
end:	do
	:: d_step { MAY_ELECT(0, 1) -> elect(0, 1) }
	:: d_step { MAY_ELECT(0, 2) -> elect(0, 2) }
	:: d_step { MAY_ELECT(1, 2) -> elect(1, 2) }
	od
}

proctype database(byte d) {
	byte x;
#define MAY_FOLLOW(p) (d != (p) && IS_PRIMARY(p) && \
	(promised_term[d] < led_term[p] || promised_term[d] == led_term[p] && primary[d] != (p)))
end:	do
	:: d_step { MAY_FOLLOW(0) -> promised_term[d] = led_term[0]; primary[d] = 0; led_term[d] = 0 }
	:: d_step { MAY_FOLLOW(1) -> promised_term[d] = led_term[1]; primary[d] = 1; led_term[d] = 0 }
	:: d_step { MAY_FOLLOW(2) -> promised_term[d] = led_term[2]; primary[d] = 2; led_term[d] = 0 }
	:: d_step {
		primary[d] != d && IS_PRIMARY(primary[d]) && promised_term[d] == led_term[primary[d]] &&
		(log_len[d] != log_len[primary[d]] || rebuilding[d] || LOG(d, log_len[d] - 1) != LOG(primary[d], log_len[d] - 1)) ->
		pull(d, primary[d])
	}
	:: d_step { applied_len[d] < log_len[d] -> applied_len[d]++ }
	:: d_step { IS_PRIMARY(d) && log_len[d] < MAX_ENTRIES && other_writes < MAX_OTHER_WRITES -> append(d); other_writes++ }
	od
}

/* Follower f of primary p has the written entry too, so a majority has it. */
#define REPLICATED(p, f) (f != p && primary[f] == p && promised_term[f] == led_term[p] && \
	HAS_ENTRY(f, log_len[f], write_term, write_index))

#define MAY_READ(d) (SERVES(d) && FLOOR_REACHED(d))
#ifdef CACHED_POSITION_ONLY
#define FLOOR_REACHED(d) (cached_position[d] >= floor)
#else
#define FLOOR_REACHED(d) (POSITION(d, applied_len[d]) >= floor)
#endif

/* A read at d must see the session's last acknowledged write. */
inline read(d) {
	assert(acked_term == 0 || HAS_ENTRY(d, applied_len[d], acked_term, acked_index));
	floor = MAX(floor, POSITION(d, applied_len[d]))
}

inline write(p) {
	append(p);
	write_primary = p;
	write_term = led_term[p];
	write_index = log_len[p];
	writes++
}

proctype session() {
	byte floor, writes, roams, x;
	byte acked_term, acked_index;                    /* last acknowledged write */
	byte write_primary = N, write_term, write_index; /* write under way */
	byte first_answered = N; /* database that answered the read-index first */
#ifdef CACHED_POSITION_ONLY
	byte cached_position[N]; /* positions of the databases as the proxy last saw them */
#endif
end:	do
	:: d_step { write_primary == N && writes < MAX_WRITES && IS_PRIMARY(0) && log_len[0] < MAX_ENTRIES -> write(0) }
	:: d_step { write_primary == N && writes < MAX_WRITES && IS_PRIMARY(1) && log_len[1] < MAX_ENTRIES -> write(1) }
	:: d_step { write_primary == N && writes < MAX_WRITES && IS_PRIMARY(2) && log_len[2] < MAX_ENTRIES -> write(2) }
	:: d_step { /* the write is acknowledged */
		write_primary < N && IS_PRIMARY(write_primary) && led_term[write_primary] == write_term &&
		(REPLICATED(write_primary, 0) || REPLICATED(write_primary, 1) || REPLICATED(write_primary, 2)) ->
#ifdef NO_TERM_IN_FLOOR
		floor = MAX(floor, write_index);
#else
		floor = MAX(floor, write_term * 8 + write_index);
#endif
		acked_term = write_term; acked_index = write_index;
		write_primary = N; write_term = 0; write_index = 0
	}
	:: d_step { write_primary < N -> write_primary = N; write_term = 0; write_index = 0 } /* the outcome stays unknown */
#ifdef CACHED_POSITION_ONLY
	:: d_step { cached_position[0] != POSITION(0, applied_len[0]) -> cached_position[0] = POSITION(0, applied_len[0]) }
	:: d_step { cached_position[1] != POSITION(1, applied_len[1]) -> cached_position[1] = POSITION(1, applied_len[1]) }
	:: d_step { cached_position[2] != POSITION(2, applied_len[2]) -> cached_position[2] = POSITION(2, applied_len[2]) }
#endif
	:: d_step { write_primary == N && MAY_READ(0) -> read(0) }
	:: d_step { write_primary == N && MAY_READ(1) -> read(1) }
	:: d_step { write_primary == N && MAY_READ(2) -> read(2) }
	:: write_primary == N && roams < MAX_ROAMS -> /* the session moves to another proxy, without a token */
		roams++;
		floor = 0;
#ifdef PRIMARY_READ_INDEX
		if
		:: d_step { IS_PRIMARY(0) -> floor = POSITION(0, log_len[0]) }
		:: d_step { IS_PRIMARY(1) -> floor = POSITION(1, log_len[1]) }
		:: d_step { IS_PRIMARY(2) -> floor = POSITION(2, log_len[2]) }
		fi
#else
#ifndef NO_FLOOR_ON_ROAM
		if /* two databases are a majority; they answer one after the other */
		:: d_step { SERVES(0) -> floor = POSITION(0, log_len[0]); first_answered = 0 }
		:: d_step { SERVES(1) -> floor = POSITION(1, log_len[1]); first_answered = 1 }
		:: d_step { SERVES(2) -> floor = POSITION(2, log_len[2]); first_answered = 2 }
		fi;
		if
		:: d_step { first_answered != 0 && SERVES(0) -> floor = MAX(floor, POSITION(0, log_len[0])); first_answered = N }
		:: d_step { first_answered != 1 && SERVES(1) -> floor = MAX(floor, POSITION(1, log_len[1])); first_answered = N }
		:: d_step { first_answered != 2 && SERVES(2) -> floor = MAX(floor, POSITION(2, log_len[2])); first_answered = N }
		fi
#endif
#endif
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. N - 1) {
			promised_term[i] = 1; primary[i] = 0;
			log_len[i] = 1; applied_len[i] = 1;
			LOG(i, 0) = 1
		}
		led_term[0] = 1;
		i = 0;
		run elections();
		run database(0); run database(1); run database(2);
		run session()
	}
}
