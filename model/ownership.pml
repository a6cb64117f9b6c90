/*
 * Ownership of one shard: takeover by compare-and-swap with a rising epoch, fencing and read-back of workers,
 * write-ahead plans, starts, eviction, lost replies, paused owners, workers that lose contact or their memory.
 *
 * Time is abstract. A pause, a partition or an outage of the store is a step that is not taken for any length of time, so
 * each is covered without a flag of its own. A daemon acts on its own copy of the shard, which may be stale.
 *
 * Safety: a task runs in one place at most (I2), an attempt that ended is followed by one attempt at most (I3), a
 * worker holds no more tasks than its capacity (I1), a task whose result is durable is not started again, and a submission that was
 * refused as not executed never runs (I6). Progress (with -DNO_FAULTS=1 -DFAULTS=0): every submitted job finishes.
 *
 * Bounds: DAEMONS, WORKERS, JOBS, EPOCHS (takeovers), ATTEMPTS of a job, FAULTS (lost messages and replies, lapses,
 * restarts, crashes).
 *
 * Each rule can be removed with -D<name>=1: NO_EPOCH_CHECK, NO_CAS, NO_WRITE_AHEAD, NO_OPERATION, NO_FENCE, NO_LEASE_WAIT,
 * NO_DEADLINE, NO_INCARNATION, NO_PROOF_AFTER_LOOK, NO_STOP_BEFORE_REPLAN, ACK_FORGETS, NO_CAPACITY_CHECK, NO_READ_BACK (progress).
 */
#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef JOBS
#define JOBS 1
#endif
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef NO_FAULTS
#define NO_FAULTS 0
#endif
#ifndef NO_EPOCH_CHECK
#define NO_EPOCH_CHECK 0
#endif
#ifndef NO_CAS
#define NO_CAS 0
#endif
#ifndef NO_WRITE_AHEAD
#define NO_WRITE_AHEAD 0
#endif
#ifndef NO_OPERATION
#define NO_OPERATION 0
#endif
#ifndef NO_FENCE
#define NO_FENCE 0
#endif
#ifndef NO_LEASE_WAIT
#define NO_LEASE_WAIT 0
#endif
#ifndef NO_DEADLINE
#define NO_DEADLINE 0
#endif
#ifndef NO_INCARNATION
#define NO_INCARNATION 0
#endif
#ifndef NO_PROOF_AFTER_LOOK
#define NO_PROOF_AFTER_LOOK 0
#endif
#ifndef NO_STOP_BEFORE_REPLAN
#define NO_STOP_BEFORE_REPLAN 0
#endif
#ifndef ACK_FORGETS
#define ACK_FORGETS 0
#endif
#ifndef NO_CAPACITY_CHECK
#define NO_CAPACITY_CHECK 0
#endif
#ifndef NO_READ_BACK
#define NO_READ_BACK 0
#endif
#define CAPACITY 1 /* tasks that fit on a worker */

#define ABSENT 0
#define QUEUED 1
#define PLANNED 2 /* a plan is durable: the attempt may run on the planned worker */
#define FINISHED 3

#define DJ(d, j) ((d) * JOBS + (j))
#define DW(d, w) ((d) * WORKERS + (w))
#define WJ(w, j) ((w) * JOBS + (j))

/* --- Store: the value of the shard --- */
byte storeVersion, storeOwner, storeEpoch;
byte storeOperation; /* writer of the latest version */
byte storeState[JOBS], storeAttempt[JOBS], storeWorker[JOBS];

/* --- Workers --- */
byte workerEpoch[WORKERS];
byte workerIncarnation[WORKERS];
byte expiredBelow[WORKERS]; /* the deadlines of requests of lower epochs have passed */
byte running[WORKERS * JOBS];      /* attempt, 0: none */
byte ended[WORKERS * JOBS];        /* attempt that ended and is not acknowledged */
bool endedWell[WORKERS * JOBS];    /* it finished */
byte highestAttempt[WORKERS * JOBS]; /* highest attempt started or stopped */

