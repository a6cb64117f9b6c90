/*
 * Slots of one endpoint, shared by the daemons of a data centre through the record slots/<dc> (Q3): shrink before grow, proof
 * that a member is gone, isolation of a silent member.
 *
 * There is one slot. Its owner is a function of the record; here it moves between d0 and d1 with each version while both
 * are members, as it can with any function of the members. A member may write a version without a change of this endpoint's
 * members, which stands for a change elsewhere. Members read the record, and tell each other what they hold (onAck), at any
 * time; what they know may be old. Requests in progress keep the slot until they end.
 *
 * Time: an isolated member (no store read and no reply from another member for isolationMs) stops; this is one step that the
 * member takes by its own clock. The others wait longer than that (waitOver) after the mark `removing` is acknowledged by
 * all others, and a wait implies that the isolated member has stopped and its requests have ended.
 *
 * Safety: at most one daemon uses the slot (I11). Progress (-DNO_FAULTS=1): after a member leaves by goodbye, the next owner
 * can use the slot.
 *
 * Each rule can be removed with -D<name>=1: NO_ACK_WAIT, NO_EXACT_VERSION, NO_BUSY_REPORT, NO_GONE_PROOF, NO_ISOLATION,
 * NO_REMOVING_STEP, NO_CAS.
 */
#ifndef DAEMONS
#define DAEMONS 3
#endif
#ifndef VERSIONS
#define VERSIONS 4 /* versions of the record */
#endif
#ifndef NO_FAULTS
#define NO_FAULTS 0
#endif
#ifndef NO_ACK_WAIT
#define NO_ACK_WAIT 0
#endif
#ifndef NO_EXACT_VERSION
#define NO_EXACT_VERSION 0
#endif
#ifndef NO_BUSY_REPORT
#define NO_BUSY_REPORT 0
#endif
#ifndef NO_GONE_PROOF
#define NO_GONE_PROOF 0
#endif
#ifndef NO_ISOLATION
#define NO_ISOLATION 0
#endif
#ifndef NO_REMOVING_STEP
#define NO_REMOVING_STEP 0
#endif
#ifndef NO_CAS
#define NO_CAS 0
#endif
#define DP(d, p) ((d) * DAEMONS + (p))
#define bit(d) (1 << (d))
#define ALL ((1 << DAEMONS) - 1)

/* --- Store --- */
byte storeVersion = 1, storeMembers = ALL;
byte storeRemoving; /* members marked removing */
byte markVersion;   /* version that marked */

/* --- Daemons --- */
byte version[DAEMONS], members[DAEMONS], removing[DAEMONS]; /* record in force */
bool isGranted[DAEMONS]; /* the owned slot may be used */
bool inUse[DAEMONS];     /* a request is in progress on it */
bool isStopped[DAEMONS]; /* isolated, closed or dead: starts no request */
bool isGone[DAEMONS];    /* proved gone: goodbye was sent with the slot idle, or the process ended */
byte ackVersion[DAEMONS * DAEMONS]; /* what d knows of p: the version in force at p */
bool ackBusy[DAEMONS * DAEMONS];    /* ... and whether p uses the slot without owning it */
bool knowsGone[DAEMONS * DAEMONS];  /* proof that p is gone, known to d */
bool isWaited;                      /* the wait after the mark is over */

byte k, users;

#define owner(m, v) (((m) & 3) == 3 -> (v) & 1 : (((m) & 1) -> 0 : (((m) & 2) -> 1 : 2)))
/* p no longer blocks d: it acknowledged exactly the version of d with the slot idle, or is proved gone, or is not recorded. */
#define isClear(d, p) ((p) == (d) || (members[d] & bit(p)) == 0 || knowsGone[DP(d, p)] || \
    ((ackVersion[DP(d, p)] == version[d] || (NO_EXACT_VERSION && ackVersion[DP(d, p)] > version[d])) && \
     (!ackBusy[DP(d, p)] || NO_BUSY_REPORT)))
#if DAEMONS == 2
#define allClear(d) (isClear(d, 0) && isClear(d, 1))
#else
#define allClear(d) (isClear(d, 0) && isClear(d, 1) && isClear(d, 2))
#endif
/* Every other member that is not marked has acknowledged the mark. */
#define hasMark(d, p) ((p) == (d) || (members[d] & bit(p)) == 0 || (removing[d] & bit(p)) || \
    ackVersion[DP(d, p)] >= markVersion)
#if DAEMONS == 2
#define allHaveMark(d) (hasMark(d, 0) && hasMark(d, 1))
#else
#define allHaveMark(d) (hasMark(d, 0) && hasMark(d, 1) && hasMark(d, 2))
#endif

inline write(d, m, r)
{
    if
    :: storeVersion == version[d] || NO_CAS -> storeVersion = version[d] + 1;
        storeMembers = m; storeRemoving = r
    :: else
    fi
}

