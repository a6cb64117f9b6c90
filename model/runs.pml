/*
 * Spin model of the run protocol: which of two daemons may start one task on which of two workers, and when.
 *
 * Mapping to the code: docs/protocol.md. Time is abstract. Guarantees that the code bases on time-outs are assumptions,
 * named where they are used. Guarantees based on messages and records are modelled: terms, fencing tokens, delayed starts,
 * ends that are stored before they are acknowledged, expiring leases, placements stored by a leader that resigns.
 *
 * With RUN_RECORDS the task is a lasting one: its runs never end `done`, and the record of its job names the worker that may
 * run it (src/scheduler/run_record.h), so that a new term needs the word of that worker only.
 *
 * Safety properties: the task never runs on both workers at once; it never starts after its end was acknowledged.
 * Each -DNO_... variant leaves out one rule and must have a counterexample (scripts/test.d/30-model).
 */
#define WORKERS 2
#define DAEMONS 2
#define NONE 9
#ifndef MAXTERM
#define MAXTERM 2
#endif
#ifndef RUNS
#define RUNS 2                  /* starts of a term, none of them recorded */
#endif
/* Three searches keep the number of states small: with RUN_ENDS runs also end otherwise than `done`, so that a task runs
 * again in the same term, and no leader resigns; without it, terms are resigned and each run ends `done`. RUN_RECORDS is
 * searched together with RUN_ENDS. */
#define MAXRUN (MAXTERM * RUNS)

/* --- Store --- */
byte term = 0;                  /* token of the term in force */
byte leader = NONE;
bool resigned = false;
byte placedWorker = NONE;       /* placements of the resigned term: worker with a run or an unstored end; NONE: no worker */
bool hasPlacements = false;
bool doneStored = false;
bool granted[WORKERS];          /* lease table: the worker may hold a lease */
#ifdef RUN_RECORDS
byte storedWorker = NONE;       /* worker that the record of the job names; NONE: the task had starts on one worker at most */
#endif

/* --- Workers --- */
byte fence[WORKERS];
byte running[WORKERS];          /* run number; 0: none */
byte highestEndedRun[WORKERS];  /* highest run number that ended on this worker */
byte otherEnds[WORKERS];        /* a bit for each run that ended here, but not `done`: failed, stopped or lapsed */
bool endReported[WORKERS];      /* the worker reports an end `done` that is not acknowledged */
bool hasLeaseExpired[WORKERS];  /* the lease expired after the end: acknowledging that end no longer counts */
bool isPartitioned[WORKERS];    /* no call reaches the worker, its run continues */
bool acknowledged = false;

/* --- Starts in transit: up to two, delivered in any order, also after newer calls --- */
byte startTo[2];                /* worker + 1; 0: free */
byte startRun[2];
byte startTerm[2];

/* --- Volatile state of a daemon --- */
mtype = { unknown, waiting, starting, executing, done };
mtype phase[DAEMONS];
byte runWorker[DAEMONS];        /* worker of the run */
byte runNo[DAEMONS];            /* latest run known to the term */
byte ownTerm[DAEMONS];          /* 0: not the leader */
bool isTermValid[DAEMONS];      /* validUntil is in the future: the daemon may act as leader */
/* For each daemon and worker: the worker reported in this term, or it holds no lease of an earlier term any more. */
bool accounted[WORKERS * DAEMONS];
byte possibleWorker[DAEMONS];   /* the only worker that may have the task; NONE: any */
bool endUnstored[DAEMONS];      /* an end was reported and is not stored yet */
bool isResigning[DAEMONS];      /* the placements are written: sends no more orders */
#ifdef RUN_RECORDS
byte lastWorker[DAEMONS];       /* of the latest run known to the term */
byte recordedWorker[DAEMONS];   /* to be named by the next record */
bool isStored[DAEMONS];         /* the store is known to name recordedWorker */
bool hasChosen[DAEMONS];        /* a worker was chosen after the latest run; the store may name it or the one before */
bool hasSingleWorker[DAEMONS];  /* the task is unknown, and all its runs are on one worker */
#endif

