// State of the scheduling daemon, and the functions that change it.
//
// Guide
//   beginTerm       starts a new term: open tasks are Unknown until the workers have reported what they run
//   applyRunRecords narrows down where runs of lasting tasks may be (run_record.h)
//   setFormerLeases, nextLeaseTable, applyLeaseTable
//                   read and store which workers may hold a lease (lease_table.h)
//   setWorkers, setConfiguration, setWithdrawn, addJob, cancelJob
//                   apply what was read from the store
//   applyReport, applyContactLoss, applyStart, applyApproval
//                   apply answers of workers and of the advice service, or their absence
//   plan            decides the next starts, stops and question to the advice service
//   nextCommitBatch, applyCommit
//                   write job records to the store; nothing that depends on a record is shown or acknowledged earlier
//
// Deterministic: no clock, no random numbers, no input or output. The daemon and the tests run the same functions.
//
// Invariants
//   - A worker gets a lease or a start only while the stored lease table grants it one, so that a new term has to wait
//     only for the workers in the table. A worker that has begun anew gets nothing until the table says so: its lease
//     may be longer than those that the term grants.
//   - A task has at most one run that a worker may be executing. It is placed again only after the end of that run was
//     reported, the worker is known to have lost it, or the worker's lease has expired even on the slowest clock.
//   - A run number is used by one start on one worker, over all terms. An end, a report row or an answer changes the
//     current run of a task only when both worker and run number are those of the current run.
//   - A lasting task that may have run before starts on another worker only after its job's record names that worker.
//   - The end of a run is acknowledged to its worker only after the job record that contains it is in the store.
//   - A final job state is shown only after it is in the store.
#pragma once

#include "base/event_budget.h"
#include "scheduler/down_report.h"
#include "scheduler/interference.h"
#include "scheduler/lease_table.h"
#include "scheduler/number_set.h"
#include "scheduler/recovery_report.h"
#include "scheduler/types.h"
#include "scheduler/waiting_report.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::scheduler {

// --- Limits ---

struct Limits {
    Millis maxLeaseMs = 6000; // longest lease of a worker (platform limit)
    // Longest lease that is granted: with callDelayMs, clock rate and a plan below the 9000 ms after which the platform
    // counts a lasting task of a silent worker as lost.
    Millis grantedLeaseMs = 6000;
    Millis stopTimeoutMs = 900;    // longest time that a worker takes to stop a task (platform limit)
    double workerClockRate = 0.98; // slowest worker clock relative to this daemon's (platform limit)
    Millis callDelayMs = 400;      // longest time that a call of an earlier term is in flight (time-out of an order)
    Millis startDeadlineMs = 1500; // the worker refuses a start that arrives later
    Millis leaseSlackMs = 150;     // safety margin added to computed lease ends
    Millis lateOrderMs = 12000;    // longest time after which an unanswered order is carried out (platform limit)
    std::int64_t stateBytes = std::numeric_limits<std::int64_t>::max(); // of open occurrences (occurrences.h)
    Millis impactMs = 4000; // longest time that filling tasks may keep a serving task over its target (platform limit)
};

// --- Jobs ---

struct Worker;

