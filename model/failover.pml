/*
 * Failover of one database group and the acknowledgement of commits, as in
 * docs/design.md section 7 and pkg/elect.
 *
 * Three databases keep a promised term and a log. Two proxies compete to raise
 * the term and to promote a database. A replaced primary goes on answering until
 * it learns of the new term. In a crash a primary loses what it knows of its
 * followers. A database that is down, a lost message and a proxy that dies are
 * steps that don't happen. A database with a diverged log drops all of it and
 * copies the primary's. README.md lists the properties and the effect of each
 * macro below.
 */
// safeguard: NO_TERM_CHECK
// safeguard: NO_MAJORITY
// safeguard: NO_HIGHEST_LOG
// safeguard: NO_OWN_TERM
// safeguard: NO_LOG_MATCH
// safeguard: NO_REBUILD_CHECK
// safeguard: NO_SETTLED_TERM

#define N 3             /* databases */
#define MAX_ENTRIES 3   /* entries of a log */
#define MAX_TERM 4
#define MAX_WRITES 1    /* writes of callers, besides the first entry of each term */
#define MAX_ELECTIONS 2 /* elections started by both proxies in total */
#define MAX_CRASHES 1
#define NONE N          /* no database */

byte promised_term[N];
byte primary_term[N];    /* last term of which the database knows the primary */
byte led_term[N];        /* term in which the database became the primary, 0 for none */
byte primary[N];         /* the primary that the database follows */
byte log_len[N];
byte log[9];             /* terms of the entries, MAX_ENTRIES for each database */
byte match_len[9];       /* length of follower f's log as primary p knows it, at p * N + f */
bool rebuilding[N];      /* the database dropped a diverged log and has not yet copied the primary's */

byte acked_in[15];       /* lowest term in which the entry of term t at index i was
                            acknowledged, at t * MAX_ENTRIES + i; 0 for never */
byte denied_in;          /* term of the primary that denied the caller's write, 0 for none */
byte primary_of_term[5]; /* NONE while a term has no primary */
byte writes, crashes, elections;
bool outcome_asked;

#define LOG(d, i) log[(d) * MAX_ENTRIES + (i)]
#define ACKED_IN(t, i) acked_in[(t) * MAX_ENTRIES + (i)]
#define HAS_ENTRY(d, t, i) (log_len[d] > (i) && LOG(d, i) == (t))
#define MATCH_LEN(p, f) match_len[(p) * N + (f)]
#define IS_PRIMARY(d) (led_term[d] != 0 && led_term[d] == promised_term[d])

/* The safeguards. A macro that removes one replaces its condition by true, or the
   majority of promises by a single one. */
#ifdef NO_TERM_CHECK
#define SAME_TERM(f, p) true
#else
#define SAME_TERM(f, p) (promised_term[f] == led_term[p])
#endif
#ifdef NO_MAJORITY
#define PROMISES_NEEDED 1
#else
#define PROMISES_NEEDED 2
#endif
#ifdef NO_OWN_TERM
#define OF_LED_TERM(p, i) true
#else
#define OF_LED_TERM(p, i) (LOG(p, i) == led_term[p])
#endif
#ifdef NO_REBUILD_CHECK
#define PROMISE_COUNTS(d) true
#else
#define PROMISE_COUNTS(d) (!rebuilding[d])
#endif
#ifdef NO_SETTLED_TERM
#define TERM_SETTLED true
#else
#define TERM_SETTLED (x > 0)
#endif

/* Asserts that d's log has every entry that was acknowledged in a term below t,
   and not the write that was denied in such a term. */
inline check_complete(d, t) {
	x = 0;
	do
	:: x < MAX_ENTRIES ->
		y = 1;
		do
		:: y < t ->
			assert(ACKED_IN(y, x) == 0 || ACKED_IN(y, x) >= t || HAS_ENTRY(d, y, x));
			y++
		:: else -> break
		od;
		x++
	:: else -> break
	od;
	assert(denied_in == 0 || denied_in >= t || !HAS_ENTRY(d, 1, 1))
}

/* Sets x to the length of the part of p's log that a majority holds. It ends with
   an entry of p's own term. */
