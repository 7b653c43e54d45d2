/* Distribution of the catalogue's versions and of the withdrawal of a key.
 *
 * The model has a store with compare-and-swap, two operators and three VMs in
 * two zones. One VM may restart once. Messages may be late, replayed or lost.
 *
 * VMs 0 and 1 are in zone A and VM 2 is in zone B. VM 0 stands for the relay,
 * but any VM may read the store, and any VM may receive an old version again, as
 * in a replayed answer of the relay or of the store. A network partition needs no
 * state of its own: each exchange between zones or with the store may happen or
 * not at any time. VMs of one zone exchange versions at least once a tick. Ages
 * are counted in ticks. An answer of the store can be late by any number of
 * ticks; at most one such answer is under way. Exchanges between VMs take no time.
 *
 * Properties:
 *  P1 A VM never goes to a lower version while it runs. After a restart it does
 *     not serve with a lower version than it served before, as far as another
 *     VM had that version too.
 *  P2 No VM serves a withdrawn key more than MAX_STALE ticks after the
 *     withdrawal was reported to its operator as done, which is when two VMs
 *     have the version.
 *  P3 An accepted version is never replaced by another one of the same number,
 *     and no later version undoes the withdrawal.
 *
 * Each macro below removes a safeguard:
 *  NO_COMPARE  a VM takes any version that differs from its own, also a lower one
 *  NO_CAS      the store accepts an edit whatever its base version
 *  NO_BOOT     a restarted VM serves after one peer's answer, not after a majority's
 *  NO_CUTOFF   a VM serves keyed routes however old its proof is
 *  NO_CONFIRM  an edit is reported as done before a second VM has it
 *  NO_SERVING  a peer that has not finished its start counts as evidence that the
 *              store is down
 */
// safeguard: NO_COMPARE
// safeguard: NO_CAS
// safeguard: NO_BOOT
// safeguard: NO_CUTOFF
// safeguard: NO_CONFIRM
// safeguard: NO_SERVING

#define VMS 3
#define MAX_VERSION 3           /* versions 1 to 3: two edits */
#define MAX_STALE 1             /* ticks */
#define AGE_CAP (MAX_STALE + 1) /* ages count no further than this */
#define CONTACT_TIMEOUT 1       /* ticks after which a zone has lost contact with the store */
#define NO_VM 3
#define ZONE(i) (i / 2)
#define PEER(i, k) ((i + k) % VMS)

#ifdef NO_SERVING
#define SERVING(j) true
#else
#define SERVING(j) started[j]
#endif

#define NO_CONTACT (contact_age[0] >= CONTACT_TIMEOUT && contact_age[1] >= CONTACT_TIMEOUT)

#ifdef NO_CUTOFF
#define NOT_CUT_OFF(i) true
#else
#define NOT_CUT_OFF(i) (proof_age[i] <= MAX_STALE || store_down_age[i] <= MAX_STALE)
#endif

byte store_version = 1;
bool withdrawn[MAX_VERSION + 1]; /* whether a version withdraws the key */

byte version[VMS] = 1;    /* version that the VM has; 0 after a restart */
bool started[VMS] = true; /* the VM has finished its start */
byte proof_age[VMS];      /* age of the proof that store_version is not above version */
byte store_down_age[VMS] = AGE_CAP; /* age of the certificate that no zone can reach the store */
byte contact_age[2];      /* ticks since a zone's last contact with the store */

byte reading_vm = NO_VM;  /* VM whose read of the store is under way */
byte read_version;        /* version that the read returns */
byte read_age;            /* ticks since the read was sent */

byte shared_version = 1;  /* highest version that two VMs had */
bool reported;            /* the withdrawal was reported as done */
byte report_age;          /* ticks since the report */
bool restarted;
byte min_version;         /* lowest version with which the restarted VM may serve (P1) */
byte answered_peers;      /* bit set of the peers that answered the restarted VM */

/* record_shared updates shared_version and reports the withdrawal as done. */
inline record_shared() {
  if
  :: version[0] > shared_version && (version[1] >= version[0] || version[2] >= version[0]) -> shared_version = version[0]
  :: else
  fi;
  if
  :: version[1] > shared_version && (version[0] >= version[1] || version[2] >= version[1]) -> shared_version = version[1]
  :: else
  fi;
  if
#ifdef NO_CONFIRM
  :: withdrawn[store_version] && !reported -> reported = true; report_age = 0
#else
  :: withdrawn[shared_version] && !reported -> reported = true; report_age = 0
#endif
  :: else
  fi
}

/* apply gives VM i the version v with a proof of age a. */
inline apply(i, v, a) {
  if
#ifdef NO_COMPARE
  :: v != version[i] ->
#else
  :: v > version[i] ->
#endif
    assert(!started[i] || v > version[i]);  /* P1 */
    version[i] = v;
    proof_age[i] = a
  :: v == version[i] && a < proof_age[i] -> proof_age[i] = a
  :: else
  fi;
  record_shared()
}

/* finish_start lets a restarted VM serve. */
inline finish_start(i) {
  assert(version[i] >= min_version);  /* P1 */
  started[i] = true;
  answered_peers = 0
}

