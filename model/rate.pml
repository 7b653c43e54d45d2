/*
 * Fleet-wide rate: one slice that mints 1 token a tick with a burst of 2, two
 * VMs that hold it in turn under store leases, and a borrower. Section 9 of the
 * design; the Go code is pkg/quota and internal/limit.
 *
 * A VM that takes no step is paused, and one that never steps again is dead, so
 * neither needs a state. A restarted VM has lost all it knew. Messages are lost
 * when they are never handled. Time passes in ticks, at any moment.
 *
 * Property: a token bucket of the same rate and burst that counts every
 * admission never goes below zero; then no window has more than
 * burst + rate * time admissions.
 */
// safeguard: NO_DEADLINE
// safeguard: NO_OUTSTANDING
// safeguard: NO_QUARANTINE
// safeguard: NO_STOP_FIRST
// safeguard: NO_EXPIRY
// safeguard: REFUND_TWICE

#define BURST 2
#define LEASE 3 /* ticks */
#define LIFE  2 /* ticks a grant may be used; the quarantine has the same length */
#define NONE  2 /* no VM */

#ifdef NO_QUARANTINE
#define WAIT 0
#else
#define WAIT LIFE
#endif
#ifdef NO_DEADLINE
#define IN_LEASE(v) true
#else
#define IN_LEASE(v) (deadline[v] > 0)
#endif
#ifdef NO_OUTSTANDING
#define ROOM(v) (level[v] < BURST)
#else
#define ROOM(v) (level[v] + young[v] + old[v] < BURST)
#endif
#ifdef NO_EXPIRY
#define VALID (left > 0 || grant == 3)
#else
#define VALID (left > 0)
#endif
#define USABLE(v) (holds[v] && wait[v] == 0 && IN_LEASE(v))

/* the store */
byte key = NONE;      /* the VM in the slice's key */
byte lease[2];        /* ticks left; 0 when there is none */
bool ended[2];        /* the lease that the VM knows has ended */
bool claiming[2];     /* a request to create the key is on its way */

/* the VMs */
bool holds[2];
bool known[2];        /* the VM knows a lease */
byte deadline[2];     /* ticks until which it may use the slice */
byte wait[2];         /* ticks of quarantine left */
byte level[2];
byte young[2], old[2]; /* lent tokens with 2 and 1 ticks left */
bool deleting[2];     /* a request to delete the key is on its way */

/* the borrower and its one grant */
byte grant;           /* 0 none, 1 asked, 2 reply on its way, 3 held, 4 settling */
byte lender;
byte size, unused;
byte left;            /* ticks until which the borrower may use it */
byte place;           /* where the lender counts it: 2 young, 1 old, 0 nowhere */

/* the bucket that checks the property */
byte bucket = BURST;

inline admit() {
	assert(bucket > 0);
	bucket--
}

inline forget() { grant = 0; size = 0; unused = 0; left = 0; place = 0; lender = 0 }

inline drop(v) {
	holds[v] = false; wait[v] = 0; level[v] = 0; young[v] = 0; old[v] = 0;
	if :: lender == v && grant >= 2 -> place = 0 :: else fi
}

inline pass(v) {
	if :: holds[v] && wait[v] == 0 && ROOM(v) -> level[v]++ :: else fi;
	if :: wait[v] > 0 -> wait[v]-- :: else fi;
	old[v] = young[v]; young[v] = 0;
	if :: deadline[v] > 0 -> deadline[v]-- :: else fi;
	if
	:: lease[v] == 1 -> lease[v] = 0; ended[v] = true; if :: key == v -> key = NONE :: else fi
	:: lease[v] > 1 -> lease[v]--
	:: else
	fi
}

inline tick() {
	pass(0); pass(1);
	if :: bucket < BURST -> bucket++ :: else fi;
	if :: place > 0 -> place-- :: else fi;
	if :: left > 0 -> left-- :: else fi;
	if
	:: grant == 4 && place == 0 -> forget()
	:: grant > 0 && grant < 4 && !VALID -> forget()
	:: else
	fi
}