inline compute_quorum_len(p) {
	x = log_len[p];
	do
	:: x == 0 -> break
	:: x > 0 && (MATCH_LEN(p, (p + 1) % N) >= x || MATCH_LEN(p, (p + 2) % N) >= x) && OF_LED_TERM(p, x - 1) -> break
	:: else -> x--
	od
}

/* Primary p acknowledges the entries that a majority holds. */
inline acknowledge(p) {
	compute_quorum_len(p);
	z = 0;
	do
	:: z < x ->
		if
		:: ACKED_IN(LOG(p, z), z) == 0 || ACKED_IN(LOG(p, z), z) > led_term[p] ->
			ACKED_IN(LOG(p, z), z) = led_term[p]
		:: else
		fi;
		assert(denied_in == 0 || z != 1 || LOG(p, 1) != 1);
		/* A primary of a higher term must have what this one acknowledges. */
		y = 0;
		do
		:: y < N ->
			assert(!(IS_PRIMARY(y) && led_term[y] > led_term[p]) || HAS_ENTRY(y, LOG(p, z), z));
			y++
		:: else -> break
		od;
		z++
	:: else -> break
	od
}

/* Follower f takes the next entry from primary p, or drops its log if it diverges. */
inline pull(f, p) {
#ifdef NO_LOG_MATCH
	if
	:: log_len[f] < log_len[p] -> LOG(f, log_len[f]) = LOG(p, log_len[f]); log_len[f]++
	:: else
	fi;
	MATCH_LEN(p, f) = (log_len[f] < log_len[p] -> log_len[f] : log_len[p])
#else
	x = 0;
	do
	:: x < log_len[f] && x < log_len[p] && LOG(f, x) == LOG(p, x) -> x++
	:: else -> break
	od;
	if
	:: log_len[f] > x -> log_len[f] = 0; rebuilding[f] = true
	:: else ->
		if
		:: log_len[f] < log_len[p] -> LOG(f, log_len[f]) = LOG(p, log_len[f]); log_len[f]++
		:: else
		fi;
		if
		:: log_len[f] == log_len[p] -> rebuilding[f] = false
		:: else
		fi;
		MATCH_LEN(p, f) = log_len[f]
	fi;
	z = log_len[f];
	do /* clear dropped entries, so that they do not add states */
	:: z < MAX_ENTRIES -> LOG(f, z) = 0; z++
	:: else -> break
	od
#endif
}

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define HIGHEST_TERM MAX(promised_term[0], MAX(promised_term[1], promised_term[2]))
#define MAY_FOLLOW(d, p) \
	((d) != (p) && IS_PRIMARY(p) && promised_term[d] <= led_term[p] && primary_term[d] < led_term[p])

/* A proxy tells database d to follow primary p. */
inline follow(d, p) {
	promised_term[d] = led_term[p];
	primary_term[d] = led_term[p];
	primary[d] = p;
	led_term[d] = 0
}

/* A proxy asks primary p whether its log has the caller's write, which is the
   second entry and has term 1 (assumption A9). Yes means done, no means not run.
   The answer counts only once an entry of p's own term is on a majority. */
inline ask_outcome(p) {
	compute_quorum_len(p);
	if
	:: TERM_SETTLED ->
		outcome_asked = true;
		if
		:: HAS_ENTRY(p, 1, 1) ->
			if
			:: ACKED_IN(1, 1) == 0 -> ACKED_IN(1, 1) = led_term[p]
			:: else
			fi
		:: else ->
			assert(ACKED_IN(1, 1) == 0);
			denied_in = led_term[p]
		fi
	:: else
	fi
}

