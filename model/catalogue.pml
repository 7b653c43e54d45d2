/* Versions of the catalogue and a withdrawn key: the store with
 * compare-and-swap, two operators, three VMs in two zones, of which one may
 * restart once, and messages that are late, replayed or lost.
 *
 * VMs 0 and 1 are in zone A and VM 2 is in zone B. VM 0 stands for the relay:
 * any VM may read the store, and every VM may get an old version again, as a
 * replayed answer of the relay or of the store would bring it. A cut needs no
 * state of its own: every exchange between zones or with the store may happen
 * or not at any time. VMs of one zone exchange versions at least once a tick.
 * A tick is the unit of ages; max_stale is STALE ticks. An answer of the store
 * can be late by any number of ticks; at most one such answer is on its way.
 * Exchanges between VMs take no time.
 *
 * Properties:
 *  P1 a VM never goes to a lower version while it runs, and after a restart it
 *     does not serve with a lower version than it had served before, as far as
 *     another VM had that version too;
 *  P2 no VM serves a withdrawn key more than STALE ticks after the withdrawal
 *     was reported to its operator, which is when two VMs have the version;
 *  P3 an accepted version is never replaced by another one of its number, and
 *     no later version undoes the withdrawal.
 *
 * Each of these macros removes a safeguard:
 */
// safeguard: NO_COMPARE
// safeguard: NO_CAS
// safeguard: NO_BOOT
// safeguard: NO_CUTOFF
// safeguard: NO_CONFIRM
// safeguard: NO_SERVING

#define VMS 3
#define MAXV 3      /* versions 1 to 3: two edits */
#define STALE 1
#define OLD (STALE + 1) /* an age above STALE */
#define QUIET 1     /* ticks without contact after which a zone has none */
#define NOBODY 3
#define ZONE(i) (i / 2)
#define OTHER(i, k) ((i + k) % VMS)

#ifdef NO_SERVING
#define SERVING(j) true
#else
#define SERVING(j) up[j]
#endif

#define NOCONTACT (quiet[0] >= QUIET && quiet[1] >= QUIET)

#ifdef NO_CUTOFF
#define CURRENT(i) true
#else
#define CURRENT(i) (age[i] <= STALE || down[i] <= STALE)
#endif

byte stored = 1;        /* the store's version */
bool wd[MAXV + 1];  /* whether the key is withdrawn in a version */

byte ver[VMS] = 1;  /* version at hand */
bool up[VMS] = true; /* has finished its start */
byte age[VMS];      /* of the proof that the store's version is not above ver */
byte down[VMS] = OLD; /* age of the certificate that the store is down for all */
byte quiet[2];      /* ticks since a zone's last contact with the store */

byte reader = NOBODY; /* VM whose read of the store is on its way */
byte readVersion;
byte readAge;

byte shared = 1;    /* highest version that two VMs had */
bool reported;      /* the withdrawal was reported */
byte since;         /* ticks since then */
bool restarted;
byte least;         /* what the restarted VM may not go below */
byte answers;       /* peers that answered it, as bits */

inline note() {
  if
  :: ver[0] > shared && (ver[1] >= ver[0] || ver[2] >= ver[0]) -> shared = ver[0]
  :: else
  fi;
  if
  :: ver[1] > shared && (ver[0] >= ver[1] || ver[2] >= ver[1]) -> shared = ver[1]
  :: else
  fi;
  if
#ifdef NO_CONFIRM
  :: wd[stored] && !reported -> reported = true; since = 0
#else
  :: wd[shared] && !reported -> reported = true; since = 0
#endif
  :: else
  fi
}

/* apply takes version v, whose proof has age a. */
inline apply(i, v, a) {
  if
#ifdef NO_COMPARE
  :: v != ver[i] ->
#else
  :: v > ver[i] ->
#endif
    assert(!up[i] || v > ver[i]);  /* P1 */
    ver[i] = v;
    age[i] = a
  :: v == ver[i] && a < age[i] -> age[i] = a
  :: else
  fi;
  note()
}

/* start ends the start of a VM. */
inline start(i) {
  assert(ver[i] >= least);  /* P1 */
  up[i] = true;
  answers = 0
}