inline settle() {
	if :: place == 2 -> young[lender] = young[lender] - size
	   :: place == 1 -> old[lender] = old[lender] - size
	   :: else
	fi;
	if
	:: place > 0 ->
		level[lender] = level[lender] + unused;
		if :: level[lender] > BURST - young[lender] - old[lender] -> level[lender] = BURST - young[lender] - old[lender] :: else fi
	:: else
	fi;
#ifdef REFUND_TWICE
	if :: unused > 0 -> grant = 3; place = 0 :: else -> forget() fi
#else
	forget()
#endif
}

#ifdef NO_STOP_FIRST
#define RELEASE(v) holds[v] && !deleting[v] -> deleting[v] = true
#define RELEASED(v) deleting[v] && key != v -> deleting[v] = false; drop(v)
#else
#define RELEASE(v) holds[v] && !deleting[v] -> drop(v); deleting[v] = true
#define RELEASED(v) deleting[v] && key != v -> deleting[v] = false
#endif

/*
 * What a VM, or the store on its behalf, can do: get a lease or renew it, with the
 * answer lost, at once, or a tick after the sending; learn that the lease has
 * ended. Send a claim,
 * which may be handled late and more than once; take the answer, or read the key
 * back. Release. Restart under the same id. Use the slice or lend from it, also
 * for a request that comes twice.
 */
#define VM(v) \
	:: d_step { !known[v] -> lease[v] = LEASE; ended[v] = false } \
	:: d_step { !known[v] -> lease[v] = LEASE; ended[v] = false; known[v] = true; deadline[v] = LEASE } \
	:: d_step { known[v] && !ended[v] && lease[v] < LEASE -> lease[v] = LEASE } \
	:: d_step { known[v] && !ended[v] && deadline[v] < LEASE -> lease[v] = LEASE; deadline[v] = LEASE } \
	:: d_step { known[v] && !ended[v] && deadline[v] < LEASE-1 -> lease[v] = LEASE; deadline[v] = LEASE-1 } \
	:: d_step { known[v] && ended[v] -> known[v] = false; drop(v); deadline[v] = 0 } \
	:: d_step { known[v] && !holds[v] && !deleting[v] && !claiming[v] -> claiming[v] = true } \
	:: d_step { claiming[v] && key == NONE && lease[v] > 0 && !ended[v] -> key = v } \
	:: d_step { claiming[v] -> claiming[v] = false } \
	:: d_step { known[v] && !holds[v] && !deleting[v] && key == v -> holds[v] = true; wait[v] = WAIT; level[v] = 0 } \
	:: d_step { RELEASE(v) } \
	:: d_step { RELEASED(v) } \
	:: d_step { deleting[v] && key == v -> key = NONE } \
	:: d_step { known[v] -> drop(v); known[v] = false; deadline[v] = 0; deleting[v] = false } \
	:: d_step { USABLE(v) && level[v] > 0 -> admit(); level[v]-- } \
	:: d_step { USABLE(v) && level[v] > 0 && grant == 1 && lender == v -> \
		size = level[v]; unused = size; young[v] = young[v] + size; level[v] = 0; place = 2; grant = 2 } \
	:: d_step { USABLE(v) && level[v] > 0 && grant >= 2 && lender == v && place < 2 -> \
		young[v] = young[v] + level[v]; level[v] = 0 }

active proctype fleet() {
	do
	:: d_step { tick() }
	VM(0)
	VM(1)
	/* the borrower */
	:: d_step { grant == 0 -> grant = 1; lender = 0; left = LIFE }
	:: d_step { grant == 0 -> grant = 1; lender = 1; left = LIFE }
	:: d_step { grant == 2 -> grant = 3 }
	:: d_step { grant == 3 && VALID && unused > 0 -> admit(); unused--; if :: unused == 0 -> grant = 4 :: else fi }
	:: d_step { grant == 3 && unused > 0 -> grant = 4 } /* gives the rest back */
	:: d_step { grant == 4 && place > 0 && USABLE(lender) -> settle() }
	/* a lost message or borrower: the grant ends with its time */
	od
}
