/*
 * Fleet-wide rate limit: one slice that mints 1 token a tick with a burst of 2,
 * two VMs that hold it in turn under store leases, and a borrower. Section 9 of
 * the design has the argument; the Go code is pkg/quota and internal/limit.
 *
 * A VM that takes no step is suspended, and one that takes no further step is
 * dead, so neither needs a state. A restarted VM has lost its memory. A message is
 * lost when it is never handled. Time passes in ticks, at any moment.
 *
 * Property: a token bucket of the same rate and burst that counts every
 * admission never goes below zero. Then no time window has more than
 * burst + rate * time admissions.
 *
 * Each macro below removes a safeguard:
 *  NO_DEADLINE     a VM uses its slice after the lease's deadline
 *  NO_OUTSTANDING  a bucket is filled up to the burst, not counting lent tokens
 *  NO_QUARANTINE   a new holder uses the slice while its predecessor's grants may be in use
 *  NO_STOP_FIRST   a VM uses its slice until the deletion of the key is answered
 *  NO_EXPIRY       the borrower uses a grant after its lifetime
 *  REFUND_TWICE    tokens that the borrower returns stay usable at the borrower too
 */
// safeguard: NO_DEADLINE
// safeguard: NO_OUTSTANDING
// safeguard: NO_QUARANTINE
// safeguard: NO_STOP_FIRST
// safeguard: NO_EXPIRY
// safeguard: REFUND_TWICE

#define BURST 2
#define LEASE_TTL 3      /* ticks */
#define GRANT_LIFETIME 2 /* ticks; the quarantine has the same length */
#define NO_VM 2

#ifdef NO_QUARANTINE
#define QUARANTINE 0
#else
#define QUARANTINE GRANT_LIFETIME
#endif
#ifdef NO_DEADLINE
#define IN_LEASE(v) true
#else
#define IN_LEASE(v) (deadline[v] > 0)
#endif
#ifdef NO_OUTSTANDING
#define HAS_ROOM(v) (level[v] < BURST)
#else
#define HAS_ROOM(v) (level[v] + lent_new[v] + lent_old[v] < BURST)
#endif
#ifdef NO_EXPIRY
#define GRANT_VALID (grant_left > 0 || grant_state == 3)
#else
#define GRANT_VALID (grant_left > 0)
#endif
#define SLICE_USABLE(v) (holds_slice[v] && quarantine[v] == 0 && IN_LEASE(v))

/* the store */
byte key_holder = NO_VM; /* the VM named in the slice's key */
byte lease_left[2];      /* ticks; 0 for no lease */
bool lease_ended[2];     /* the lease that the VM knows has ended */
bool claim_pending[2];   /* a request to create the key is under way */

/* the VMs */
bool holds_slice[2];
bool knows_lease[2];
byte deadline[2];        /* ticks for which the VM may still use the slice */
byte quarantine[2];      /* ticks left */
byte level[2];           /* tokens in the bucket */
byte lent_new[2], lent_old[2]; /* lent tokens with 2 and 1 ticks left */
bool delete_pending[2];  /* a request to delete the key is under way */

/* the borrower and its one grant */
byte grant_state;        /* 0 none, 1 requested, 2 reply under way, 3 held, 4 being settled */
byte lender;
byte grant_size, grant_unused; /* tokens */
byte grant_left;         /* ticks for which the borrower may still use the grant */
byte lent_ticks;         /* ticks for which the lender counts the grant: 2 in lent_new, 1 in lent_old, 0 no longer */

/* level of the bucket that checks the property */
byte reference_level = BURST;

inline admit() {
	assert(reference_level > 0);
	reference_level--
}

inline clear_grant() { grant_state = 0; grant_size = 0; grant_unused = 0; grant_left = 0; lent_ticks = 0; lender = 0 }

/* VM v stops holding the slice and no longer counts the tokens that it has lent. */
inline drop_slice(v) {
	holds_slice[v] = false; quarantine[v] = 0; level[v] = 0; lent_new[v] = 0; lent_old[v] = 0;
	if :: lender == v && grant_state >= 2 -> lent_ticks = 0 :: else fi
}

/* A tick passes for VM v and its lease. */
inline advance_vm(v) {
	if :: holds_slice[v] && quarantine[v] == 0 && HAS_ROOM(v) -> level[v]++ :: else fi;
	if :: quarantine[v] > 0 -> quarantine[v]-- :: else fi;
	lent_old[v] = lent_new[v]; lent_new[v] = 0;
	if :: deadline[v] > 0 -> deadline[v]-- :: else fi;
	if
	:: lease_left[v] == 1 -> lease_left[v] = 0; lease_ended[v] = true; if :: key_holder == v -> key_holder = NO_VM :: else fi
	:: lease_left[v] > 1 -> lease_left[v]--
	:: else
	fi
}

inline tick() {
	advance_vm(0); advance_vm(1);
	if :: reference_level < BURST -> reference_level++ :: else fi;
	if :: lent_ticks > 0 -> lent_ticks-- :: else fi;
	if :: grant_left > 0 -> grant_left-- :: else fi;
	if
	:: grant_state == 4 && lent_ticks == 0 -> clear_grant()
	:: grant_state > 0 && grant_state < 4 && !GRANT_VALID -> clear_grant()
	:: else
	fi
}