#define ACC(d, w) accounted[(d) * WORKERS + (w)]
#define leads(d) (ownTerm[d] != 0)

/* --- Rules; each variant leaves one out --- */
#ifdef NO_VALIDITY
#define IS_VALID(d) true
#else
#define IS_VALID(d) isTermValid[d]
#endif
#ifdef NO_SILENCE_AFTER_PLACEMENTS
#define MAY_START(d) IS_VALID(d)
#else
#define MAY_START(d) (IS_VALID(d) && !isResigning[d])
#endif
#ifdef NO_DEADLINE
#define IS_PAST_DEADLINE(d) true
#else
#define IS_PAST_DEADLINE(d) (!(startTo[0] == runWorker[d] + 1 && startTerm[0] == ownTerm[d]) && \
    !(startTo[1] == runWorker[d] + 1 && startTerm[1] == ownTerm[d]))
#endif
#ifdef NO_GRANT_BEFORE_START
#define IS_GRANTED(w) true
#else
#define IS_GRANTED(w) granted[w]
#endif
/* Numbers of a term, and the end of which run frees the task. NO_RUN_IDENTITY: a term leaves out one number for the
 * unrecorded runs of earlier terms, and run numbers are compared without the worker. */
#ifdef NO_RUN_IDENTITY
#define BEFORE_FIRST_RUN(t) ((t) > 1 -> 1 : 0)
#define RUN_LIMIT(t) MAXRUN
#else
#define BEFORE_FIRST_RUN(t) (((t) - 1) * RUNS)
#define RUN_LIMIT(t) ((t) * RUNS)
#endif
#ifdef NO_RUN_IDENTITY
#define IS_CURRENT(d, w, r) (runNo[d] <= (r))
#else
#ifdef NO_RUN_MATCH
#define IS_CURRENT(d, w, r) true
#else
#define IS_CURRENT(d, w, r) (runWorker[d] == (w) && runNo[d] == (r))
#endif
#endif
/* Workers on which the task may start. NO_RECORD_BEFORE_START: any. NO_MEMORY_OF_CHOICES: the last worker, also after
 * another one was chosen, which the store may name. */
#ifdef RUN_RECORDS
#ifdef NO_RECORD_BEFORE_START
#define MAY_START_ON(d, w) true
#else
#ifdef NO_MEMORY_OF_CHOICES
#define IS_LAST(d, w) (lastWorker[d] == (w))
#else
#define IS_LAST(d, w) (!hasChosen[d] && lastWorker[d] == (w) && recordedWorker[d] == (w))
#endif
#define MAY_START_ON(d, w) ((isStored[d] && recordedWorker[d] == (w)) || IS_LAST(d, w) || \
    (lastWorker[d] == NONE && recordedWorker[d] == NONE && ownTerm[d] == 1))
#endif
#else
#define MAY_START_ON(d, w) true
#endif
#ifdef NO_STORE_BEFORE_ACKNOWLEDGE
#define MAY_ACKNOWLEDGE true
#else
#define MAY_ACKNOWLEDGE doneStored
#endif

inline assertSingleRun() {
    assert(!(running[0] != 0 && running[1] != 0))
}

#ifdef RUN_RECORDS
inline recordRun(d, w) {
    lastWorker[d] = w;
    if
    :: recordedWorker[d] != w -> recordedWorker[d] = w; isStored[d] = false
    :: else -> skip
    fi
}
#endif

inline resetDaemon(d) {
#ifdef RUN_RECORDS
    lastWorker[d] = NONE; recordedWorker[d] = NONE; isStored[d] = false; hasChosen[d] = false; hasSingleWorker[d] = false;
#endif
    ownTerm[d] = 0; isTermValid[d] = false; phase[d] = unknown; runWorker[d] = NONE; runNo[d] = 0;
    ACC(d, 0) = false; ACC(d, 1) = false; possibleWorker[d] = NONE; endUnstored[d] = false; isResigning[d] = false
}

