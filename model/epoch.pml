/*
 * A right that VMs hold under leases of a store which may be restored from an older
 * copy: a rate slice, or the claim of a failover. docs/platform.md, "A restored store",
 * has the argument; the Go code is internal/epoch, internal/limit and internal/lead.
 *
 * Three VMs. A VM that takes no step is suspended, dead or cut off from the store. Each
 * call to the store is one step, in which the VM hears of the epoch. Time passes in
 * ticks, at any moment. A restart of a VM is left out: what a VM takes over from its own
 * former process is not covered.
 *
 * Property: no two VMs may use the right at once.
 *
 * Each macro below removes a safeguard:
 *  NO_WAIT          a free right is claimed at once after a restoration
 *  WAIT_ONCE        a wait that began before another restoration counts for it
 *  KEEP_FOR_GOOD    a VM writes its right again after the deadline that it was told
 */
// safeguard: NO_WAIT
// safeguard: WAIT_ONCE
// safeguard: KEEP_FOR_GOOD

#define TTL 2           /* ticks of a lease, and of the wait */
#define MAX_RESTORES 2
#define VMS 3
#define NO_VM 3

/* the store */
byte epoch = 1;
byte holder = NO_VM;    /* the VM named in the right's key */
byte record_epoch;      /* the epoch in which the key was written */
byte lease_left;        /* ticks of the key's lease */
byte begun;             /* the epoch in which the wait was last begun; 0 for never */
byte wait_left;         /* ticks of the lease under which rights wait */

/* the copy */
bool copied;
byte c_holder, c_record_epoch, c_lease_left, c_begun, c_wait_left;

/* the VMs */
byte deadline[VMS];     /* ticks for which the VM may still use the right */
byte lease_epoch[VMS];  /* the epoch in which it was granted; 0 if the VM holds none */

#define BEGIN_WAIT (begun != epoch)
#ifdef NO_WAIT
#define SETTLED true
#else
#define SETTLED (epoch == 1 || begun == epoch && wait_left == 0)
#endif
#ifdef WAIT_ONCE
#undef SETTLED
#define SETTLED (epoch == 1 || begun > 0 && wait_left == 0)
#undef BEGIN_WAIT
#define BEGIN_WAIT (begun == 0)
#endif
#define OLDER_RECORD (holder == NO_VM || record_epoch < epoch)
#ifdef KEEP_FOR_GOOD
#define KEPT(v) (lease_epoch[v] > 0 && lease_epoch[v] < epoch)
#else
#define KEPT(v) (lease_epoch[v] > 0 && lease_epoch[v] < epoch && deadline[v] > 0)
#endif

inline check() {
	assert((deadline[0] > 0) + (deadline[1] > 0) + (deadline[2] > 0) <= 1)
}

inline grant(v) {
	holder = v; record_epoch = epoch; lease_left = TTL;
	deadline[v] = TTL; lease_epoch[v] = epoch;
	check()
}

/* A VM that holds no right of this epoch looks whether it may write the key. */
inline claim(v) {
	if
	:: epoch > 1 && BEGIN_WAIT -> begun = epoch; wait_left = TTL
	:: else
	fi;
	if
	:: KEPT(v) && OLDER_RECORD -> grant(v)
	:: KEPT(v) && !OLDER_RECORD -> deadline[v] = 0; lease_epoch[v] = 0
	:: !KEPT(v) && holder == NO_VM && SETTLED -> grant(v)
	:: else
	fi
}

inline tick_vm(v) {
	if :: deadline[v] > 0 -> deadline[v]-- :: else fi
}

proctype vm(byte v) {
	do
	:: atomic { lease_epoch[v] != epoch || deadline[v] == 0 -> claim(v) }
	:: atomic { lease_epoch[v] == epoch && deadline[v] > 0 && holder == v ->
		lease_left = TTL; deadline[v] = TTL }
	:: atomic { lease_epoch[v] == epoch && deadline[v] > 0 && holder == v ->
		holder = NO_VM; lease_left = 0; deadline[v] = 0; lease_epoch[v] = 0 }
	od
}

proctype time_passes() {
	do
	:: atomic {
		tick_vm(0); tick_vm(1); tick_vm(2);
		if
		:: lease_left == 1 -> lease_left = 0; holder = NO_VM
		:: lease_left > 1 -> lease_left--
		:: else
		fi;
		if :: wait_left > 0 -> wait_left-- :: else fi
	}
	od
}

proctype operator() {
	byte restores = 0;
	do
	:: atomic { c_holder = holder; c_record_epoch = record_epoch; c_lease_left = lease_left;
		c_begun = begun; c_wait_left = wait_left; copied = true }
	:: atomic { copied && restores < MAX_RESTORES ->
		holder = c_holder; record_epoch = c_record_epoch; lease_left = c_lease_left;
		begun = c_begun; wait_left = c_wait_left; epoch++; restores++ }
	/* the store may end a lease of the copy early */
	:: atomic { holder != NO_VM && record_epoch < epoch -> holder = NO_VM; lease_left = 0 }
	od
}

init {
	atomic { run vm(0); run vm(1); run vm(2); run time_passes(); run operator() }
}
