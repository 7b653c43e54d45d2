/*
 * Requests to a cold database: one slice of its limit, which mints 1 token a tick with
 * a burst of 1, and two VMs that hold it in turn under a lease of the store. A VM takes a
 * token and later sends the request. docs/design/cold.md has the argument; the Go code
 * is pkg/warm, internal/cold and internal/limit. Lost and repeated messages between
 * VMs are in rate.pml.
 *
 * A VM that takes no step is frozen or cut off. A restarted one has lost its memory and
 * takes its slice over at once, while tokens that it lent may be in use; so does another
 * VM here, which in the program waits for their lifetime. The database restarts once, at
 * any moment; before, it was warm.
 *
 * Property: a token bucket of the same rate, with a burst larger by what is minted
 * during the lifetimes of a grant and of a permit, that counts every request that
 * reaches the cold database never goes below zero.
 *
 * Each macro below removes a safeguard, except for the last one, which removes an
 * assumption:
 *  NO_DEADLINE     a VM uses its slice after the lease's deadline
 *  STEADY_CLOCK    the deadline is read from a clock that stops while the VM is frozen
 *  NO_RESERVE      the burst leaves no room for what is minted during the lifetimes
 *  NO_PERMIT_AGE   a request is sent however long ago it was admitted
 *  INITIAL_TOKENS  a bucket begins with its burst after each restart
 *  UNKNOWN_IS_WARM a database of whose process nothing is known counts as warm
 *  KEEP_REPORT     a closed connection does not make a database's report doubtful
 *  EARLY_REPORT    a report ends the doubt that the former process may have written
 *  NO_CONNECTION   a VM that knows a database as warm has no connection when that restarts
 */
// safeguard: NO_DEADLINE
// safeguard: STEADY_CLOCK
// safeguard: NO_RESERVE
// safeguard: NO_PERMIT_AGE
// safeguard: INITIAL_TOKENS
// safeguard: UNKNOWN_IS_WARM
// safeguard: KEEP_REPORT
// safeguard: EARLY_REPORT
// safeguard: NO_CONNECTION

#define BURST 1
#define GRANT 1     /* ticks; a right may be used in the tick in which it was given and in the next one */
#define PERMIT 1
#ifdef NO_RESERVE
#define REFERENCE_BURST BURST
#else
#define REFERENCE_BURST 3 /* BURST + GRANT + PERMIT */
#endif
#define LEASE_TTL 2 /* ticks */
#define MAX_RESTARTS 2
#define NO_VM 2

#ifdef NO_DEADLINE
#define IN_LEASE(v) true
#else
#define IN_LEASE(v) (deadline[v] > 0)
#endif
#ifdef INITIAL_TOKENS
#define INITIAL BURST
#else
#define INITIAL 0
#endif
#ifdef UNKNOWN_IS_WARM
#define TAKEN_FOR_WARM(v) (report[v] != COLD)
#else
#define TAKEN_FOR_WARM(v) (report[v] == WARM)
#endif
#ifdef STEADY_CLOCK
#define RUNS(v) (!frozen[v])
#else
#define RUNS(v) true
#endif
#define USABLE(v) (holds[v] && IN_LEASE(v) && RUNS(v))

/* reports */
#define NONE 0
#define WARM 1 /* of the former process */
#define COLD 2 /* of the present process */
/* connections */
#define OPEN 1
#define DEAD 2 /* the database has closed it */

/* the store */
byte key_holder = NO_VM;
byte lease_left; /* ticks */

/* the VMs */
bool holds[2];
byte deadline[2];   /* ticks for which the VM may use the slice */
bool frozen[2];     /* only with STEADY_CLOCK: the VM's clock stands still */
byte level[2];
byte permits_new[2], permits_old[2]; /* admitted requests that are not sent yet */
byte report[2];
byte connection[2];
bool doubted[2];    /* it has found its connection closed */
byte restarts;      /* of VMs */

/* tokens lent by the holder, which count against its burst until they end */
byte loan, loan_left; /* ticks */
bool loan_counted;    /* the lender has not restarted since */

bool restarted;     /* the database is cold */
byte reference_level = REFERENCE_BURST;

inline reach() {
	if
	:: restarted -> assert(reference_level > 0); reference_level--
	:: else
	fi
}

