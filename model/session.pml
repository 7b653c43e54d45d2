/*
 * Read-your-writes of a session, as in docs/design.md section 8: floors, the
 * read-index of a session that roams without a token, and the check of the
 * floor at the target. Elections are single steps here; failover.pml shows that
 * they keep acknowledged entries.
 *
 * Three databases apply their logs late. A database with a diverged log drops
 * all of it and copies the primary's, so its position can go back.
 */
// safeguard: NO_FLOOR_ON_ROAM
// safeguard: PRIMARY_READ_INDEX
// safeguard: CACHED_POSITION_ONLY
// safeguard: NO_LOG_MATCH
// safeguard: NO_REBUILD_CHECK
// safeguard: NO_TERM_IN_FLOOR

#define N 3          /* databases */
#define L 4          /* entries of a log */
#define TERMS 3      /* highest term */
#define WRITES 2     /* writes of the session */
#define OTHERS 1     /* writes of others */
#ifdef CACHED_POSITION_ONLY
#define ROAMS 0      /* the cache multiplies the states */
#else
#define ROAMS 1
#endif

byte term[N];        /* promised term */
byte leads[N];       /* term in which the database is the primary, 0 for none */
byte lead[N];        /* the primary it follows */
byte size[N];
byte log[12];        /* terms of the entries, L for each database */
byte applied[N];     /* entries that readers see */
bool rebuild[N];
byte highest = 1;    /* highest term */
byte others;

#define LOG(d, i) log[(d) * L + (i)]
#define PRIMARY(d) (leads[d] != 0 && leads[d] == term[d])
#define ORDER(d, n) ((n) > 0 -> LOG(d, (n) - 1) * 8 + (n) : 0)
#ifdef NO_TERM_IN_FLOOR
#define POSITION(d, n) (n)
#else
#define POSITION(d, n) ORDER(d, n)
#endif
#define HAS(d, n, t, i) ((n) >= (i) && LOG(d, (i) - 1) == (t))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_REBUILD_CHECK
#define SERVES(d) true
#else
#define SERVES(d) (!rebuild[d])
#endif

inline append(d) {
	LOG(d, size[d]) = leads[d];
	size[d]++;
	applied[d] = size[d]
}

/* Database d takes the next entry of primary p's log. */
inline pull(d, p) {
	x = 0;
#ifdef NO_LOG_MATCH
	x = size[d];
#else
	do
	:: x < size[d] && x < size[p] && LOG(d, x) == LOG(p, x) -> x++
	:: else -> break
	od;
#endif
	if
	:: size[d] > x -> size[d] = 0; applied[d] = 0; rebuild[d] = true
	:: else ->
		if
		:: size[d] < size[p] -> LOG(d, size[d]) = LOG(p, size[d]); size[d]++
		:: else
		fi;
		if
		:: size[d] == size[p] -> rebuild[d] = false
		:: else
		fi
	fi;
	x = size[d];
	do /* entries that are gone leave no trace in the state */
	:: x < L -> LOG(d, x) = 0; x++
	:: else -> break
	od;
	x = 0
}

/* Databases a and b promise the next term and the one with the higher log leads
   it; the third hears nothing of it. */
#define MAY_ELECT(a, b) (highest < TERMS && !rebuild[a] && !rebuild[b] && size[a] < L && size[b] < L)
inline elect(a, b) {
	highest++;
	term[a] = highest;
	term[b] = highest;
	if
	:: ORDER(a, size[a]) >= ORDER(b, size[b]) -> x = a
	:: else -> x = b
	fi;
	leads[x] = highest;
	lead[x] = x;
	append(x);
	x = 0
}

proctype databases() {
	byte x;
end:	do
	:: d_step { MAY_ELECT(0, 1) -> elect(0, 1) }
	:: d_step { MAY_ELECT(0, 2) -> elect(0, 2) }
	:: d_step { MAY_ELECT(1, 2) -> elect(1, 2) }
	od
}

proctype database(byte d) {
	byte x;
#define MAY_FOLLOW(p) (d != (p) && PRIMARY(p) && (term[d] < leads[p] || term[d] == leads[p] && lead[d] != (p)))
end:	do
	:: d_step { MAY_FOLLOW(0) -> term[d] = leads[0]; lead[d] = 0; leads[d] = 0 }
	:: d_step { MAY_FOLLOW(1) -> term[d] = leads[1]; lead[d] = 1; leads[d] = 0 }
	:: d_step { MAY_FOLLOW(2) -> term[d] = leads[2]; lead[d] = 2; leads[d] = 0 }
	:: d_step {
		lead[d] != d && PRIMARY(lead[d]) && term[d] == leads[lead[d]] && (size[d] != size[lead[d]] || rebuild[d] || LOG(d, size[d] - 1) != LOG(lead[d], size[d] - 1)) ->
		pull(d, lead[d])
	}
	:: d_step { applied[d] < size[d] -> applied[d]++ }
	:: d_step { PRIMARY(d) && size[d] < L && others < OTHERS -> append(d); others++ }
	od
}