enum class TaskPhase {
    Waiting,  // may be placed
    Unknown,  // may be running on a worker that has not reported in this term
    Starting, // start ordered, not answered yet
    Running,
    Stopping, // stop ordered; keeps its resources until the end is reported
    Done,
    Failed, // out of attempts
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    RunNumber run = 0;                 // latest run known to this term
    RunNumber endedRun = 0;            // latest run whose end was applied; no run up to it is adopted
    std::vector<RunNumber> failedRuns; // each listed once, counted against maxAttempts; not of lasting tasks
    std::string checkpoint;
    RunNumber checkpointRun = 0; // the checkpoint is of this run or a later one
    // --- Run in progress ---
    std::string worker;     // id; empty: not placed
    Worker* host = nullptr; // state of that worker; null if and only if the id is empty
    Millis phaseSince = 0;
    Millis startedAt = 0; // when the worker acknowledged the start; 0: unknown
    int percent = 0;
    Millis progressAt = 0;      // last change of `percent`
    int reading = 0;            // see RunningTask
    Millis startDeadlineAt = 0; // the worker cannot execute the start order after this
    bool isConfirmed = false;   // the worker has acknowledged or reported the run
    // The worker's next incarnation may carry out a call with the start order until then, because its clock does not
    // show the call as late; 0: there is no unanswered call.
    Millis openStartUntil = 0;
    std::int64_t startToken = 0; // fencing token of the start order; 0: of an earlier term
    // --- Starts given up while they may be carried out (open_start.h) ---
    std::string openWorker; // where the task has to start until openUntil; empty: anywhere
    Millis openUntil = 0;
    int openStarts = 0; // given up in a row; after maxOpenStarts of them the next start waits until openUntil
    Millis lastStopAt = 0;
    Millis movedAt = 0;       // last move by consolidation; 0: none in this term
    std::string failedWorker; // worker of the last failure or unanswered start
    // --- Record of the worker, for lasting tasks (run_record.h) ---
    std::string lastWorker;     // of the latest run known to this term; empty: none is
    std::string recordedWorker; // named by the job's records of recordedVersion and later ones; empty: none
    std::uint64_t recordedVersion = 0;
    Millis chosenAt = 0; // when recordedWorker was chosen for a start that has not been ordered yet; 0: it was not
    // --- Room held for the next run (restart_room.h) ---
    std::string heldWorker; // empty: none
    Millis heldUntil = 0;   // when another worker may be chosen
    Millis roomSearchedAt = 0;
    // --- While the phase is Unknown ---
    std::string formerWorker; // the only worker that may have a run or an unstored end of the task; empty: any may
    bool mayHaveRun = false;  // it was Unknown until its workers were accounted for: an earlier term may have run it
    bool hasSingleWorker = false; // runs after endedRun, if there are any, are on one worker that is not known
    std::string storedWorker;     // read from the job's record, which applyRunRecords checks
    // --- For the reports only ---
    bool wasUnknown = false; // when the term began; neither adopted nor started since
    Millis downSince = 0;    // of a lasting task; 0: running, or not checked yet
    Millis downReportedAt = 0;
    Millis lastEndAt = 0; // when the last end was applied; 0: none in this term
    EndKind lastEnd = EndKind::Done;
};

// Decision of the advice service about a worker and a step. Only the ticket expires.
struct WorkerApproval {
    bool isAllowed = false;
    std::string ticket;
    Millis validUntil = 0;
};

struct StepProgress {
    std::vector<Task> tasks;
    int done = 0;
    int placed = 0;                                  // tasks that are placed on a worker
    std::int64_t resolvedToken = -1;                 // token of the term that found no task Unknown or Failed
    Millis readySince = 0;                           // when the steps before it were first seen finished; 0: not ready
    std::map<std::string, WorkerApproval> approvals; // by worker; only for queues that need approval
    Millis lastEndAt = 0;                            // when the last end of a run was applied; 0: none in this term
};

struct Occurrence {
    std::int64_t dueUnixMs = 0; // 0: immediately
    std::vector<StepProgress> steps;
    bool isDone = false;
    std::uint64_t endVersion = 0; // job records of this version and later ones say that it is done
};