/* --- Daemons --- */
bool isOwner[DAEMONS];  /* believes so */
bool isUnknown[DAEMONS]; /* a write without a known result */
byte version[DAEMONS], epoch[DAEMONS];
byte state[DAEMONS * JOBS], attempt[DAEMONS * JOBS], worker[DAEMONS * JOBS];
bool wasSent[DAEMONS * JOBS]; /* a start of the current attempt was sent under this epoch */
bool isFenced[DAEMONS * WORKERS], isProved[DAEMONS * WORKERS];
byte seenIncarnation[DAEMONS * WORKERS];

/* --- Start requests on their way, one for each daemon --- */
bool isOnWay[DAEMONS];
byte startJob[DAEMONS], startAttempt[DAEMONS], startWorker[DAEMONS], startEpoch[DAEMONS], startIncarnation[DAEMONS];

/* --- Observation --- */
byte faults = FAULTS;
byte places[JOBS]; /* workers that run the job */
bool isRefused[JOBS];
byte k; /* loop variable, 0 between steps */

inline clearDaemon(d)
{
    isOwner[d] = false; isUnknown[d] = false;
    k = 0;
    do
    :: k < WORKERS -> isFenced[DW(d, k)] = false; isProved[DW(d, k)] = false; seenIncarnation[DW(d, k)] = 0; k++
    :: else -> break
    od;
    k = 0;
    do
    :: k < JOBS -> wasSent[DJ(d, k)] = false; state[DJ(d, k)] = 0; attempt[DJ(d, k)] = 0; worker[DJ(d, k)] = 0; k++
    :: else -> break
    od;
    version[d] = 0; epoch[d] = 0; k = 0
}

inline storeCopy(d)
{
    storeVersion++; storeOwner = d + 1; storeEpoch = epoch[d]; storeOperation = d + 1;
    k = 0;
    do
    :: k < JOBS ->
        storeState[k] = state[DJ(d, k)]; storeAttempt[k] = attempt[DJ(d, k)]; storeWorker[k] = worker[DJ(d, k)]; k++
    :: else -> break
    od;
    k = 0
}

/* Compare-and-swap of the whole value. The reply, or the request, may be lost. */
inline commit(d)
{
    if
#if NO_CAS
    :: true -> version[d] = storeVersion + 1; storeCopy(d)
#else
    :: storeVersion == version[d] -> version[d]++; storeCopy(d); printf("d%d write accepted, version %d\n", d, version[d])
    :: storeVersion == version[d] && faults > 0 -> faults--; storeCopy(d); isUnknown[d] = true; printf("d%d reply lost\n", d)
    :: storeVersion == version[d] && faults > 0 -> faults--; isUnknown[d] = true; printf("d%d request lost\n", d)
    :: storeVersion != version[d] -> printf("d%d write refused\n", d); clearDaemon(d)
#endif
    fi
}

/* Reads the value back by operation identity after a write without a known result. */
inline readBack(d)
{
#if NO_OPERATION
    /* Without the identity the daemon takes a lost reply for a failed write. */
    k = 0;
    do
    :: k < JOBS ->
        if
        :: state[DJ(d, k)] == QUEUED && attempt[DJ(d, k)] == 0 -> isRefused[k] = true
        :: else
        fi;
        k++
    :: else -> break
    od;
    clearDaemon(d)
#else
    if
    :: storeVersion == version[d] + 1 && storeOperation == d + 1 -> version[d]++; isUnknown[d] = false
    :: storeVersion == version[d] -> isUnknown[d] = false; commit(d)
    :: else -> clearDaemon(d)
    fi
#endif
}

inline clearStart(d)
{
    isOnWay[d] = false;
    startJob[d] = 0; startAttempt[d] = 0; startWorker[d] = 0; startEpoch[d] = 0; startIncarnation[d] = 0
}

inline endTask(w, j, well)
{
    ended[WJ(w, j)] = running[WJ(w, j)]; endedWell[WJ(w, j)] = well; running[WJ(w, j)] = 0; places[j]--
}

inline endAll(w)
{
    k = 0;
    do
    :: k < JOBS ->
        if
        :: running[WJ(w, k)] != 0 -> endTask(w, k, false)
        :: else
        fi;
        k++
    :: else -> break
    od;
    k = 0
}

/* One process for each daemon, and for each pair or triple that a step concerns. Each step is one atomic option of a loop, so
   the processes have no state of their own, except between the read and the write of a takeover. */