proctype database(byte d) {
	byte x, y, z; /* scratch; each step resets them, so that they add no states */
end:	do
	:: d_step { /* a caller writes */
		IS_PRIMARY(d) && log_len[d] < MAX_ENTRIES && writes < MAX_WRITES ->
		LOG(d, log_len[d]) = led_term[d];
		log_len[d]++;
		writes++
	}
	:: d_step { /* replicate; primary[d] is kept when the term is raised, so a late answer may still arrive */
		primary[d] < NONE && primary[d] != d && IS_PRIMARY(primary[d]) && SAME_TERM(d, primary[d]) ->
		pull(d, primary[d]); x = 0; y = 0; z = 0
	}
	:: d_step { IS_PRIMARY(d) -> acknowledge(d); x = 0; y = 0; z = 0 }
	:: d_step { /* a crash loses what is not durable */
		crashes < MAX_CRASHES && IS_PRIMARY(d) ->
		crashes++;
		MATCH_LEN(d, 0) = 0;
		MATCH_LEN(d, 1) = 0;
		MATCH_LEN(d, 2) = 0
	}
	:: d_step { MAY_FOLLOW(d, 0) -> follow(d, 0) }
	:: d_step { MAY_FOLLOW(d, 1) -> follow(d, 1) }
	:: d_step { MAY_FOLLOW(d, 2) -> follow(d, 2) }
	:: d_step { /* a proxy asks this primary for the outcome of the caller's write */
		!outcome_asked && IS_PRIMARY(d) && led_term[d] > 1 -> ask_outcome(d); x = 0
	}
	od
}

/* The proxy asks database d to promise term t. The answer, or the request too, may
   be lost; the promise of a rebuilding database does not count. */
inline request_promise(d) {
	if
	:: promised_term[d] < t ->
		promised_term[d] = t;
		if
		:: PROMISE_COUNTS(d) -> promise[d] = 1 + 4 * (log_len[d] > 0 -> LOG(d, log_len[d] - 1) : 0) + log_len[d]
		:: true
		fi
	:: true
	fi
}

proctype proxy() {
	byte x, y, d, t, best; /* t is the term to raise, best the database to promote */
	byte promise[N];       /* 1 + last entry's term * 4 + log length, 0 for no promise */
end:	do
	:: atomic { elections < MAX_ELECTIONS && HIGHEST_TERM < MAX_TERM ->
			elections++;
			t = HIGHEST_TERM + 1
		}
		atomic { request_promise(0) }
		atomic { request_promise(1) }
		atomic { request_promise(2) }
		atomic {
			x = (promise[0] > 0) + (promise[1] > 0) + (promise[2] > 0);
			if
			:: x >= PROMISES_NEEDED ->
				if
				:: promise[0] > 0 -> best = 0
				:: promise[1] > 0 -> best = 1
				:: promise[2] > 0 -> best = 2
				fi;
#ifndef NO_HIGHEST_LOG
				d = 0;
				do
				:: d < N ->
					if
					:: promise[d] > promise[best] -> best = d
					:: else
					fi;
					d++
				:: else -> break
				od;
				d = 0;
#endif
				x = 1
			:: else -> x = 0; best = 0
			fi
		}
		if
		:: d_step { x == 1 && promised_term[best] == t && primary_term[best] < t && log_len[best] < MAX_ENTRIES ->
			assert(primary_of_term[t] == NONE);
			primary_of_term[t] = best;
			primary_term[best] = t;
			led_term[best] = t;
			primary[best] = best;
			MATCH_LEN(best, 0) = 0; MATCH_LEN(best, 1) = 0; MATCH_LEN(best, 2) = 0;
			check_complete(best, t);
			LOG(best, log_len[best]) = t;
			log_len[best]++;
			x = 0; y = 0; best = 0
		}
		:: d_step { else -> x = 0; best = 0 } /* promotion refused, or no majority */
		fi;
		atomic { t = 0; promise[0] = 0; promise[1] = 0; promise[2] = 0 }
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. MAX_TERM) { primary_of_term[i] = NONE }
		for (i : 0 .. N - 1) { promised_term[i] = 1; primary_term[i] = 1; primary[i] = 0 }
		primary_of_term[1] = 0;
		log_len[0] = 1;
		log[0] = 1;
		if
		:: led_term[0] = 1 /* a new group: database 0 is the primary of term 1 */
		:: /* database 0 has a write that no other database has, and database 1 is the primary of term 2 */
			log_len[0] = 2; log_len[1] = 2; log_len[2] = 1;
			log[1] = 1; log[3] = 1; log[4] = 2; log[6] = 1;
			writes = MAX_WRITES;
			primary_of_term[2] = 1;
			promised_term[0] = 2; promised_term[1] = 2; promised_term[2] = 2;
			primary_term[1] = 2;
			led_term[0] = 1; led_term[1] = 2;
			primary[1] = 1
		fi;
		i = 0;
		run database(0); run database(1); run database(2);
		run proxy(); run proxy()
	}
}
