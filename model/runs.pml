/*
 * One task, two workers, two daemons: who may start the task when.
 *
 * Mapping to the code: docs/protocol.md. Time is abstract. What the code ensures by time-outs is an assumption here, named
 * where it is used; what it ensures by messages and records is modelled: terms, fencing tokens, starts that arrive late,
 * ends that are stored before they are acknowledged, leases that run out, placements that a resigned leader leaves.
 *
 * Properties: the task never runs on both workers; it never starts after its end was acknowledged.
 * Each -DNO_... variant leaves out one rule and must have a counterexample (scripts/test.d/30-model).
 */
#define WORKERS 2
#define DAEMONS 2
#define NOBODY 9
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef MAXRUN
#define MAXRUN 2
#endif

/* --- Store --- */
byte term = 0;               /* token of the term in force */
byte leader = NOBODY;
bool resigned = false;
byte placedOn = NOBODY;      /* placements of the resigned term: worker that holds a run or an unstored end */
bool hasPlacements = false;
bool doneStored = false;

/* --- Workers --- */
byte fence[WORKERS];
byte running[WORKERS];       /* run number; 0: none */
byte closed[WORKERS];        /* highest run that ended there */
bool endListed[WORKERS];     /* end `done`, not acknowledged */
bool hasLapsed[WORKERS];     /* the lease ran out after the end: noting that end means nothing any more */
bool isCut[WORKERS];         /* no call arrives, the run goes on */
bool acknowledged = false;

/* --- A start on its way; the older one may arrive after newer calls --- */
byte startTo[2];             /* worker + 1; 0: free */
byte startRun[2];
byte startTerm[2];

/* --- Memory of a daemon --- */
mtype = { unknown, waiting, starting, inRun, done };
mtype phase[DAEMONS];
byte at[DAEMONS];            /* worker of the run */
byte runNo[DAEMONS];
byte myTerm[DAEMONS];        /* 0: does not lead */
bool mayAct[DAEMONS];        /* validUntil is in the future */
bool accounted[WORKERS * DAEMONS];
byte suspect[DAEMONS];       /* only worker that may hold the task; NOBODY: any */
bool endRead[DAEMONS];       /* an end was read and is not stored */
bool isLeaving[DAEMONS];     /* has written its placements: sends no order */

#define ACC(d, w) accounted[(d) * WORKERS + (w)]
#define leads(d) (myTerm[d] != 0)

/* --- Rules; each variant leaves one out --- */
#ifdef NO_VALIDITY
#define IS_VALID(d) true
#else
#define IS_VALID(d) mayAct[d]
#endif
#ifdef NO_SILENCE_AFTER_PLACEMENTS
#define MAY_START(d) IS_VALID(d)
#else
#define MAY_START(d) (IS_VALID(d) && !isLeaving[d])
#endif
#ifdef NO_DEADLINE
#define IS_PAST_DEADLINE(d) true
#else
#define IS_PAST_DEADLINE(d) (!(startTo[0] == at[d] + 1 && startTerm[0] == myTerm[d]) && !(startTo[1] == at[d] + 1 && startTerm[1] == myTerm[d]))
#endif
#ifdef NO_STORE_BEFORE_ACKNOWLEDGE
#define MAY_ACKNOWLEDGE true
#else
#define MAY_ACKNOWLEDGE doneStored
#endif

inline checkOne() {
    assert(!(running[0] != 0 && running[1] != 0))
}

inline forget(d) {
    myTerm[d] = 0; mayAct[d] = false; phase[d] = unknown; at[d] = NOBODY; runNo[d] = 0;
    ACC(d, 0) = false; ACC(d, 1) = false; suspect[d] = NOBODY; endRead[d] = false; isLeaving[d] = false
}

/* Takes over when the former leader may not act any more: it resigned, or (assumption, validityMs < takeoverMs) its right
 * to act has run out. */
inline takeOver(d) {
    forget(d);
    term++;
    myTerm[d] = term; mayAct[d] = true;
    runNo[d] = (closed[0] > closed[1] -> closed[0] : closed[1]);
    if
    :: doneStored -> phase[d] = done
    :: else ->
        if
        :: resigned && hasPlacements && placedOn == NOBODY -> phase[d] = waiting
        :: resigned && hasPlacements && placedOn != NOBODY -> suspect[d] = placedOn
        :: else -> skip
        fi
    fi;
    leader = d; resigned = false; hasPlacements = false; placedOn = NOBODY
}

/* A report under the leader's token: raises the fence, shows runs and ends. */
inline report(d, w) {
    if
    :: myTerm[d] >= fence[w] ->
#ifndef NO_FENCE
        fence[w] = myTerm[d];
#endif
        ACC(d, w) = true;
        if
        :: endListed[w] && phase[d] != done ->
            phase[d] = done; endRead[d] = true; at[d] = w
        :: endListed[w] && phase[d] == done -> at[d] = w
        :: !endListed[w] && running[w] != 0 && phase[d] != done ->
            phase[d] = inRun; at[d] = w; runNo[d] = running[w]
        :: !endListed[w] && running[w] == 0 && phase[d] == inRun && at[d] == w ->
            phase[d] = waiting
        :: else -> skip
        fi
    :: else -> skip
    fi
}