struct Job {
    JobRequest request;
    QueuePolicy policy;    // in force (applyPolicyInForce), whatever the order in which jobs and configurations arrive
    Millis acceptedAt = 0; // when this process added the job
    std::int64_t acceptedUnixMs = 0;
    std::int64_t acceptedRevision = 0; // store revision at which the job was accepted; tokens are of the same sequence
    JobState state = JobState::Queued;
    // --- Occurrences (occurrences.h) ---
    std::map<int, Occurrence> occurrences; // the open ones, by number
    NumberSet endedOccurrences;
    int nextOccurrence = 0;           // all below it are open or ended
    std::int64_t occurrenceBytes = 0; // of one open occurrence
    std::int64_t workBytes = 0;       // of the request with one open occurrence
    // --- State ---
    bool hasStarted = false;          // a worker has acknowledged or reported a run; a start order alone does not count
    Millis criticalPathMs = -1;       // critical path of the steps, by their estimates; -1: not computed yet
    Millis waitingReportedAt = 0;     // for the reports only: last line `jobWaiting`; 0: none in this term
    std::int64_t entitledUnixMs = -1; // when its account's rate admits it (account_share.h); -1: not computed yet
    // --- Store ---
    std::uint64_t version = 0;                // incremented by each change that has to be stored
    std::uint64_t committedVersion = 0;       // version in the store; at most `version`
    std::int64_t commitsInTerm = 0;           // records stored by this term, each at a store revision of its own
    bool hasStoredProgress = false;           // there is a progress record, readable or not
    std::int64_t storedRunsRecordedSince = 0; // of the term that wrote the record that was read; 0: not readable
    JobState committedState = JobState::Queued;
    bool hasCancelRequest = false; // in the store
    bool isRecordShort = false;    // its accepted record is, or is being, replaced by that of an ended job
    std::int64_t endedUnixMs = 0;  // 0: not ended, or the stored record has no end time
};

// A task together with its step, occurrence and job. The pointers are valid as long as the job exists.
struct TaskRef {
    Job* job = nullptr;
    Occurrence* occurrence = nullptr;
    StepProgress* progress = nullptr;
    const Step* step = nullptr;
    Task* task = nullptr;
    int occurrenceNumber = 0;
    int stepNumber = 0;
    int index = 0;
};

// --- Workers ---

// A run that a worker reports and that is not the current run of an open task. It is stopped.
struct StrayRun {
    RunNumber run = 0;
    Millis lastStopAt = 0;
};

enum class Contact {
    New,         // no report in this term yet
    Established, // reports, and its lease is renewed in this term
    Lost,        // does not answer; its runs may go on until its lease has expired
};

constexpr base::EnumNames<Contact, 3> contactNames { {
    { Contact::New, "new" },
    { Contact::Established, "held" },
    { Contact::Lost, "lost" },
} };

// Serving tasks of one image on a worker.
struct ServingImage {
    int tasks = 0;
    int targetMs = 0; // lowest latency target of these tasks so far
};

// The end of a run that was applied but must not be acknowledged before it is in the store.
struct UnacknowledgedEnd {
    std::int64_t number = 0;
    std::string job;
    std::string task;
    std::uint64_t version = 0; // of a job record that contains the end
};

// What is known of the present incarnation of a worker. Its clock, the lease ends on that clock and the numbers of its
// ends begin anew with each incarnation, so that all of it is replaced together.
struct WorkerIncarnation {
    Millis seenAt = 0; // its first answer in this term; 0: none yet
    // --- Fencing of calls that were sent to earlier incarnations ---
    std::int64_t formerToken = 0;    // highest token of those calls in this term; 0: there were none
    std::int64_t requestedToken = 0; // of the last lease call
    std::int64_t seenToken = 0;      // highest token of a lease call that it has answered; refuses orders below it
    // --- Clock and lease ---
    std::int64_t clockMs = 0;                  // last reading of its clock
    Millis clockAskedAt = 0;                   // when the call with that reading was sent
    Millis clockReadAt = 0;                    // when its answer arrived; 0: no reading yet
    std::int64_t leaseEndClockMs = 0;          // latest lease end requested so far, on its clock; 0: none
    std::int64_t confirmedLeaseEndClockMs = 0; // as leaseEndClockMs, of the last renewal that was answered
    std::int64_t requestedLeaseEndClockMs = 0; // confirmed by the answer to the call in flight
    // --- Ends of runs ---
    std::int64_t lastAppliedEnd = 0; // number of the last end that was applied
    std::int64_t lastAcknowledgedEnd = 0;
    bool hasLostReport = false; // the last lease call failed: the next one may reach another incarnation
    std::deque<UnacknowledgedEnd> unacknowledged;
};