proctype Daemon(byte d)
{
    do
    /* onRecord: a higher version comes into force. A slot that is lost is given no new request. */
    :: atomic { !isGone[d] && !(isStopped[d] && !(storeMembers & bit(d))) && storeVersion > version[d] ->
        if
        :: owner(storeMembers, storeVersion) != d || owner(members[d], version[d]) != d -> isGranted[d] = false
        :: else
        fi;
        version[d] = storeVersion; members[d] = storeMembers; removing[d] = storeRemoving;
        if
        :: !(members[d] & bit(d)) || (removing[d] & bit(d)) -> isStopped[d] = true; isGranted[d] = false
        :: else
        fi;
        printf("d%d version %d members %d removing %d\n", d, version[d], members[d], removing[d]) }

    /* update: the gained slot is granted. */
    :: atomic { !isStopped[d] && !isGranted[d] && version[d] > 0 && owner(members[d], version[d]) == d && (NO_ACK_WAIT || allClear(d)) ->
        isGranted[d] = true; printf("d%d is granted the slot at version %d\n", d, version[d]) }

    /* acquire, release */
    :: atomic { isGranted[d] && !isStopped[d] && !inUse[d] ->
        inUse[d] = true; users++; printf("d%d uses the slot\n", d);
        assert(users <= 1) /* I11 */ }
    :: atomic { inUse[d] -> inUse[d] = false; users--; printf("d%d ends its use\n", d) }

    /* closeTable, goodbye: the slot is idle; the record is written without this daemon. */
    :: atomic { d < DAEMONS - 1 && !isGone[d] && !isStopped[d] && !inUse[d] && version[d] > 0 && version[d] < VERSIONS ->
        isStopped[d] = true; isGranted[d] = false; isGone[d] = true; printf("d%d says goodbye\n", d) }

#if !NO_FAULTS
    /* proposeRecord: a change elsewhere. */
    :: atomic { !isStopped[d] && version[d] > 0 && version[d] < VERSIONS && (storeVersion == version[d] || NO_CAS) ->
        write(d, members[d], removing[d]); printf("d%d writes version %d\n", d, storeVersion) }

    /* Isolation: no contact for isolationMs; a request in progress may go on for a while. */
    :: atomic { !NO_ISOLATION && !isStopped[d] && d == 0 && version[d] > 0 -> isStopped[d] = true;
        printf("d%d is isolated and stops\n", d) }
    /* The member has contact again and is still recorded without a mark. */
    :: atomic { isStopped[d] && !isGone[d] && (storeMembers & bit(d)) && !(storeRemoving & bit(d)) && version[d] == storeVersion ->
        isStopped[d] = false; printf("d%d has contact again\n", d) }

    /* proposeRecord: a silent member is marked; it is dropped after the wait. */
    :: atomic { d != 0 && !isStopped[d] && version[d] > 0 && version[d] < VERSIONS && (members[d] & bit(0)) && removing[d] == 0 &&
        !NO_REMOVING_STEP && storeVersion == version[d] ->
        write(d, members[d], bit(0)); markVersion = storeVersion; isWaited = false; printf("d%d marks d0\n", d) }
    :: atomic { d != 0 && !isStopped[d] && version[d] > 0 && version[d] < VERSIONS && (members[d] & bit(0)) &&
        ((removing[d] != 0 && isWaited) || NO_REMOVING_STEP) && storeVersion == version[d] ->
        write(d, members[d] & (ALL - bit(0)), 0); printf("d%d drops d0\n", d) }
    /* The wait is over: longer than isolation and the longest request. The marked member had no contact with a member that
       has not acknowledged the mark, so it has stopped by its own clock or has read the mark. */
    :: atomic { d != 0 && removing[d] != 0 && !isWaited && allHaveMark(d) && version[d] == storeVersion ->
        isWaited = true; printf("d%d wait over\n", d);
        if
        :: !NO_ISOLATION ->
            isStopped[0] = true; isGranted[0] = false;
            if
            :: inUse[0] -> inUse[0] = false; users--
            :: else
            fi
        :: NO_ISOLATION
        fi }
#endif

    /* proposeRecord: a member that is proved gone is removed. */
    :: atomic { !isStopped[d] && version[d] > 0 && version[d] < VERSIONS && (storeVersion == version[d] || NO_CAS) &&
        ((knowsGone[DP(d, 0)] && (members[d] & 1)) || (knowsGone[DP(d, 1)] && (members[d] & 2))) ->
        if
        :: knowsGone[DP(d, 0)] && (members[d] & 1) -> write(d, members[d] & (ALL - 1), removing[d] & (ALL - 1))
        :: knowsGone[DP(d, 1)] && (members[d] & 2) -> write(d, members[d] & (ALL - 2), removing[d] & (ALL - 2))
        fi;
        printf("d%d removes a member that is gone\n", d) }
    od
}

/* onAck, onGone: d learns the state of p; the message may be old when d acts on it. */
proctype Acknowledge(byte d; byte p)
{
    do
    :: atomic { !isGone[d] && !isGone[p] && version[p] > ackVersion[DP(d, p)] ->
        ackVersion[DP(d, p)] = version[p]; ackBusy[DP(d, p)] = (inUse[p] && owner(members[p], version[p]) != p) || isGranted[p] }
    :: atomic { !isGone[d] && !isGone[p] && version[p] == ackVersion[DP(d, p)] && ackBusy[DP(d, p)] !=
        ((inUse[p] && owner(members[p], version[p]) != p) || isGranted[p]) ->
        ackBusy[DP(d, p)] = (inUse[p] && owner(members[p], version[p]) != p) || isGranted[p] }
    :: atomic { !NO_GONE_PROOF && !isGone[d] && isGone[p] && !knowsGone[DP(d, p)] -> knowsGone[DP(d, p)] = true }
    od
}

init {
    atomic {
        byte d, p;
        for (d : 0 .. DAEMONS - 1) {
            run Daemon(d);
            for (p : 0 .. DAEMONS - 1) {
                if
                :: p != d -> run Acknowledge(d, p)
                :: else
                fi
            }
        }
        d = 0; p = 0
    }
}

#if NO_FAULTS
/* The last daemon never leaves. */
ltl progress { [] ((isGone[0] && isGone[1]) -> <> (isGranted[DAEMONS - 1])) }
#endif