inline settle(d) {
    if
    :: phase[d] == unknown && (suspect[d] == NOBODY -> (ACC(d, 0) && ACC(d, 1)) : ACC(d, suspect[d])) ->
        phase[d] = waiting
#ifdef NO_ACCOUNT
    :: phase[d] == unknown -> phase[d] = waiting
#endif
    :: else -> skip
    fi
}

proctype daemon(byte d) {
    byte w; byte s;
    do
    /* --- Term --- */
    :: atomic { term < MAXTERM && !leads(d) &&
            (leader == NOBODY || resigned || !mayAct[leader]) -> takeOver(d) }
    :: atomic { leads(d) && mayAct[d] -> mayAct[d] = false } /* frozen, cut off, or slow */
    :: atomic { leads(d) && term != myTerm[d] -> forget(d) } /* learns that it was replaced */
    :: atomic { leads(d) -> forget(d); if :: leader == d -> mayAct[d] = false :: else -> skip fi } /* killed */
    /* A planned stop: placements are written with the resignation, no order follows. */
    :: atomic { leads(d) && mayAct[d] && leader == d && !isLeaving[d] &&
            (phase[d] != unknown || suspect[d] != NOBODY) ->
        hasPlacements = true;
        placedOn = (phase[d] == unknown -> suspect[d] :
            ((phase[d] == starting || phase[d] == inRun) -> at[d] : NOBODY));
#ifndef NO_ENDS_IN_PLACEMENTS
        if :: phase[d] == done && endRead[d] && !doneStored -> placedOn = at[d] :: else -> skip fi;
#endif
        isLeaving[d] = true }
    :: atomic { isLeaving[d] && leads(d) && leader == d && term == myTerm[d] -> resigned = true; forget(d) }
    /* --- Workers --- */
    :: atomic { leads(d) && mayAct[d] -> if :: w = 0 :: w = 1 fi;
        if :: !isCut[w] -> report(d, w); settle(d) :: else -> skip fi }
    /* The lease of an earlier term is over (assumption: maxHoldMs, and starts of that term are later than their deadline):
     * what ran there was killed. */
    :: atomic { leads(d) && mayAct[d] && isCut[0] && !ACC(d, 0) && !(phase[d] == starting && at[d] == 0) ->
        running[0] = 0; hasLapsed[0] = true; ACC(d, 0) = true;
        if :: startTo[0] == 1 && startTerm[0] != myTerm[d] -> startTo[0] = 0 :: else -> skip fi;
        if :: startTo[1] == 1 && startTerm[1] != myTerm[d] -> startTo[1] = 0 :: else -> skip fi;
        settle(d) }
    /* --- Start --- */
    :: atomic { leads(d) && phase[d] == waiting && runNo[d] < MAXRUN && (startTo[0] == 0 || startTo[1] == 0) &&
            MAY_START(d) -> if :: w = 0 :: w = 1 fi;
        if
        :: ACC(d, w) ->
            runNo[d]++;
            s = (startTo[0] == 0 -> 0 : 1);
            startTo[s] = w + 1; startRun[s] = runNo[d]; startTerm[s] = myTerm[d];
            phase[d] = starting; at[d] = w
        :: else -> skip
        fi }
    /* The start was not answered and its deadline has passed: a report shows that nothing runs. */
    :: atomic { leads(d) && mayAct[d] && phase[d] == starting && !isCut[at[d]] &&
            running[at[d]] == 0 && !endListed[at[d]] && myTerm[d] >= fence[at[d]] && IS_PAST_DEADLINE(d) -> phase[d] = waiting }
    /* --- End --- */
    :: atomic { leads(d) && endRead[d] && term == myTerm[d] && leader == d && !resigned ->
        doneStored = true; endRead[d] = false }
    :: atomic { leads(d) && mayAct[d] && phase[d] == done && at[d] != NOBODY && !isCut[at[d]] && endListed[at[d]] &&
            myTerm[d] >= fence[at[d]] && MAY_ACKNOWLEDGE -> endListed[at[d]] = false; acknowledged = acknowledged || !hasLapsed[at[d]] }
    od
}

proctype network() {
    byte s; byte w;
    do
    :: atomic { startTo[0] != 0 || startTo[1] != 0 ->
        if :: startTo[0] != 0 -> s = 0 :: startTo[1] != 0 -> s = 1 fi;
        w = startTo[s] - 1;
        if
        :: !isCut[w] ->
            if
            :: startTerm[s] >= fence[w] && startRun[s] > closed[w] && running[w] == 0 ->
#ifndef NO_FENCE
                fence[w] = startTerm[s];
#endif
                assert(!acknowledged);
                running[w] = startRun[s]; hasLapsed[w] = false;
                checkOne()
            :: else -> skip
            fi;
            startTo[s] = 0
        :: else -> skip
        fi }
    :: atomic { startTo[0] != 0 -> startTo[0] = 0 } /* deadline passed on its way */
    :: atomic { startTo[1] != 0 -> startTo[1] = 0 }
    :: isCut[0] = !isCut[0] /* the other worker is the same */
    :: atomic { if :: w = 0 :: w = 1 fi;
        if
        :: running[w] != 0 -> closed[w] = running[w]; running[w] = 0; endListed[w] = true
        :: else -> skip
        fi }
    od
}

init {
    byte d;
    atomic {
        at[0] = NOBODY; at[1] = NOBODY; suspect[0] = NOBODY; suspect[1] = NOBODY;
        phase[0] = unknown; phase[1] = unknown;
        run daemon(0); run daemon(1); run network()
    }
}