proctype DaemonStep(byte d)
{
    do
    /* takeOver: read the value, then write owner and epoch + 1. */
    :: atomic { !isOwner[d] && storeEpoch < EPOCHS && (!NO_FAULTS || storeOwner == 0) ->
        version[d] = storeVersion; epoch[d] = storeEpoch + 1;
        for (k : 0 .. JOBS - 1) {
            state[DJ(d, k)] = storeState[k]; attempt[DJ(d, k)] = storeAttempt[k]; worker[DJ(d, k)] = storeWorker[k]
        }
        k = 0 };
        atomic { isOwner[d] = true; printf("d%d takeOver epoch %d\n", d, epoch[d]); commit(d) }

    :: atomic { isUnknown[d] -> printf("d%d readBack\n", d); readBack(d) }

    /* The daemon dies and starts again, or reads the store and finds another owner. */
    :: atomic { isOwner[d] && faults > 0 -> faults--; printf("d%d restarts\n", d); clearDaemon(d) }
    :: atomic { isOwner[d] && !isUnknown[d] && storeOwner != d + 1 -> clearDaemon(d) }
    od
}

/* A worker is looked at, then ownership is proved by a store read, then the worker is fenced. The fence names the
   incarnation that was looked at. */
proctype FenceStep(byte d; byte w)
{
    do
    :: atomic { isOwner[d] && !isUnknown[d] && seenIncarnation[DW(d, w)] != workerIncarnation[w] + 1 ->
        seenIncarnation[DW(d, w)] = workerIncarnation[w] + 1;
        isFenced[DW(d, w)] = false; isProved[DW(d, w)] = NO_PROOF_AFTER_LOOK; printf("d%d looks at w%d\n", d, w) }
    :: atomic { isOwner[d] && !isUnknown[d] && seenIncarnation[DW(d, w)] != 0 && !isProved[DW(d, w)] ->
        if
        :: storeOwner == d + 1 && storeEpoch == epoch[d] -> isProved[DW(d, w)] = true
        :: else -> clearDaemon(d)
        fi }
    :: atomic { isOwner[d] && !isUnknown[d] && isProved[DW(d, w)] && !isFenced[DW(d, w)] ->
        if
        :: NO_FENCE -> isFenced[DW(d, w)] = true
        :: !NO_FENCE && !NO_INCARNATION && seenIncarnation[DW(d, w)] != workerIncarnation[w] + 1 ->
            isProved[DW(d, w)] = false
        :: !NO_FENCE && (NO_INCARNATION || seenIncarnation[DW(d, w)] == workerIncarnation[w] + 1) ->
            if
            :: epoch[d] >= workerEpoch[w] && epoch[d] >= expiredBelow[w] ->
                workerEpoch[w] = epoch[d]; isFenced[DW(d, w)] = true;
                printf("d%d fences w%d with epoch %d\n", d, w, epoch[d])
            :: epoch[d] >= workerEpoch[w] && epoch[d] < expiredBelow[w] -> clearDaemon(d)
            :: epoch[d] < workerEpoch[w] -> clearDaemon(d)
            fi
        fi }
    od
}

/* plan: attempt and worker are durable before the start is sent. */
proctype PlanStep(byte d; byte j; byte w)
{
    do
    :: atomic { isOwner[d] && !isUnknown[d] && state[DJ(d, j)] == QUEUED && attempt[DJ(d, j)] < ATTEMPTS &&
        isFenced[DW(d, w)] ->
        printf("d%d plans j%d on w%d\n", d, j, w);
        state[DJ(d, j)] = PLANNED; attempt[DJ(d, j)]++; worker[DJ(d, j)] = w; wasSent[DJ(d, j)] = false;
        if
        :: NO_WRITE_AHEAD
        :: !NO_WRITE_AHEAD -> commit(d)
        fi }
    od
}

#define planned(d, j) (isOwner[d] && !isUnknown[d] && state[DJ(d, j)] == PLANNED)
#define place(d, j) worker[DJ(d, j)]
#define placeFenced(d, j) isFenced[DW(d, place(d, j))]
#define placeEnded(d, j) (ended[WJ(place(d, j), j)] == attempt[DJ(d, j)])
#define placeRuns(d, j) (running[WJ(place(d, j), j)] == attempt[DJ(d, j)])

