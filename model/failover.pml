/*
 * Failover of one database group and the acknowledgement of commits, as in
 * docs/design.md section 7 and pkg/elect.
 *
 * Three databases keep a promised term and a log. Two proxies race to raise the
 * term and to promote. A database that was replaced goes on answering until it
 * hears of the new term. A crash takes what a primary knows of its followers;
 * being down, a lost message and a proxy that dies are steps that don't happen.
 * A database with a diverged log drops all of it and copies the primary's.
 */
// safeguard: NO_TERM_CHECK
// safeguard: NO_MAJORITY
// safeguard: NO_HIGHEST_LOG
// safeguard: NO_OWN_TERM
// safeguard: NO_LOG_MATCH
// safeguard: NO_REBUILD_CHECK
// safeguard: NO_SETTLED_TERM

#define N 3          /* databases */
#define L 3          /* entries of a log */
#define TERMS 4      /* highest term */
#define WRITES 1     /* writes of callers beside each term's first entry */
#define ELECTIONS 2  /* elections that the proxies begin together */
#define CRASHES 1
#define NONE N

byte promised[N];
byte given[N];       /* highest term given to a primary here */
byte leads[N];       /* term in which the database is the primary, 0 for none */
byte lead[N];          /* the primary it follows */
byte size[N];
byte log[9];         /* terms of the entries, L for each database */
byte held[9];        /* length of follower f's log as primary p knows it, p*N+f */
bool rebuild[N];

byte acked[15];      /* lowest term in which the entry of term t at index i was
                        acknowledged, at t * L + i; 0 for never */
byte denied;         /* term of the primary that denied the caller's write */
byte owner[5];       /* the primary of each term */
byte writes, crashes, elections;
bool asked;

#define LOG(d, i) log[(d) * L + (i)]
#define ACKED(t, i) acked[(t) * L + (i)]
#define HAS(d, t, i) (size[d] > (i) && LOG(d, i) == (t))
#define HELD(p, f) held[(p) * N + (f)]
#define PRIMARY(d) (leads[d] != 0 && leads[d] == promised[d])

/* The safeguards, each replaced by true (or by a single promise) when it is
   switched off. */
#ifdef NO_TERM_CHECK
#define SAME_TERM(f, p) true
#else
#define SAME_TERM(f, p) (promised[f] == leads[p])
#endif
#ifdef NO_MAJORITY
#define ENOUGH 1
#else
#define ENOUGH 2
#endif
#ifdef NO_OWN_TERM
#define OWN(p, i) true
#else
#define OWN(p, i) (LOG(p, i) == leads[p])
#endif
#ifdef NO_REBUILD_CHECK
#define COUNTS(d) true
#else
#define COUNTS(d) (!rebuild[d])
#endif
#ifdef NO_SETTLED_TERM
#define SETTLED true
#else
#define SETTLED (x > 0)
#endif

/* What was acknowledged in a term below t is in d's log; a denied write is not. */
inline complete(d, t) {
	x = 0;
	do
	:: x < L ->
		y = 1;
		do
		:: y < t ->
			assert(ACKED(y, x) == 0 || ACKED(y, x) >= t || HAS(d, y, x));
			y++
		:: else -> break
		od;
		x++
	:: else -> break
	od;
	assert(denied == 0 || denied >= t || !HAS(d, 1, 1))
}

/* The number of entries of p that a majority holds, in x; only entries of p's
   own term count. */
inline quorum(p) {
	x = size[p];
	do
	:: x == 0 -> break
	:: x > 0 && (HELD(p, (p + 1) % N) >= x || HELD(p, (p + 2) % N) >= x) && OWN(p, x - 1) -> break
	:: else -> x--
	od
}

inline acknowledge(p) {
	quorum(p);
	z = 0;
	do
	:: z < x ->
		if
		:: ACKED(LOG(p, z), z) == 0 || ACKED(LOG(p, z), z) > leads[p] -> ACKED(LOG(p, z), z) = leads[p]
		:: else
		fi;
		assert(denied == 0 || z != 1 || LOG(p, 1) != 1);
		/* A primary of a higher term must have what this one acknowledges. */
		y = 0;
		do
		:: y < N ->
			assert(!(PRIMARY(y) && leads[y] > leads[p]) || HAS(y, LOG(p, z), z));
			y++
		:: else -> break
		od;
		z++
	:: else -> break
	od
}

/* Follower f takes the next entry from primary p. */
inline pull(f, p) {
#ifdef NO_LOG_MATCH
	if
	:: size[f] < size[p] -> LOG(f, size[f]) = LOG(p, size[f]); size[f]++
	:: else
	fi;
	HELD(p, f) = (size[f] < size[p] -> size[f] : size[p])
#else
	x = 0;
	do
	:: x < size[f] && x < size[p] && LOG(f, x) == LOG(p, x) -> x++
	:: else -> break
	od;
	if
	:: size[f] > x -> size[f] = 0; rebuild[f] = true
	:: else ->
		if
		:: size[f] < size[p] -> LOG(f, size[f]) = LOG(p, size[f]); size[f]++
		:: else
		fi;
		if
		:: size[f] == size[p] -> rebuild[f] = false
		:: else
		fi;
		HELD(p, f) = size[f]
	fi;
	z = size[f];
	do /* entries that are gone leave no trace in the state */
	:: z < L -> LOG(f, z) = 0; z++
	:: else -> break
	od
#endif
}

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define HIGHEST MAX(promised[0], MAX(promised[1], promised[2]))
#define MAY_FOLLOW(d, p) \
	((d) != (p) && PRIMARY(p) && promised[d] <= leads[p] && given[d] < leads[p])

