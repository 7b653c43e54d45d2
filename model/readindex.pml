/*
 * Reads at a primary where a replaced primary goes on until it is demoted: three
 * databases, of which 0 is the primary of term 1 and is read. The Go code is
 * pkg/rindex and internal/lead/confirm.go.
 *
 * A commit of a newer term is acknowledged once its primary and one replica have it.
 * A database may be promoted again and again; it has every acknowledged commit, which
 * promotion.pml shows. A former primary takes no entries of a newer term until it has
 * stepped down. A read arrives, runs at database 0 and is passed on when the answers of
 * the other databases confirm that there was no newer primary with an acknowledged
 * commit. These may be asked in any order, at any time after the read arrived, or be
 * silent.
 *
 * Property: a read that is passed on sees every commit acknowledged before it arrived.
 * README.md lists the effect of each macro below.
 */
// safeguard: NO_CONFIRMATION
// safeguard: ASKED_BEFORE
// safeguard: NO_TERM
// safeguard: NO_LEADER_ANSWER
// safeguard: ONE_REFUSAL
// safeguard: APPLIED_STATUS

#define MAX_TERM 4

byte current = 0, current_term = 1;
bool leads[3]; /* the database takes itself for the primary */
byte received[3] = 1, applied[3] = 1; /* term of the last entry */
byte acked = 1; /* term of the last acknowledged commit */

byte d;

active proctype databases() {
	atomic { leads[0] = true }
	do
	:: atomic { /* a promotion */
		current_term < MAX_TERM ->
		select(d : 0 .. 2);
		if
		:: d != current && received[d] >= acked -> current = d; current_term++; leads[d] = true; applied[d] = received[d]
		:: else
		fi
	   }
	:: atomic { /* a former primary steps down */
		select(d : 0 .. 2);
		if :: leads[d] && d != current -> leads[d] = false :: else fi
	   }
	:: atomic { received[current] = current_term; applied[current] = current_term } /* a write */
	:: atomic { /* replication */
		select(d : 0 .. 2);
		if :: d != current && !leads[d] -> received[d] = received[current] :: else fi
	   }
	:: atomic { select(d : 0 .. 2); applied[d] = received[d] }
	:: atomic { /* an acknowledgement */
		select(d : 0 .. 2);
		if
		:: d != current && received[current] == current_term && received[d] == current_term -> acked = current_term
		:: else
		fi
	   }
	od
}

/* Answers: 0 none, 1 a refusal, 2 a status, 3 it leads, 4 an entry of a newer term. */
byte answer[3];
byte needed, own;

inline ask(x) {
	if
	:: leads[x] ->
#ifdef NO_LEADER_ANSWER
		answer[x] = 1
#else
		answer[x] = 3
#endif
	:: !leads[x] ->
#ifdef NO_TERM
		answer[x] = 1
#else
		answer[x] = (applied[x] > own -> 4 : 1)
#endif
	:: answer[x] = 0
	fi
}

inline ask_status(x) {
#ifdef APPLIED_STATUS
	answer[x] = (leads[x] -> 3 : (applied[x] > own -> 4 : 2))
#else
	answer[x] = (leads[x] -> 3 : (received[x] > own -> 4 : 2))
#endif
}

active proctype reader() {
	bool passed_on = false;
	/* The read runs at database 0 while that takes itself for the primary. */
#ifdef ASKED_BEFORE
	own = received[0];
	atomic { ask(1) }
	atomic { ask(2) }
	atomic { needed = acked }
	atomic { leads[0] -> own = received[0] }
#else
	atomic { needed = acked }
	atomic { leads[0] -> own = received[0] }
	if
	:: atomic { ask(1) }; atomic { ask(2) }
	:: atomic { ask(2) }; atomic { ask(1) }
	fi;
#endif
#ifndef ONE_REFUSAL
	/* A status is asked for when one of the two is silent. */
	if
	:: answer[1] == 1 && answer[2] == 0 -> atomic { ask_status(1) }
	:: answer[2] == 1 && answer[1] == 0 -> atomic { ask_status(2) }
	:: else
	fi;
#endif
	atomic {
#ifdef NO_CONFIRMATION
		passed_on = true;
#else
#ifdef ONE_REFUSAL
		passed_on = answer[1] < 3 && answer[2] < 3 && (answer[1] > 0 || answer[2] > 0);
#else
		passed_on = (answer[1] == 1 && answer[2] == 1) || (answer[1] == 2 && answer[2] == 0) || (answer[2] == 2 && answer[1] == 0);
#endif
#endif
		assert(!passed_on || needed <= own)
	}
}