/* The entry is on a majority: at its primary p and at a follower of p. */
#define HELD(p, f) (f != p && lead[f] == p && term[f] == leads[p] && HAS(f, size[f], at, index))

#define READ_MAY(d) (SERVES(d) && ALLOWED(d))
#ifdef CACHED_POSITION_ONLY
#define ALLOWED(d) (cache[d] >= floor)
#else
#define ALLOWED(d) (POSITION(d, applied[d]) >= floor)
#endif

/* A read at d must see the session's last acknowledged write. */
inline read(d) {
	assert(own == 0 || HAS(d, applied[d], own, ownindex));
	floor = MAX(floor, POSITION(d, applied[d]))
}

inline write(p) {
	append(p);
	writer = p;
	at = leads[p];
	index = size[p];
	writes++
}

proctype session() {
	byte floor, writes, roams, x;
	byte own, ownindex;            /* last acknowledged write */
	byte writer = N, at, index;    /* write under way */
	byte first = N;                /* database that the read-index asked first */
#ifdef CACHED_POSITION_ONLY
	byte cache[N];
#endif
end:	do
	:: d_step { writer == N && writes < WRITES && PRIMARY(0) && size[0] < L -> write(0) }
	:: d_step { writer == N && writes < WRITES && PRIMARY(1) && size[1] < L -> write(1) }
	:: d_step { writer == N && writes < WRITES && PRIMARY(2) && size[2] < L -> write(2) }
	:: d_step { /* acknowledged */
		writer < N && PRIMARY(writer) && leads[writer] == at && (HELD(writer, 0) || HELD(writer, 1) || HELD(writer, 2)) ->
#ifdef NO_TERM_IN_FLOOR
		floor = MAX(floor, index);
#else
		floor = MAX(floor, at * 8 + index);
#endif
		own = at; ownindex = index;
		writer = N; at = 0; index = 0
	}
	:: d_step { writer < N -> writer = N; at = 0; index = 0 } /* outcome unknown */
#ifdef CACHED_POSITION_ONLY
	:: d_step { cache[0] != POSITION(0, applied[0]) -> cache[0] = POSITION(0, applied[0]) }
	:: d_step { cache[1] != POSITION(1, applied[1]) -> cache[1] = POSITION(1, applied[1]) }
	:: d_step { cache[2] != POSITION(2, applied[2]) -> cache[2] = POSITION(2, applied[2]) }
#endif
	:: d_step { writer == N && READ_MAY(0) -> read(0) }
	:: d_step { writer == N && READ_MAY(1) -> read(1) }
	:: d_step { writer == N && READ_MAY(2) -> read(2) }
	:: writer == N && roams < ROAMS -> /* to another proxy, without a token */
		roams++;
		floor = 0;
#ifdef PRIMARY_READ_INDEX
		if
		:: d_step { PRIMARY(0) -> floor = POSITION(0, size[0]) }
		:: d_step { PRIMARY(1) -> floor = POSITION(1, size[1]) }
		:: d_step { PRIMARY(2) -> floor = POSITION(2, size[2]) }
		fi
#else
#ifndef NO_FLOOR_ON_ROAM
		if /* two databases make a majority; they answer one after another */
		:: d_step { SERVES(0) -> floor = POSITION(0, size[0]); first = 0 }
		:: d_step { SERVES(1) -> floor = POSITION(1, size[1]); first = 1 }
		:: d_step { SERVES(2) -> floor = POSITION(2, size[2]); first = 2 }
		fi;
		if
		:: d_step { first != 0 && SERVES(0) -> floor = MAX(floor, POSITION(0, size[0])); first = N }
		:: d_step { first != 1 && SERVES(1) -> floor = MAX(floor, POSITION(1, size[1])); first = N }
		:: d_step { first != 2 && SERVES(2) -> floor = MAX(floor, POSITION(2, size[2])); first = N }
		fi
#endif
#endif
	od
}

init {
	atomic {
		byte i;
		for (i : 0 .. N - 1) {
			term[i] = 1; lead[i] = 0;
			size[i] = 1; applied[i] = 1;
			LOG(i, 0) = 1
		}
		leads[0] = 1;
		i = 0;
		run databases();
		run database(0); run database(1); run database(2);
		run session()
	}
}