/* Some proxy tells d to follow p. */
inline follow(d, p) {
	promised[d] = leads[p];
	given[d] = leads[p];
	lead[d] = p;
	leads[d] = 0
}

/* A proxy asks primary p whether its log has the caller's write, which is the
   second entry of the log with term 1. Yes means done, no means not run. */
inline ask(p) {
	quorum(p);
	if
	:: SETTLED ->
		asked = true;
		if
		:: HAS(p, 1, 1) ->
			if
			:: ACKED(1, 1) == 0 -> ACKED(1, 1) = leads[p]
			:: else
			fi
		:: else ->
			assert(ACKED(1, 1) == 0);
			denied = leads[p]
		fi
	:: else
	fi
}

proctype database(byte d) {
	byte x, y, z;
end:	do
	:: d_step { /* a caller writes */
		PRIMARY(d) && size[d] < L && writes < WRITES ->
		LOG(d, size[d]) = leads[d];
		size[d]++;
		writes++
	}
	:: d_step { /* replicate; lead is kept after a raise, so a late answer may come */
		lead[d] < NONE && lead[d] != d && PRIMARY(lead[d]) && SAME_TERM(d, lead[d]) ->
		pull(d, lead[d]); x = 0; y = 0; z = 0
	}
	:: d_step { PRIMARY(d) -> acknowledge(d); x = 0; y = 0; z = 0 }
	:: d_step { /* a crash takes what is not durable */
		crashes < CRASHES && PRIMARY(d) ->
		crashes++;
		HELD(d, 0) = 0;
		HELD(d, 1) = 0;
		HELD(d, 2) = 0
	}
	:: d_step { MAY_FOLLOW(d, 0) -> follow(d, 0) }
	:: d_step { MAY_FOLLOW(d, 1) -> follow(d, 1) }
	:: d_step { MAY_FOLLOW(d, 2) -> follow(d, 2) }
	:: d_step { /* A9: a proxy asks this primary whether the caller's write survived */
		!asked && PRIMARY(d) && leads[d] > 1 -> ask(d); x = 0
	}
	od
}

/* The proxy asks database d for a promise, gets no answer, or does not ask. */
inline raise(d) {
	if
	:: promised[d] < t ->
		promised[d] = t;
		if
		:: COUNTS(d) -> promise[d] = 1 + 4 * (size[d] > 0 -> LOG(d, size[d] - 1) : 0) + size[d]
		:: true
		fi
	:: true
	fi
}

proctype proxy() {
	byte x, y, d, t, best;
	byte promise[N];     /* 1 + last term * 4 + length, 0 for none */
end:	do
	:: atomic { elections < ELECTIONS && HIGHEST < TERMS ->
			elections++;
			t = HIGHEST + 1
		}
		atomic { raise(0) }
		atomic { raise(1) }
		atomic { raise(2) }
		atomic {
			x = (promise[0] > 0) + (promise[1] > 0) + (promise[2] > 0);
			if
			:: x >= ENOUGH ->
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
		:: d_step { x == 1 && promised[best] == t && given[best] < t && size[best] < L ->
			assert(owner[t] == NONE);
			owner[t] = best;
			given[best] = t;
			leads[best] = t;
			lead[best] = best;
			HELD(best, 0) = 0; HELD(best, 1) = 0; HELD(best, 2) = 0;
			complete(best, t);
			LOG(best, size[best]) = t;
			size[best]++;
			x = 0; y = 0; best = 0
		}
		:: d_step { else -> x = 0; best = 0 } /* refused, or no majority */
		fi;
		atomic { t = 0; promise[0] = 0; promise[1] = 0; promise[2] = 0 }
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. TERMS) { owner[i] = NONE }
		for (i : 0 .. N - 1) { promised[i] = 1; given[i] = 1; lead[i] = 0 }
		owner[1] = 0;
		size[0] = 1;
		log[0] = 1;
		if
		:: leads[0] = 1 /* a new group: database 0 has begun term 1 */
		:: /* database 0 took a write that nobody else has, and 1 has begun term 2 */
			size[0] = 2; size[1] = 2; size[2] = 1;
			log[1] = 1; log[3] = 1; log[4] = 2; log[6] = 1;
			writes = WRITES;
			owner[2] = 1;
			promised[0] = 2; promised[1] = 2; promised[2] = 2;
			given[1] = 2;
			leads[0] = 1; leads[1] = 2;
			lead[1] = 1
		fi;
		i = 0;
		run database(0); run database(1); run database(2);
		run proxy(); run proxy()
	}
}