/* The lender takes back the unused tokens of the grant. */
inline settle() {
	if :: lent_ticks == 2 -> lent_new[lender] = lent_new[lender] - grant_size
	   :: lent_ticks == 1 -> lent_old[lender] = lent_old[lender] - grant_size
	   :: else
	fi;
	if
	:: lent_ticks > 0 ->
		level[lender] = level[lender] + grant_unused;
		if :: level[lender] > BURST - lent_new[lender] - lent_old[lender] ->
			level[lender] = BURST - lent_new[lender] - lent_old[lender]
		   :: else
		fi
	:: else
	fi;
#ifdef REFUND_TWICE
	if :: grant_unused > 0 -> grant_state = 3; lent_ticks = 0 :: else -> clear_grant() fi
#else
	clear_grant()
#endif
}

#ifdef NO_STOP_FIRST
#define BEGIN_RELEASE(v) holds_slice[v] && !delete_pending[v] -> delete_pending[v] = true
#define FINISH_RELEASE(v) delete_pending[v] && key_holder != v -> delete_pending[v] = false; drop_slice(v)
#else
#define BEGIN_RELEASE(v) holds_slice[v] && !delete_pending[v] -> drop_slice(v); delete_pending[v] = true
#define FINISH_RELEASE(v) delete_pending[v] && key_holder != v -> delete_pending[v] = false
#endif

/*
 * Steps of VM v, or of the store on its behalf, in the order below:
 *  - get or renew a lease, where the answer is lost, arrives at once, or arrives a
 *    tick after the request was sent; learn that the lease has ended;
 *  - send a claim, which the store may handle late and more than once; take the
 *    answer, or read the key back;
 *  - release the slice;
 *  - restart under the same id;
 *  - use the slice, or lend from it, also for a request that arrives twice.
 */
#define VM_STEPS(v) \
	:: d_step { !knows_lease[v] -> lease_left[v] = LEASE_TTL; lease_ended[v] = false } \
	:: d_step { !knows_lease[v] -> \
		lease_left[v] = LEASE_TTL; lease_ended[v] = false; knows_lease[v] = true; deadline[v] = LEASE_TTL } \
	:: d_step { knows_lease[v] && !lease_ended[v] && lease_left[v] < LEASE_TTL -> lease_left[v] = LEASE_TTL } \
	:: d_step { knows_lease[v] && !lease_ended[v] && deadline[v] < LEASE_TTL -> \
		lease_left[v] = LEASE_TTL; deadline[v] = LEASE_TTL } \
	:: d_step { knows_lease[v] && !lease_ended[v] && deadline[v] < LEASE_TTL-1 -> \
		lease_left[v] = LEASE_TTL; deadline[v] = LEASE_TTL-1 } \
	:: d_step { knows_lease[v] && lease_ended[v] -> knows_lease[v] = false; drop_slice(v); deadline[v] = 0 } \
	:: d_step { knows_lease[v] && !holds_slice[v] && !delete_pending[v] && !claim_pending[v] -> claim_pending[v] = true } \
	:: d_step { claim_pending[v] && key_holder == NO_VM && lease_left[v] > 0 && !lease_ended[v] -> key_holder = v } \
	:: d_step { claim_pending[v] -> claim_pending[v] = false } \
	:: d_step { knows_lease[v] && !holds_slice[v] && !delete_pending[v] && key_holder == v -> \
		holds_slice[v] = true; quarantine[v] = QUARANTINE; level[v] = 0 } \
	:: d_step { BEGIN_RELEASE(v) } \
	:: d_step { FINISH_RELEASE(v) } \
	:: d_step { delete_pending[v] && key_holder == v -> key_holder = NO_VM } \
	:: d_step { knows_lease[v] -> drop_slice(v); knows_lease[v] = false; deadline[v] = 0; delete_pending[v] = false } \
	:: d_step { SLICE_USABLE(v) && level[v] > 0 -> admit(); level[v]-- } \
	:: d_step { SLICE_USABLE(v) && level[v] > 0 && grant_state == 1 && lender == v -> \
		grant_size = level[v]; grant_unused = grant_size; lent_new[v] = lent_new[v] + grant_size; \
		level[v] = 0; lent_ticks = 2; grant_state = 2 } \
	:: d_step { SLICE_USABLE(v) && level[v] > 0 && grant_state >= 2 && lender == v && lent_ticks < 2 -> \
		lent_new[v] = lent_new[v] + level[v]; level[v] = 0 }

active proctype fleet() {
	do
	:: d_step { tick() }
	VM_STEPS(0)
	VM_STEPS(1)
	/* the borrower */
	:: d_step { grant_state == 0 -> grant_state = 1; lender = 0; grant_left = GRANT_LIFETIME }
	:: d_step { grant_state == 0 -> grant_state = 1; lender = 1; grant_left = GRANT_LIFETIME }
	:: d_step { grant_state == 2 -> grant_state = 3 }
	:: d_step { grant_state == 3 && GRANT_VALID && grant_unused > 0 ->
		admit(); grant_unused--; if :: grant_unused == 0 -> grant_state = 4 :: else fi }
	:: d_step { grant_state == 3 && grant_unused > 0 -> grant_state = 4 } /* returns the unused tokens */
	:: d_step { grant_state == 4 && lent_ticks > 0 && SLICE_USABLE(lender) -> settle() }
	/* when a message or the borrower is lost, the grant ends with its lifetime */
	od
}