inline advance_vm(v) {
	if :: holds[v] && level[v] + (loan_counted -> 1 : 0) < BURST -> level[v]++ :: else fi;
	if :: deadline[v] > 0 && RUNS(v) -> deadline[v]-- :: else fi;
#ifdef NO_PERMIT_AGE
	if :: permits_old[v] + permits_new[v] <= 3 -> permits_old[v] = permits_old[v] + permits_new[v] :: else fi;
#else
	permits_old[v] = permits_new[v];
#endif
	permits_new[v] = 0
}

inline tick() {
	advance_vm(0); advance_vm(1);
	if :: reference_level < REFERENCE_BURST -> reference_level++ :: else fi;
	if
	:: loan_left == 1 -> loan_left = 0; loan = 0; loan_counted = false
	:: loan_left > 1 -> loan_left--
	:: else
	fi;
	if
	:: lease_left == 1 -> lease_left = 0; key_holder = NO_VM
	:: lease_left > 1 -> lease_left--
	:: else
	fi
}

/*
 * Steps of VM v, in the order below:
 *  - claim the slice, renew the lease, or learn that it has ended;
 *  - restart under the same id;
 *  - admit a request with a token of its own or a lent one, or lend;
 *  - send an admitted request;
 *  - connect, read a report, find its connection closed;
 *  - send a request without a token.
 */
#define VM_STEPS(v) \
	:: d_step { key_holder == NO_VM && !holds[v] -> key_holder = v; lease_left = LEASE_TTL; \
		holds[v] = true; deadline[v] = LEASE_TTL; level[v] = 0 } \
	:: d_step { key_holder == v && holds[v] && deadline[v] < LEASE_TTL -> lease_left = LEASE_TTL; deadline[v] = LEASE_TTL } \
	:: d_step { key_holder != v && holds[v] -> holds[v] = false; level[v] = 0; deadline[v] = 0; \
		if :: loan_counted -> loan_counted = false :: else fi } \
	:: d_step { key_holder == v && USABLE(v) && restarts < MAX_RESTARTS -> restarts++; \
		level[v] = INITIAL; loan_counted = false; permits_new[v] = 0; permits_old[v] = 0; \
		report[v] = NONE; connection[v] = NONE; doubted[v] = false; deadline[v] = LEASE_TTL; lease_left = LEASE_TTL } \
	:: d_step { USABLE(v) && level[v] > 0 -> level[v]--; permits_new[v]++ } \
	:: d_step { loan > 0 -> loan--; permits_new[v]++ } \
	:: d_step { USABLE(v) && level[v] > 0 && loan_left == 0 -> loan = level[v]; level[v] = 0; loan_left = GRANT + 1; loan_counted = true } \
	:: d_step { permits_new[v] > 0 -> permits_new[v]--; reach() } \
	:: d_step { permits_old[v] > 0 -> permits_old[v]--; reach() } \
	:: d_step { connection[v] == NONE -> connection[v] = OPEN } \
	:: d_step { restarted && report[v] != COLD -> report[v] = COLD; doubted[v] = false } \
	:: d_step { MAY_READ_FORMER(v) -> report[v] = WARM; doubted[v] = false; FORMER_CONNECTION(v) } \
	:: d_step { connection[v] == DEAD -> connection[v] = NONE; doubted[v] = true; DOUBT(v) } \
	:: d_step { connection[v] == OPEN && restarted && TAKEN_FOR_WARM(v) -> reach() } \
	FREEZE(v)

#ifdef STEADY_CLOCK
#define FREEZE(v) :: d_step { frozen[v] = !frozen[v] }
#else
#define FREEZE(v)
#endif

#ifdef EARLY_REPORT
#define MAY_READ_FORMER(v) (report[v] == NONE && (!restarted || doubted[v]))
#else
#define MAY_READ_FORMER(v) (report[v] == NONE && !restarted)
#endif
#ifdef NO_CONNECTION
#define FORMER_CONNECTION(v) skip
#else
#define FORMER_CONNECTION(v) if :: !restarted -> connection[v] = OPEN :: else fi
#endif
#ifdef KEEP_REPORT
#define DOUBT(v) skip
#else
#define DOUBT(v) if :: report[v] == WARM -> report[v] = NONE :: else fi
#endif

inline restart_database() {
	restarted = true;
	if :: connection[0] == OPEN -> connection[0] = DEAD :: else fi;
	if :: connection[1] == OPEN -> connection[1] = DEAD :: else fi
}

active proctype fleet() {
	do
	:: d_step { tick() }
	VM_STEPS(0)
	VM_STEPS(1)
	:: d_step { !restarted -> restart_database() }
	od
}
