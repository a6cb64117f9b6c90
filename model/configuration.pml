/*
 * Configuration: accept by compare-and-swap, relay to peers, evidence of bounded age before a task start, restart of
 * daemons, a daemon that joins, partitions and outages of the store for single daemons or for all.
 *
 * Revision 2 or higher takes the data centre out. Time is a counter. A message is answered at the time
 * when it was sent, and the answer arrives at any later time, or never: this covers pauses and slow links. A daemon reaches the
 * store or a peer, or not, at each step: this covers partitions and outages.
 *
 * Safety: no task starts more than MAX_AGE + START_LIMIT after the data centre was taken out (I4); revisions of a
 * running daemon and of the store never fall (I10). Progress (with -DNO_FAULTS=1): an accepted revision reaches all.
 * With -DREACH_AGREEMENT=1 the start by agreement must be found, which shows that the rule can hold at all.
 *
 * Each rule can be removed with -D<name>=1: NO_FRESHNESS, NO_SENT_TIME, NO_AGE_ADDED, NO_UNANIMITY, NO_UNRESOLVED, NO_RESOLVING_READ,
 * NO_PROVISIONAL, NO_JOIN_ACK, NO_REVISION_CHECK, NO_REVISION_CAS, NO_START_DEADLINE, NO_RELAY (progress).
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef RECORDED
#define RECORDED 2 /* daemons in the first record; the others join */
#endif
#ifndef TIME
#define TIME 4
#endif
#ifndef FAULTS
#define FAULTS 2 /* lost replies of an apply, restarts */
#endif
#ifndef REVISIONS
#define REVISIONS 2
#endif
#define STARTER 1 /* the daemon that starts tasks */
#ifndef MAY_ACCEPT
#define MAY_ACCEPT(d) (ALL_ACCEPT || ((d) != STARTER && (d) >= RECORDED - 2 * (DAEMONS == 2))) /* with 3 daemons: the one that joins */
#endif
#ifndef MAX_AGE
#define MAX_AGE 1 /* 2 s in the design; one step is enough to tell fresh from old */
#endif
#ifndef START_LIMIT
#define START_LIMIT 1
#endif
#ifndef NO_FAULTS
#define NO_FAULTS 0
#endif
#ifndef REACH_AGREEMENT
#define REACH_AGREEMENT 0
#endif
#ifndef NO_FRESHNESS
#define NO_FRESHNESS 0
#endif
#ifndef NO_SENT_TIME
#define NO_SENT_TIME 0
#endif
#ifndef NO_AGE_ADDED
#define NO_AGE_ADDED 0
#endif
#ifndef NO_UNANIMITY
#define NO_UNANIMITY 0
#endif
#ifndef NO_UNRESOLVED
#define NO_UNRESOLVED 0
#endif
#ifndef NO_PROVISIONAL
#define NO_PROVISIONAL 0
#endif
#ifndef NO_JOIN_ACK
#define NO_JOIN_ACK 0
#endif
#ifndef NO_REVISION_CHECK
#define NO_REVISION_CHECK 0
#endif
#ifndef NO_REVISION_CAS
#define NO_REVISION_CAS 0
#endif
#ifndef NO_START_DEADLINE
#define NO_START_DEADLINE 0
#endif
#ifndef NO_RESOLVING_READ
#define NO_RESOLVING_READ 0
#endif
#ifndef ALL_ACCEPT
#define ALL_ACCEPT 0
#endif
#ifndef NO_RELAY
#define NO_RELAY 0
#endif
#define DP(d, p) ((d) * DAEMONS + (p))
#define bit(d) (1 << (d))

/* --- Store --- */
byte storeRevision = 1, storeMembers = (1 << RECORDED) - 1;
byte takenOutAt; /* second of the accept of revision 2 */
byte now = 1;    /* seconds; 0 means never in the fields below */

/* --- Daemons --- */
byte revision[DAEMONS];
bool isProvisional[DAEMONS], hasAccess[DAEMONS], isUnresolved[DAEMONS];
byte startedAt[DAEMONS];
byte knownMembers[DAEMONS]; /* record known to the daemon; 0: none since its start */
byte ownRead[DAEMONS], peerRead[DAEMONS];
byte outageAt[DAEMONS * DAEMONS]; /* when the peer stated the outage for the revision that this daemon holds */

/* --- Answers on their way, one for each daemon --- */
byte answerFrom[DAEMONS]; /* 0: none, 1: store, 2 + p: peer p */
byte answerSent[DAEMONS], answerRevision[DAEMONS], answerRead[DAEMONS];
bool answerOutage[DAEMONS];
byte answerMembers[DAEMONS];

/* --- Start requests on their way: 0 or the second of the check --- */
byte startSent[DAEMONS];

byte faults = FAULTS;
byte k;