/* handle_answer lets VM i process an answer of VM j. */
inline handle_answer(i, j) {
  if
  :: !started[i] && started[j] ->
    apply(i, version[j], AGE_CAP);
    answered_peers = answered_peers | (1 << j);
    if
#ifdef NO_BOOT
    :: true -> finish_start(i)
#else
    :: answered_peers == (7 ^ (1 << i)) -> finish_start(i)  /* the majority of two peers is both */
#endif
    :: else
    fi
  :: started[i] ->
    if
    :: version[j] > 0 -> apply(i, version[j], proof_age[j])
    :: else
    fi;
    if
    :: ZONE(i) != ZONE(j) && SERVING(j) && NO_CONTACT -> store_down_age[i] = 0
    :: else
    fi
  fi
}

/* An operator edits the catalogue through VM 0 or VM 2, starting from a version
 * that may be out of date. Operator 1 withdraws the key. */
proctype Operator(byte id) {
  byte base_version = 0;
  byte via = 0;
end:
  do
  :: atomic { store_version < MAX_VERSION && (started[0] || started[2]) ->
      if
      :: base_version = store_version
      :: store_version > 1 -> base_version = 1
      fi;
      if
      :: started[0] -> via = 0
      :: started[2] -> via = 2
      fi;
      contact_age[ZONE(via)] = 0;
      if
#ifdef NO_CAS
      :: true ->
#else
      :: base_version == store_version ->
#endif
        assert(base_version + 1 > store_version);  /* P3 */
        store_version = base_version + 1;
        withdrawn[store_version] = withdrawn[base_version] || id == 1;
        apply(via, store_version, 0);
        base_version = 0; via = 0;
        break
      :: base_version != store_version -> base_version = 0; via = 0  /* another edit came first */
      fi }
  od
}

proctype VM(byte i) {
end:
  do
  /* a read of the store is sent */
  :: d_step { reading_vm == NO_VM -> reading_vm = i; read_version = store_version; read_age = 0; contact_age[ZONE(i)] = 0 }
  /* the answer of the store arrives */
  :: d_step { reading_vm == i ->
      contact_age[ZONE(i)] = 0;
      apply(i, read_version, read_age);
      if
      :: !started[i] -> finish_start(i)
      :: else
      fi;
      reading_vm = NO_VM; read_version = 0; read_age = 0 }
  /* the answer of the store is lost */
  :: d_step { reading_vm == i -> reading_vm = NO_VM; read_version = 0; read_age = 0 }
  /* a peer answers */
  :: d_step { (started[i] || started[PEER(i, 1)]) -> handle_answer(i, PEER(i, 1)) }
  :: d_step { (started[i] || started[PEER(i, 2)]) -> handle_answer(i, PEER(i, 2)) }
  /* an old version arrives again */
  :: d_step { started[i] && store_version > 1 -> apply(i, 1, AGE_CAP) }
  :: d_step { started[i] && store_version > 2 -> apply(i, 2, AGE_CAP) }
  /* a keyed request is served */
  :: d_step { started[i] && reported && !withdrawn[version[i]] && NOT_CUT_OFF(i) -> assert(report_age <= MAX_STALE) }  /* P2 */
  /* the process restarts */
  :: d_step { started[i] && !restarted ->
      restarted = true;
      min_version = (version[i] < shared_version -> version[i] : shared_version);
      started[i] = false; version[i] = 0; proof_age[i] = AGE_CAP; store_down_age[i] = AGE_CAP; answered_peers = 0;
      if
      :: reading_vm == i -> reading_vm = NO_VM; read_version = 0; read_age = 0
      :: else
      fi }
  od
}

/* Ages stop at AGE_CAP, which keeps the model finite. */
inline increment_age(a) {
  if
  :: a < AGE_CAP -> a++
  :: else
  fi
}

/* A tick passes for all, and the VMs of zone A exchange their versions. */
proctype Clock() {
end:
  do
  :: d_step {
      increment_age(proof_age[0]); increment_age(proof_age[1]); increment_age(proof_age[2]);
      increment_age(store_down_age[0]); increment_age(store_down_age[1]); increment_age(store_down_age[2]);
      if
      :: contact_age[0] < CONTACT_TIMEOUT -> contact_age[0]++
      :: else
      fi;
      if
      :: contact_age[1] < CONTACT_TIMEOUT -> contact_age[1]++
      :: else
      fi;
      if
      :: reading_vm != NO_VM -> increment_age(read_age)
      :: else
      fi;
      if
      :: reported -> increment_age(report_age)
      :: else
      fi;
      if
      :: started[0] && started[1] && version[0] > version[1] -> apply(1, version[0], proof_age[0])
      :: started[0] && started[1] && version[1] > version[0] -> apply(0, version[1], proof_age[1])
      :: else
      fi }
  od
}

init {
  atomic {
    withdrawn[1] = false;
    run Operator(1);
    run Operator(2);
    run VM(0);
    run VM(1);
    run VM(2);
    run Clock()
  }
}