struct Worker {
    WorkerEntry entry;    // incarnationUnixMs: of the present incarnation; 0: not known
    bool isListed = true; // currently announced in the store
    Millis unlistedSince = 0;
    Contact contact = Contact::New;
    // --- Incarnation and lease ---
    WorkerIncarnation incarnation;
    std::int64_t formerIncarnationUnixMs = 0; // the incarnation before, whose end was seen in this term; 0: none
    std::int64_t fencingToken = 0; // of calls to it; at least the term's, and above incarnation.formerToken once raised
    Millis earlierLeaseEndAt = 0;  // when leases that are not on the incarnation's clock have ended; 0: there are none
    bool isLeaseGranted = false;   // the stored lease table grants it a lease of this term
    bool isLeaseWithheld = false;  // it is about to leave, and its lease lasts until then: not renewed
    Millis renewedAt = 0;          // last lease renewal or start order of this term; 0: none
    Millis reportedAt = 0;         // last report
    bool hasReported = false;      // a report of this term has listed all its runs and ends
    Millis lostAt = 0;
    bool isLeaseExpired = false; // not in contact, and its lease has expired even on the slowest clock
    // --- Reserved resources, including those of tasks that are being stopped ---
    int cpuUsed = 0; // millicores, without filling tasks
    int memoryUsed = 0;
    int gpusUsed = 0;
    int servingCpu = 0;                   // share of cpuUsed of tasks with a latency target, millicores
    int fillCpu = 0;                      // millicores requested by filling tasks
    int lastingCpu = 0;                   // share of cpuUsed of lasting tasks, millicores
    std::map<std::string, TaskRef> tasks; // by name
    std::map<std::string, ServingImage> servingImages;
    std::map<std::string, StrayRun> strays;
    // --- History ---
    double failureScore = 0;    // weighted count of failed runs; each success halves it
    Millis avoidUntil = 0;      // no new tasks before this
    Millis fullUntil = 0;       // no new tasks before this; the worker refused a start for lack of capacity
    int unsentStarts = 0;       // consecutive starts that expired in this daemon before they were sent
    double slowness = 1;        // moving average of run time against estimate; compared with other workers
    double pressure = 0;        // highest ratio of a serving task's latency to its target
    Millis overTargetSince = 0; // a serving task exceeded its target and is not yet well below it (hysteresis); 0: none
    Millis modelUpdatedAt = 0;  // last report whose readings went into the interference model
    Millis lastFillEvictionAt = 0; // last eviction of a filling task that interfered with a serving task
    Millis listedReadyAt = 0; // when the last list was requested that did not show it as draining; 0: none in this term
    Millis drainEndsAt = 0;   // when a draining worker may stop at the earliest; 0: not draining
    Millis vacatedAt = 0;     // when it was last chosen to be vacated; 0: never
    // Serving tasks are kept off it until then, or longer while filling tasks wait; 0: it is not vacated.
    Millis vacantUntil = 0;
};

// --- Outputs ---

// A decision to be logged, with the request that it concerns and the inputs that it was based on.
struct Decision {
    std::string_view event;
    std::string job;
    std::string task;
    std::string worker;
    RunNumber run = 0;
    std::string outcome;
    std::vector<std::pair<const char*, std::int64_t>> inputs;
    std::string image = {}; // of the task, for starts and stops
    std::vector<std::pair<const char*, std::string>> texts = {};
    bool isOfLastingTask = false; // see logRunDecision
};

struct Orders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::optional<ApprovalQuestion> question; // at most one is outstanding
};

// Where a task had a run, an unstored end or an open start (open_start.h) when a term was resigned. Open tasks that are
// not listed have none of them.
struct Placement {
    std::string task;
    std::string worker;
    RunNumber run = 0;
    Millis openMs = 0; // for how long calls with a start there may be carried out; 0: there is none
};