#define isOwnFresh(d) (ownRead[d] != 0 && now <= ownRead[d] + MAX_AGE)
#define isPeerFresh(d) (peerRead[d] != 0 && now <= peerRead[d] + MAX_AGE)
#define statesOutage(d) (!hasAccess[d] && (NO_PROVISIONAL || !isProvisional[d]) && (NO_UNRESOLVED || !isUnresolved[d]))
#define agrees(d, p) ((knownMembers[d] & bit(p)) == 0 || p == d || \
    (outageAt[DP(d, p)] != 0 && now <= outageAt[DP(d, p)] + MAX_AGE))
#if DAEMONS == 2
#define allAgree(d) (agrees(d, 0) && agrees(d, 1))
#define someAgrees(d) (outageAt[DP(d, 0)] != 0 || outageAt[DP(d, 1)] != 0)
#define acknowledged(d) ((knownMembers[0] & bit(d)) && (knownMembers[1] & bit(d)))
#define allHold(r) (revision[0] == r && revision[1] == r)
#define nobodyReads (!hasAccess[0] && !hasAccess[1])
#else
#define allAgree(d) (agrees(d, 0) && agrees(d, 1) && agrees(d, 2))
#define someAgrees(d) (outageAt[DP(d, 0)] != 0 || outageAt[DP(d, 1)] != 0 || outageAt[DP(d, 2)] != 0)
#define acknowledged(d) (((knownMembers[0] & bit(d)) || !(storeMembers & bit(0))) && \
    ((knownMembers[1] & bit(d)) || !(storeMembers & bit(1))) && ((knownMembers[2] & bit(d)) || !(storeMembers & bit(2))))
#define allHold(r) (revision[0] == r && revision[1] == r && revision[2] == r)
#define nobodyReads (!hasAccess[0] && !hasAccess[1] && !hasAccess[2])
#endif
#define isAgreed(d) (knownMembers[d] != 0 && statesOutage(d) && (allAgree(d) || (NO_UNANIMITY && someAgrees(d))))
#define isFresh(d) (NO_FRESHNESS || isOwnFresh(d) || isPeerFresh(d) || isAgreed(d))

inline forgetOutage(d)
{
    for (k : 0 .. DAEMONS - 1) { outageAt[DP(d, k)] = 0 }
    k = 0
}

/* Holder::offer: only a higher revision is taken. Evidence about another revision ends. */
inline hold(d, r)
{
    if
    :: r > revision[d] || NO_REVISION_CHECK ->
        assert(r >= revision[d]); /* I10 */
        if
        :: r != revision[d] -> forgetOutage(d); revision[d] = r
        :: else
        fi
    :: else
    fi
}

/* A store read made after the start ends the provisional state. */
inline confirm(d, t)
{
    if
    :: t >= startedAt[d] -> isProvisional[d] = false
    :: else
    fi
}

inline clearAnswer(d)
{
    answerFrom[d] = 0; answerSent[d] = 0; answerRevision[d] = 0; answerRead[d] = 0; answerOutage[d] = false;
    answerMembers[d] = 0
}