proctype JobStep(byte d; byte j)
{
    do
    /* submit */
    :: atomic { isOwner[d] && !isUnknown[d] && state[DJ(d, j)] == ABSENT && !isRefused[j] ->
        state[DJ(d, j)] = QUEUED; commit(d) }

    /* start: sent from the daemon's own copy; it may arrive at any later time, or never. It is repeated without an answer,
       so that a repeat can be on its way while the attempt runs or has ended. */
    :: atomic { planned(d, j) && !isOnWay[d] && placeFenced(d, j) && (!wasSent[DJ(d, j)] || faults > 0) ->
        if
        :: wasSent[DJ(d, j)] -> faults--
        :: else
        fi;
        printf("d%d sends start j%d attempt %d epoch %d to w%d\n", d, j, attempt[DJ(d, j)], epoch[d], place(d, j));
        isOnWay[d] = true; startJob[d] = j; startAttempt[d] = attempt[DJ(d, j)]; startWorker[d] = place(d, j);
        startEpoch[d] = epoch[d]; startIncarnation[d] = seenIncarnation[DW(d, place(d, j))];
        wasSent[DJ(d, j)] = true }

    /* onFinished, onEnded: the worker reports that the attempt has ended. */
    :: atomic { !NO_READ_BACK && planned(d, j) && placeFenced(d, j) && placeEnded(d, j) ->
        printf("d%d records the end of j%d\n", d, j);
        if
        :: endedWell[WJ(place(d, j), j)] -> state[DJ(d, j)] = FINISHED
        :: !endedWell[WJ(place(d, j), j)] -> state[DJ(d, j)] = QUEUED
        fi;
        commit(d) }
    /* The end is durable: acknowledged to the worker. */
    :: atomic { isOwner[d] && !isUnknown[d] && (state[DJ(d, j)] == QUEUED || state[DJ(d, j)] == FINISHED) &&
        attempt[DJ(d, j)] > 0 && placeFenced(d, j) && placeEnded(d, j) ->
        printf("d%d acknowledges j%d at w%d\n", d, j, place(d, j));
        ended[WJ(place(d, j), j)] = 0; endedWell[WJ(place(d, j), j)] = false;
        if
        :: ACK_FORGETS -> highestAttempt[WJ(place(d, j), j)] = 0
        :: !ACK_FORGETS
        fi }

    /* onAbsent: a fenced worker does not know the attempt. A start of this epoch may still be on its way, so the attempt is
       stopped first; the worker remembers a stopped attempt that it never ran. */
    :: atomic { (!NO_FAULTS) && planned(d, j) && placeFenced(d, j) && !placeRuns(d, j) && !placeEnded(d, j) &&
        (NO_INCARNATION || seenIncarnation[DW(d, place(d, j))] == workerIncarnation[place(d, j)] + 1) &&
        workerEpoch[place(d, j)] <= epoch[d] ->
        printf("d%d onAbsent j%d at w%d\n", d, j, place(d, j));
        if
        :: !NO_STOP_BEFORE_REPLAN && wasSent[DJ(d, j)] && highestAttempt[WJ(place(d, j), j)] < attempt[DJ(d, j)] ->
            highestAttempt[WJ(place(d, j), j)] = attempt[DJ(d, j)]
        :: NO_STOP_BEFORE_REPLAN || !wasSent[DJ(d, j)] || highestAttempt[WJ(place(d, j), j)] >= attempt[DJ(d, j)]
        fi;
        state[DJ(d, j)] = QUEUED; commit(d) }

    /* onWorkerUnreachable: the attempt is replaced only after its lease and the deadlines of all earlier requests have
       surely passed. In that time nobody renews the worker. */
    :: atomic { planned(d, j) && workerEpoch[place(d, j)] <= epoch[d] && faults > 0 ->
        faults--;
        printf("d%d replaces j%d, w%d is unreachable\n", d, j, place(d, j));
        if
        :: !NO_LEASE_WAIT -> endAll(place(d, j))
        :: NO_LEASE_WAIT
        fi;
        if
        :: !NO_DEADLINE && !NO_LEASE_WAIT ->
            expiredBelow[place(d, j)] = epoch[d];
            for (k : 0 .. DAEMONS - 1) {
                if
                :: isOnWay[k] && startWorker[k] == place(d, j) && startEpoch[k] <= epoch[d] -> clearStart(k)
                :: else
                fi
            }
            k = 0
        :: NO_DEADLINE || NO_LEASE_WAIT
        fi;
        isFenced[DW(d, place(d, j))] = false; isProved[DW(d, place(d, j))] = false; seenIncarnation[DW(d, place(d, j))] = 0;
        state[DJ(d, j)] = QUEUED; commit(d) }

    /* evict: checkpoint and stop. */
    :: atomic { planned(d, j) && placeRuns(d, j) && workerEpoch[place(d, j)] <= epoch[d] && faults > 0 ->
        faults--; printf("d%d evicts j%d\n", d, j); endTask(place(d, j), j, false) }
    od
}