/* hear takes the answer of VM j. */
inline hear(i, j) {
  if
  :: !up[i] && up[j] ->
    apply(i, ver[j], OLD);
    answers = answers | (1 << j);
    if
#ifdef NO_BOOT
    :: true -> start(i)
#else
    :: answers == (7 ^ (1 << i)) -> start(i)  /* a majority of two peers is both */
#endif
    :: else
    fi
  :: up[i] ->
    if
    :: ver[j] > 0 -> apply(i, ver[j], age[j])
    :: else
    fi;
    if
    :: ZONE(i) != ZONE(j) && SERVING(j) && NOCONTACT -> down[i] = 0
    :: else
    fi
  fi
}

/* An operator edits the catalogue through VM 0 or VM 2, from a copy that may
 * be stale. Operator 1 withdraws the key. */
proctype Operator(byte me) {
  byte base = 0;
  byte via = 0;
end:
  do
  :: atomic { stored < MAXV && (up[0] || up[2]) ->
      if
      :: base = stored
      :: stored > 1 -> base = 1
      fi;
      if
      :: up[0] -> via = 0
      :: up[2] -> via = 2
      fi;
      quiet[ZONE(via)] = 0;
      if
#ifdef NO_CAS
      :: true ->
#else
      :: base == stored ->
#endif
        assert(base + 1 > stored);  /* P3 */
        stored = base + 1;
        wd[stored] = wd[base] || me == 1;
        apply(via, stored, 0);
        base = 0; via = 0;
        break
      :: base != stored -> base = 0; via = 0  /* lost the race */
      fi }
  od
}

proctype VM(byte i) {
end:
  do
  /* a read of the store is sent */
  :: d_step { reader == NOBODY -> reader = i; readVersion = stored; readAge = 0; quiet[ZONE(i)] = 0 }
  /* its answer arrives */
  :: d_step { reader == i ->
      quiet[ZONE(i)] = 0;
      apply(i, readVersion, readAge);
      if
      :: !up[i] -> start(i)
      :: else
      fi;
      reader = NOBODY; readVersion = 0; readAge = 0 }
  /* its answer is lost */
  :: d_step { reader == i -> reader = NOBODY; readVersion = 0; readAge = 0 }
  /* a peer answers */
  :: d_step { (up[i] || up[OTHER(i, 1)]) -> hear(i, OTHER(i, 1)) }
  :: d_step { (up[i] || up[OTHER(i, 2)]) -> hear(i, OTHER(i, 2)) }
  /* an old version arrives again */
  :: d_step { up[i] && stored > 1 -> apply(i, 1, OLD) }
  :: d_step { up[i] && stored > 2 -> apply(i, 2, OLD) }
  /* a keyed request is served */
  :: d_step { up[i] && reported && !wd[ver[i]] && CURRENT(i) -> assert(since <= STALE) }  /* P2 */
  /* the process restarts */
  :: d_step { up[i] && !restarted ->
      restarted = true;
      least = (ver[i] < shared -> ver[i] : shared);
      up[i] = false; ver[i] = 0; age[i] = OLD; down[i] = OLD; answers = 0;
      if
      :: reader == i -> reader = NOBODY; readVersion = 0; readAge = 0
      :: else
      fi }
  od
}

inline older(a) {
  if
  :: a < OLD -> a++
  :: else
  fi
}

/* Time passes for all, and the VMs of zone A have exchanged their versions. */
proctype Clock() {
end:
  do
  :: d_step {
      older(age[0]); older(age[1]); older(age[2]);
      older(down[0]); older(down[1]); older(down[2]);
      if
      :: quiet[0] < QUIET -> quiet[0]++
      :: else
      fi;
      if
      :: quiet[1] < QUIET -> quiet[1]++
      :: else
      fi;
      if
      :: reader != NOBODY -> older(readAge)
      :: else
      fi;
      if
      :: reported -> older(since)
      :: else
      fi;
      if
      :: up[0] && up[1] && ver[0] > ver[1] -> apply(1, ver[0], age[0])
      :: up[0] && up[1] && ver[1] > ver[0] -> apply(0, ver[1], age[1])
      :: else
      fi }
  od
}

init {
  atomic {
    wd[1] = false;
    run Operator(1);
    run Operator(2);
    run VM(0);
    run VM(1);
    run VM(2);
    run Clock()
  }
}