inline resolveUnknown(d) {
    if
    :: phase[d] == unknown && (possibleWorker[d] == NONE -> (ACC(d, 0) && ACC(d, 1)) : ACC(d, possibleWorker[d])) ->
        phase[d] = waiting
#ifdef NO_ACCOUNT
    :: phase[d] == unknown -> phase[d] = waiting
#endif
    :: else -> skip
    fi
}

/* Takeover, possible once the former leader may no longer act: it resigned, or (assumption, validityMs < takeoverMs) the
 * validity of its term has expired. */
inline takeOver(d) {
    resetDaemon(d);
    term++;
    ownTerm[d] = term; isTermValid[d] = true;
    ACC(d, 0) = !granted[0]; ACC(d, 1) = !granted[1];
    runNo[d] = 0;
    if
    :: doneStored -> phase[d] = done
    :: else ->
        if
        :: resigned && hasPlacements && placedWorker == NONE -> phase[d] = waiting
        :: resigned && hasPlacements && placedWorker != NONE -> possibleWorker[d] = placedWorker
        :: else -> skip
        fi
    fi;
    leader = d; resigned = false; hasPlacements = false; placedWorker = NONE;
#ifdef RUN_RECORDS
    recordedWorker[d] = storedWorker; isStored[d] = (storedWorker != NONE);
    possibleWorker[d] = storedWorker; hasSingleWorker[d] = (storedWorker == NONE);
#endif
    resolveUnknown(d)
}

/* Ends that do not finish the task. They stay listed: that they are stored and acknowledged is left out, so that no term
 * knows the runs of an earlier one but from the workers. */
inline applyOtherEnds(d, w) {
    r = 1;
    do
    :: r <= MAXRUN ->
        if
        :: (otherEnds[w] & (1 << r)) != 0 && (phase[d] == starting || phase[d] == executing) && IS_CURRENT(d, w, r) ->
            phase[d] = waiting; runNo[d] = (r > runNo[d] -> r : runNo[d])
#ifdef RUN_RECORDS
        :: (otherEnds[w] & (1 << r)) != 0 && phase[d] == unknown && hasSingleWorker[d] ->
            phase[d] = waiting; hasSingleWorker[d] = false; runNo[d] = (r > runNo[d] -> r : runNo[d]); recordRun(d, w)
#endif
        :: else -> skip
        fi;
        r++
    :: else -> break
    od;
    r = 0
}

inline endOther(w) {
    highestEndedRun[w] = running[w]; otherEnds[w] = otherEnds[w] | (1 << running[w]); running[w] = 0
}

/* The worker's report to a leader whose token is not fenced: raises the fence and lists the run or its end. */
inline report(d, w) {
    if
    :: ownTerm[d] >= fence[w] ->
#ifndef NO_FENCE
        fence[w] = ownTerm[d];
#endif
        ACC(d, w) = true;
        if
        :: endReported[w] && phase[d] != done ->
            phase[d] = done; endUnstored[d] = true; runWorker[d] = w
        :: endReported[w] && phase[d] == done -> runWorker[d] = w
        :: else ->
            applyOtherEnds(d, w);
            if
            :: running[w] != 0 && phase[d] == starting && runWorker[d] == w && runNo[d] == running[w] ->
                phase[d] = executing
            :: running[w] != 0 && (phase[d] == unknown || phase[d] == waiting) && running[w] >= runNo[d] ->
                phase[d] = executing; runWorker[d] = w; runNo[d] = running[w]
#ifdef RUN_RECORDS
                ; recordRun(d, w)
#endif
            :: running[w] != runNo[d] && phase[d] == executing && runWorker[d] == w -> phase[d] = waiting
            :: else -> skip
            fi
        fi
    :: else -> skip
    fi
}