/* A start request arrives at its worker, or is lost. */
#if JOBS == 1
#define used(w) (running[WJ(w, 0)] != 0)
#else
#define used(w) ((running[WJ(w, 0)] != 0) + (running[WJ(w, 1)] != 0))
#endif

proctype StartArrival(byte d)
{
    do
    :: atomic { isOnWay[d] ->
        if
        :: startAttempt[d] > highestAttempt[WJ(startWorker[d], startJob[d])] &&
            (NO_EPOCH_CHECK || startEpoch[d] >= workerEpoch[startWorker[d]]) &&
            (NO_DEADLINE || startEpoch[d] >= expiredBelow[startWorker[d]]) &&
            (NO_INCARNATION || startIncarnation[d] == workerIncarnation[startWorker[d]] + 1) &&
            (NO_CAPACITY_CHECK || used(startWorker[d]) < CAPACITY) ->
            highestAttempt[WJ(startWorker[d], startJob[d])] = startAttempt[d];
            running[WJ(startWorker[d], startJob[d])] = startAttempt[d];
            places[startJob[d]]++;
            printf("w%d starts j%d attempt %d\n", startWorker[d], startJob[d], startAttempt[d]);
            assert(places[startJob[d]] <= 1); /* I2, I3 */
            assert(used(startWorker[d]) <= CAPACITY); /* I1 */
            assert(storeState[startJob[d]] != FINISHED);
            assert(!isRefused[startJob[d]]) /* I6 */
        :: else -> printf("w%d refuses start of d%d\n", startWorker[d], d)
        fi;
        clearStart(d) }
    :: atomic { isOnWay[d] && faults > 0 -> faults--; clearStart(d) }
    od
}

proctype TaskStep(byte w; byte j)
{
    do
    :: atomic { running[WJ(w, j)] != 0 -> printf("w%d finishes j%d\n", w, j); endTask(w, j, true) }
    od
}

proctype WorkerFault(byte w)
{
    do
    /* The leases of the tasks of a worker run out: nobody renewed them. */
    :: atomic { (running[WJ(w, 0)] != 0 || running[WJ(w, JOBS - 1)] != 0) && faults > 0 ->
        faults--; printf("leases at w%d run out\n", w); endAll(w) }

    /* A worker restarts and has forgotten everything, its epoch included. Its tasks end, and results that
       were not durable are lost. */
    :: atomic { workerIncarnation[w] == 0 && workerEpoch[w] > 0 && faults > 0 -> faults--;
        printf("w%d restarts\n", w);
        workerIncarnation[w] = 1; workerEpoch[w] = 0; endAll(w);
        for (k : 0 .. JOBS - 1) {
            ended[WJ(w, k)] = 0; endedWell[WJ(w, k)] = false; highestAttempt[WJ(w, k)] = 0
        }
        k = 0 }
    od
}

init {
    atomic {
        byte d, j, w;
        for (d : 0 .. DAEMONS - 1) {
            run DaemonStep(d); run StartArrival(d);
            for (w : 0 .. WORKERS - 1) { run FenceStep(d, w) }
            for (j : 0 .. JOBS - 1) {
                run JobStep(d, j);
                for (w : 0 .. WORKERS - 1) { run PlanStep(d, j, w) }
            }
        }
        for (w : 0 .. WORKERS - 1) {
            run WorkerFault(w);
            for (j : 0 .. JOBS - 1) { run TaskStep(w, j) }
        }
        d = 0; j = 0; w = 0
    }
}

#if NO_FAULTS
#if JOBS == 1
ltl progress { <> (storeState[0] == FINISHED) }
#else
ltl progress { <> (storeState[0] == FINISHED && storeState[1] == FINISHED) }
#endif
#endif