struct Placements {
    std::int64_t token = 0; // of the resigned term
    std::vector<Placement> tasks;
};

struct EndedJob {
    std::string id;
    JobState state = JobState::Completed; // final
    std::int64_t endedUnixMs = 0;
    std::string account = {}; // of the request; empty: none
};

struct JobChange {
    std::string id;
    JobState state = JobState::Queued;
    std::string account = {}; // of the request; empty: none
};

// --- State ---

struct FillDemand {
    double millicores = 0; // requested by running and waiting tasks of the image, moving average
    double perTask = 0;    // mean millicores requested by one of them
    double scarcity = 0;   // demand relative to the processors that the image may use
};

// What a term remembers of a client account between plans.
struct AccountHistory {
    std::int64_t entitledUnixMs = 0; // of its latest job; 0: it had none
    bool isAtCap = false;            // as logged last
    Millis deniedAt = 0;             // last plan in which a task waited for its cap; 0: none
    Millis capLoggedAt = 0;          // last line on its cap; 0: none
};

struct Scheduler {
    Limits limits;
    Configuration configuration;
    std::map<std::string, std::size_t> queuesByName; // position in configuration.queues
    std::set<std::string> withdrawn;                 // data centres in which no task starts
    std::map<std::string, Worker> workers;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
    std::set<std::string> active; // jobs that have not ended, whose final state is not stored, or that still have runs
    std::deque<std::string> retired; // jobs that left `active`, until their accepted records are shortened
    std::int64_t stateBytes = 0;     // of the open occurrences, in the last plan
    std::int64_t endedWorkBytes = 0; // of all jobs that have left `active`; rises
    int deferredJobs = 0;            // with a due occurrence that waits for memory, in the last plan
    Millis deferralLoggedAt = 0;     // last line on them; 0: none
    std::set<std::string> openTasks; // names; tasks that have had open starts (open_start.h), until these are over
    std::set<std::string> unansweredStarts; // names; tasks whose current run had an unanswered call when last looked at
    Interference interference;
    std::set<std::string> dirty; // jobs with changes that are not stored yet
    std::string commitCursor; // last job id of the last commit batch; the next batch continues after it (round robin)
    // Jobs with a start that waits for its record, and the version of the record; stored before other jobs.
    std::map<std::string, std::uint64_t> awaitedRecords;
    // --- Approval of workers ---
    bool isQuestionPending = false; // a question to the advice service is outstanding
    Millis questionRetryAt = 0;     // no new question before this
    double approvedShare = 0.5;     // moving average of the approved share of the workers in a question
    // --- Term ---
    std::int64_t token = 0;
    // Store revision of the term's last renewal: above the tokens of calls sent before it, and below the next term's.
    std::int64_t newestToken = 0;
    Millis termStartedAt = 0;
    TermHistory history;
    std::optional<LeaseTable>
        formerLeases;                   // of the term before; nullopt: any worker may hold a lease of an earlier term
    std::int64_t runsRecordedSince = 0; // token of the first term of the series that records runs; at most this term's
    bool hasPlacements = false;         // the placements of the term before were applied
    bool isStoreFailing = false;        // records are not expected to be stored soon
    Millis validUntil = 0;              // no starts after this
    int startLimit = std::numeric_limits<int>::max(); // starts that the next plan may order; a gang may exceed it
    // Every worker that may hold a lease of an earlier term has reported, or the lease has expired: Unknown tasks may
    // be placed.
    bool isReconciled = false;
    bool hasWorkerList = false; // the workers were listed in this term
    Millis shortNoticeAt = 0;   // when a worker was last first seen to leave at short notice; 0: none in this term
    RecoveryReport recovery;
    DownReport down;
    WaitingReport waiting;
    // --- Outputs that the daemon takes and clears ---
    std::vector<Decision> decisions;
    base::EventBudget decisionBudget;  // since the decisions were taken
    base::EventDrops droppedDecisions; // since the daemon took and cleared them
    std::vector<JobChange> changes;    // committed job states, in order
    // --- Demand for processors that serving tasks leave unused ---
    std::map<std::string, FillDemand> fillDemand; // by filling image
    Millis fillDemandAt = 0;
    Millis consolidatedAt = 0; // last pass of the consolidation of serving tasks
    Millis lastTrialAt = 0; // last trial start of a filling task beside an image with which it is expected to interfere
    // --- Reserve of processors for short tasks ---
    // Millicores of running and waiting short tasks by service, decaying maximum.
    std::map<std::string, double> shortDemand;
    Millis shortDemandAt = 0;
    // --- Client accounts ---
    std::map<std::string, AccountHistory> accounts; // by name
    // Jobs that ended without this term knowing where their runs are, until all workers are accounted for; nullopt: not
    // collected yet.
    std::optional<std::vector<std::string>> endedUnlocated;
    // --- Counters ---
    std::uint64_t starts = 0;
    std::uint64_t rejectedStarts = 0;
    std::uint64_t doneTasks = 0;
    std::uint64_t failedRuns = 0;
    std::uint64_t outdatedAnswers = 0; // of former incarnations of workers
    std::uint64_t servingMoves = 0;    // serving tasks that were stopped to vacate their worker; part of the evictions
    std::uint64_t evictions = 0;       // runs that were stopped while their job was not final
};