proctype daemon(byte d) {
    byte w; byte s; byte r;
    do
    /* --- Term --- */
    :: atomic { term < MAXTERM && !leads(d) &&
            (leader == NONE || resigned || !isTermValid[leader]) -> takeOver(d) }
    :: atomic { leads(d) && isTermValid[d] -> isTermValid[d] = false } /* frozen, partitioned or slow */
    :: atomic { leads(d) && term != ownTerm[d] -> resetDaemon(d) } /* observes a newer term */
    :: atomic { leads(d) -> resetDaemon(d); if :: leader == d -> isTermValid[d] = false :: else -> skip fi } /* killed, or handed over */
#ifdef NO_WRITE_IDENTITY
    /* The success of a renewal of the term that this daemon has handed over begins a term: no worker seems to hold a lease
     * of the former one. */
    :: atomic { term != 0 && term < MAXTERM && !leads(d) && leader == d && !resigned ->
        takeOver(d); ACC(d, 0) = true; ACC(d, 1) = true; resolveUnknown(d) }
#endif
    /* Planned stop: writes the placements, sends no order afterwards, then resigns. */
#ifndef RUN_ENDS
    :: atomic { leads(d) && isTermValid[d] && leader == d && !isResigning[d] &&
            (phase[d] != unknown || possibleWorker[d] != NONE) ->
        hasPlacements = true;
        placedWorker = (phase[d] == unknown -> possibleWorker[d] :
            ((phase[d] == starting || phase[d] == executing) -> runWorker[d] : NONE));
#ifndef NO_ENDS_IN_PLACEMENTS
        if :: phase[d] == done && endUnstored[d] && !doneStored -> placedWorker = runWorker[d] :: else -> skip fi;
#endif
        isResigning[d] = true }
    :: atomic { isResigning[d] && leads(d) && leader == d && term == ownTerm[d] -> resigned = true; resetDaemon(d) }
#endif
    /* --- Workers --- */
    :: atomic { leads(d) && isTermValid[d] -> if :: w = 0 :: w = 1 fi;
        if :: !isPartitioned[w] -> report(d, w); resolveUnknown(d) :: else -> skip fi }
    /* The lease of an earlier term has expired (assumption: maxHoldMs has passed, and so have the deadlines of that term's
     * starts): the worker has killed its run. */
    :: atomic { leads(d) && isTermValid[d] && isPartitioned[0] && !ACC(d, 0) && !(phase[d] == starting && runWorker[d] == 0) ->
#ifdef RUN_ENDS
        if :: running[0] != 0 -> endOther(0) :: else -> skip fi;
#endif
        running[0] = 0; hasLeaseExpired[0] = true; ACC(d, 0) = true;
        if :: startTo[0] == 1 && startTerm[0] != ownTerm[d] -> startTo[0] = 0 :: else -> skip fi;
        if :: startTo[1] == 1 && startTerm[1] != ownTerm[d] -> startTo[1] = 0 :: else -> skip fi;
        resolveUnknown(d) }
    /* The lease table is stored before the first lease or start, in a transaction on the condition of the term record. */
    :: atomic { leads(d) && isTermValid[d] && leader == d && term == ownTerm[d] && !resigned && !isResigning[d] ->
        if :: w = 0 :: w = 1 fi; granted[w] = true }
    /* --- Start --- */
    :: atomic { leads(d) && phase[d] == waiting && runNo[d] < RUN_LIMIT(ownTerm[d]) && (startTo[0] == 0 || startTo[1] == 0) &&
            MAY_START(d) -> if :: w = 0 :: w = 1 fi;
        if
        :: ACC(d, w) && IS_GRANTED(w) && MAY_START_ON(d, w) ->
            runNo[d] = (runNo[d] > BEFORE_FIRST_RUN(ownTerm[d]) -> runNo[d] : BEFORE_FIRST_RUN(ownTerm[d])) + 1;
            s = (startTo[0] == 0 -> 0 : 1);
            startTo[s] = w + 1; startRun[s] = runNo[d]; startTerm[s] = ownTerm[d];
            phase[d] = starting; runWorker[d] = w
#ifdef RUN_RECORDS
            ; hasChosen[d] = false; recordRun(d, w)
#endif
        :: else -> skip
        fi }
#ifdef RUN_RECORDS
    :: atomic { leads(d) && phase[d] == waiting && IS_VALID(d) -> if :: w = 0 :: w = 1 fi;
        if
        :: recordedWorker[d] != w -> recordedWorker[d] = w; isStored[d] = false; hasChosen[d] = true
        :: else -> skip
        fi }
    /* The record is stored on the condition of the term record; the answer may be lost. */
    :: atomic { leads(d) && leader == d && term == ownTerm[d] && recordedWorker[d] != NONE && !isStored[d] ->
        storedWorker = recordedWorker[d]; if :: isStored[d] = true :: skip fi }
#endif
    /* The start got no answer and its deadline has passed: a report shows that no run is in progress. */
    :: atomic { leads(d) && isTermValid[d] && phase[d] == starting && !isPartitioned[runWorker[d]] &&
            running[runWorker[d]] == 0 && !endReported[runWorker[d]] && ownTerm[d] >= fence[runWorker[d]] &&
            IS_PAST_DEADLINE(d) -> phase[d] = waiting }
    /* --- End --- */
    :: atomic { leads(d) && endUnstored[d] && term == ownTerm[d] && leader == d && !resigned ->
        doneStored = true; endUnstored[d] = false }
    :: atomic { leads(d) && isTermValid[d] && phase[d] == done && runWorker[d] != NONE && !isPartitioned[runWorker[d]] &&
            endReported[runWorker[d]] && ownTerm[d] >= fence[runWorker[d]] && MAY_ACKNOWLEDGE ->
        endReported[runWorker[d]] = false; acknowledged = acknowledged || !hasLeaseExpired[runWorker[d]] }
    od
}