/* Evidence must not name a revision above the held one; hold() has run before, so this is the case here. */
proctype Daemon(byte d)
{
    do
    /* onStoreRead: request, then answer. */
    :: atomic { answerFrom[d] == 0 && ownRead[d] != now && (!NO_FAULTS || d != STARTER) ->
        answerFrom[d] = 1; answerSent[d] = now; answerRevision[d] = storeRevision; answerMembers[d] = storeMembers;
        printf("d%d reads the store at %d\n", d, now) }
    :: atomic { answerFrom[d] == 1 ->
        printf("d%d gets the read of %d at %d\n", d, answerSent[d], now);
        /* A read of a higher revision than the write was based on resolves it; an older answer does not. */
        isUnresolved[d] = isUnresolved[d] && answerRevision[d] <= revision[d] && !NO_RESOLVING_READ;
        hold(d, answerRevision[d]); confirm(d, answerSent[d]);
        hasAccess[d] = true; knownMembers[d] = answerMembers[d];
        if
        :: NO_SENT_TIME -> ownRead[d] = now
        :: !NO_SENT_TIME && answerSent[d] > ownRead[d] -> ownRead[d] = answerSent[d]
        :: else
        fi;
        clearAnswer(d) }
    /* The read fails, or its answer is lost. */
    :: atomic { !NO_FAULTS && answerFrom[d] == 1 -> clearAnswer(d); hasAccess[d] = false }
    :: atomic { !NO_FAULTS && hasAccess[d] -> hasAccess[d] = false; printf("d%d loses the store\n", d) }

    /* accept: compare-and-swap on the revision that the operator saw. */
    :: atomic { MAY_ACCEPT(d) && revision[d] != 0 && revision[d] < REVISIONS && !isProvisional[d] && !isUnresolved[d] && (storeMembers & bit(d)) &&
        (NO_JOIN_ACK || acknowledged(d)) && (NO_REVISION_CAS || revision[d] == storeRevision) ->
        assert(revision[d] + 1 > storeRevision); /* no accepted revision is overwritten */
        storeRevision = revision[d] + 1;
        if
        :: storeRevision == 2 -> takenOutAt = now
        :: else
        fi;
        printf("d%d accepts revision %d at %d\n", d, storeRevision, now);
        if
        :: hold(d, storeRevision); hasAccess[d] = true
        :: faults > 0 -> faults--; isUnresolved[d] = true; hasAccess[d] = false; printf("d%d reply lost\n", d)
        fi }

    /* A daemon that joins writes the record. */
    :: atomic { hasAccess[d] && !(storeMembers & bit(d)) ->
        storeMembers = storeMembers | bit(d); knownMembers[d] = storeMembers; printf("d%d joins\n", d) }

    /* isFresh, then the start request; its effect comes later, within its deadline on the clock of the worker. */
    :: atomic { !NO_FAULTS && d == STARTER && startSent[d] == 0 && revision[d] == 1 && !isProvisional[d] && isFresh(d) ->
        startSent[d] = now;
        assert(!(REACH_AGREEMENT && isAgreed(d) && nobodyReads && !isOwnFresh(d) && !isPeerFresh(d)));
        printf("d%d sends a start at %d\n", d, now) }
    :: atomic { startSent[d] != 0 && (NO_START_DEADLINE || now <= startSent[d] + START_LIMIT) ->
        printf("start of d%d at %d\n", d, now);
        assert(!(storeRevision >= 2 && now > takenOutAt + MAX_AGE + START_LIMIT)); /* I4 */
        startSent[d] = 0 }
    :: atomic { startSent[d] != 0 && !NO_START_DEADLINE && now > startSent[d] + START_LIMIT -> startSent[d] = 0 }

    /* The daemon is replaced under its name and has lost its memory. */
    :: atomic { faults > 0 && revision[d] != 0 -> faults--; printf("d%d restarts at %d\n", d, now);
        revision[d] = 0; isProvisional[d] = true; hasAccess[d] = false; isUnresolved[d] = false;
        startedAt[d] = now + 1; knownMembers[d] = 0; ownRead[d] = 0; peerRead[d] = 0; startSent[d] = 0;
        forgetOutage(d); clearAnswer(d) }
    od
}

/* configPush, and heartbeats with their replies: d asks p, the reply arrives at any later time or never. */
proctype Exchange(byte d; byte p)
{
    do
    :: atomic { !NO_RELAY && answerFrom[d] == 0 && revision[p] != 0 ->
        answerFrom[d] = 2 + p; answerSent[d] = now; answerRevision[d] = revision[p];
        if
        :: !isProvisional[p] && ownRead[p] != 0 -> answerRead[d] = (NO_AGE_ADDED -> now : ownRead[p])
        :: else -> answerRead[d] = 0
        fi;
        answerOutage[d] = d == STARTER && statesOutage(p);
        printf("d%d asks d%d at %d\n", d, p, now) }
    :: atomic { answerFrom[d] == 2 + p ->
        printf("d%d gets the answer of d%d of %d at %d\n", d, p, answerSent[d], now);
        hold(d, answerRevision[d]);
        if
        :: answerRead[d] != 0 -> confirm(d, answerRead[d]);
            if
            :: d == STARTER && answerRead[d] > peerRead[d] -> peerRead[d] = answerRead[d]
            :: else
            fi
        :: else
        fi;
        outageAt[DP(d, p)] = (answerOutage[d] && answerRevision[d] == revision[d] -> answerSent[d] : 0);
        clearAnswer(d) }
    :: atomic { !NO_FAULTS && answerFrom[d] == 2 + p -> clearAnswer(d) }
    od
}

inline expire(t)
{
    if
    :: t != 0 && now > t + MAX_AGE -> t = 0
    :: else
    fi
}

proctype Clock()
{
    do
    :: atomic { now < TIME -> now++;
        /* Times that are too old to count are set to 0, which merges states. */
        for (k : 0 .. DAEMONS - 1) {
            expire(ownRead[k]); expire(peerRead[k]); expire(answerRead[k]);
            expire(outageAt[DP(k, 0)]); expire(outageAt[DP(k, DAEMONS - 1)]); expire(outageAt[DP(k, 1)]);
            if
            :: answerFrom[k] != 0 -> expire(answerSent[k])
            :: else
            fi
        }
        k = 0 }
    od
}

init {
    atomic {
        byte d, p;
        for (d : 0 .. DAEMONS - 1) {
            if
            :: d < RECORDED -> revision[d] = 1; knownMembers[d] = storeMembers
            :: else -> isProvisional[d] = true
            fi;
            run Daemon(d);
            for (p : 0 .. DAEMONS - 1) {
                if
                :: p != d && (DAEMONS == 2 || d == STARTER) -> run Exchange(d, p)
                :: else
                fi
            }
        }
        d = 0; p = 0;
        run Clock()
    }
}

#if NO_FAULTS
ltl progress { (<> (storeRevision == 2)) -> (<> allHold(2)) }
#endif