// --- Input from the store ---

// Begins a term under the fencing token. Jobs must have been added with their stored progress. Workers of earlier
// terms are added by setWorkers and addFormerWorkers.
void beginTerm(Scheduler& scheduler, std::int64_t token, Millis now, TermHistory history = {});
// The lease table that the term before this one stored. Called after beginTerm and before workers are added.
void setFormerLeases(Scheduler& scheduler, LeaseTable table, Millis now);
// Placements to store when the term is resigned; nullopt while the location of a task is unknown. No order may follow.
std::optional<Placements> collectPlacements(const Scheduler& scheduler, Millis now);
// Applies the placements that the term before this one stored when it resigned. Called after beginTerm.
void applyPlacements(Scheduler& scheduler, const Placements& placements, Millis now);
// Narrows down where runs of lasting tasks may be (run_record.h). Called once, after setFormerLeases and
// applyPlacements.
void applyRunRecords(Scheduler& scheduler);
void setConfiguration(Scheduler& scheduler, Configuration configuration);
void setWithdrawn(Scheduler& scheduler, std::set<std::string> dataCentres);
// The list was requested at requestedAt.
void setWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis requestedAt, Millis now);
// Adds workers that an earlier term knew; their runs are unknown until they report or their lease has expired.
void addFormerWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis now);
std::vector<WorkerEntry> knownWorkers(const Scheduler& scheduler);
// Adds an accepted job; returns the existing one when the id is known.
// acceptedRevision: store revision at which the record of the accepted job was created.
Job& addJob(Scheduler& scheduler, JobRequest request, QueuePolicy policy, std::int64_t acceptedUnixMs,
    std::int64_t acceptedRevision, Millis now);
// Adds a job of which only a short record is left.
void addEndedJob(Scheduler& scheduler, const EndedJob& job, std::int64_t acceptedRevision);
void cancelJob(Scheduler& scheduler, const std::string& id, Millis now);

// --- Input from workers and the advice service ---

struct LeaseRequest {
    std::int64_t expiresClockMs = 0; // on the worker's clock; 0: read the report without renewing the lease
    std::int64_t acknowledged = 0;   // the worker may drop ends up to this number
    std::int64_t fencingToken = 0;
};