proctype network() {
    byte s; byte w;
    do
    :: atomic { startTo[0] != 0 || startTo[1] != 0 ->
        if :: startTo[0] != 0 -> s = 0 :: startTo[1] != 0 -> s = 1 fi;
        w = startTo[s] - 1;
        if
        :: !isPartitioned[w] ->
            if
            :: startTerm[s] >= fence[w] && startRun[s] > highestEndedRun[w] && running[w] == 0 ->
#ifndef NO_FENCE
                fence[w] = startTerm[s];
#endif
                assert(!acknowledged);
                running[w] = startRun[s]; hasLeaseExpired[w] = false;
                assertSingleRun()
            :: else -> skip
            fi;
            startTo[s] = 0
        :: else -> skip
        fi }
    :: atomic { startTo[0] != 0 -> startTo[0] = 0 } /* discarded: the deadline passed in transit */
    :: atomic { startTo[1] != 0 -> startTo[1] = 0 }
    :: isPartitioned[0] = !isPartitioned[0] /* only worker 0: the workers are symmetric */
    :: atomic { if :: w = 0 :: w = 1 fi;
        if
#ifndef RUN_RECORDS
        :: running[w] != 0 -> highestEndedRun[w] = running[w]; running[w] = 0; endReported[w] = true
#endif
#ifdef RUN_ENDS
        :: running[w] != 0 -> endOther(w)
#endif
        :: else -> skip
        fi }
    od
}

init {
    byte d;
    atomic {
        runWorker[0] = NONE; runWorker[1] = NONE; possibleWorker[0] = NONE; possibleWorker[1] = NONE;
        phase[0] = unknown; phase[1] = unknown;
#ifdef RUN_RECORDS
        lastWorker[0] = NONE; lastWorker[1] = NONE; recordedWorker[0] = NONE; recordedWorker[1] = NONE;
#endif
        run daemon(0); run daemon(1); run network()
    }
}