LeaseRequest leaseRequest(Scheduler& scheduler, const std::string& worker, Millis now);
// The worker has begun anew and has not answered a lease call since. One sent before that may never be answered.
bool awaitsFirstReport(const Worker& worker);
// True when the stored lease table does not grant a lease to a worker that needs one.
bool hasUngrantedWorkers(const Scheduler& scheduler);
// True when the stored lease table grants a lease to a worker whose lease is withheld.
bool hasWithheldWorkers(const Scheduler& scheduler);
// The lease table to store. With mayRelease, workers that are out of contact or about to leave are released: they get
// no lease until a later table grants it, so that the table should reach the store soon.
LeaseTable nextLeaseTable(Scheduler& scheduler, bool mayRelease, Millis now);
// The table is stored: workers that it grants a lease may get one. Returns those for which this is new.
std::vector<std::string> applyLeaseTable(Scheduler& scheduler, const LeaseTable& table, Millis now);
// Applies a report that was requested at sentAt. Reports of one worker must be applied in the order of their requests.
void applyReport(
    Scheduler& scheduler, const std::string& worker, const WorkerReport& report, Millis sentAt, Millis now);
void applyContactLoss(Scheduler& scheduler, const std::string& worker, Millis now);
// `inputs` are added to the log line of an outcome other than Started.
void applyStart(Scheduler& scheduler, const StartOrder& order, StartOutcome outcome, Millis now,
    std::vector<std::pair<const char*, std::int64_t>> inputs = {});
// Applies the answer to a question of a plan; nullopt: no answer.
void applyApproval(Scheduler& scheduler, const ApprovalQuestion& question, const std::optional<ApprovalAnswer>& answer,
    Millis askedAt, Millis now);
// A lease call was not answered.
void applyReportLoss(Scheduler& scheduler, const std::string& worker);
// Another incarnation of the worker answered: all runs of the former one are lost.
void applyRestart(Scheduler& scheduler, const std::string& worker, Millis now);
// An answer of the worker shows its clock. False: the answer is of an incarnation that has ended, and tells nothing of
// the present one. A clock that is further behind than a late answer explains is that of a new incarnation.
bool applyClock(Scheduler& scheduler, const std::string& worker, const ClockReading& reading, Millis now);

// --- Decisions ---

Orders plan(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs);

// --- Storing ---

// Ids of at most `limit` jobs to store next: those that a start waits for, then final states, each group in round-robin
// order.
std::vector<std::string> nextCommitBatch(Scheduler& scheduler, std::size_t limit);
// The job record of that version, with that state, is in the store.
void applyCommit(Scheduler& scheduler, const std::string& id, std::uint64_t version, JobState state);

// The job has ended, its final state is stored, and it has no runs.
void retireJob(Scheduler& scheduler, Job& job);
// At most `limit` retired jobs whose accepted record may be replaced by a short one; each is returned once.
std::vector<std::string> jobsToShorten(Scheduler& scheduler, std::size_t limit);
// At most `limit` jobs that ended at least keepMs ago, with their final state stored: their records may be removed.
// A job without a recorded end time counts from the first call that sees it.
std::vector<std::string> expiredJobs(Scheduler& scheduler, std::int64_t nowUnixMs, Millis keepMs, std::size_t limit);
// Removes the job; its records were removed from the store.
void removeJob(Scheduler& scheduler, const std::string& id);

// --- Logging ---

// Significant: the decision changes what the scheduler believes about the term, a worker or a job that is down.
// Tracked: it concerns a run of a lasting task.
base::Significance significanceOf(const Decision& decision);
// Returns the decisions since the last call, in order.
std::vector<Decision> takeDecisions(Scheduler& scheduler);

// --- Queries ---

std::string taskName(const std::string& job, int occurrence, int step, int index);

// Length of the leases that this term grants.
Millis leaseLengthMs(const Limits& limits);
// nullopt: unknown, or its occurrence is not open.
std::optional<TaskRef> findTask(Scheduler& scheduler, const std::string& name);
bool hasLabel(const WorkerEntry& entry, const std::string& label);
// Number of accepted jobs without a started task, by queue; queues without such jobs are left out.
std::map<std::string, int> pendingJobs(const Scheduler& scheduler);

} // namespace lacewing::scheduler
