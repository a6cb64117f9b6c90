// State of the daemon that schedules, and the functions that change it.
//
// Guide
//   beginTerm        a new term begins: nothing may start before the workers have said what they run
//   setWorkers, setConfiguration, setWithdrawn, addJob, cancelJob
//                   what the store says
//   applyReport, applyContactLoss, applyStart, applyApproval
//                   what workers and the advice service say
//   plan            what to do next: starts, stops, a question to the advice service
//   nextCommitBatch, applyCommit
//                   what has to be in the store before anything that depends on it is shown or acknowledged
//
// Pure: no clock, no random numbers, no input or output. The same functions run in the daemon and the tests.
//
// Invariants
//   - A task has at most one run that a worker may be executing. It is placed again only after that run's end was
//     reported, the worker is known to have lost it, or the worker's lease has surely run out.
//   - An end is acknowledged to its worker only after the job's record that contains it is in the store.
//   - A final state is shown only after it is in the store.
#pragma once

#include "scheduler/interference.h"
#include "scheduler/types.h"

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
    Millis maxLeaseMs = 6000;      // longest lease of a worker (platform bound)
    Millis stopTimeoutMs = 900;    // longest stop of a task (platform bound)
    double workerClockRate = 0.98; // slowest clock of a worker relative to ours (platform bound)
    Millis callDelayMs = 400;      // a call of an earlier term may still be on its way (time-out of an order)
    Millis startDeadlineMs = 1500; // a start that arrives later is refused by the worker
    Millis leaseSlackMs = 150;     // margin on top of computed ends of leases
    Millis impactMs = 4000;        // longest time that filling tasks may keep a serving one over its target (platform)
};

// --- Jobs ---

struct Worker;

enum class TaskPhase {
    Waiting,  // may be placed
    Unknown,  // may be running on a worker that has not reported in this term
    Starting, // ordered; no answer yet
    Running,
    Stopping, // stop ordered; holds its room until the end is reported
    Done,
    Failed, // used up its attempts
};

struct Task {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0;                 // highest run number used
    int endedRun = 0;            // highest run whose end was applied; ends up to it are repeats
    std::vector<int> failedRuns; // runs that count against maxAttempts, each once
    std::string checkpoint;
    // --- Run in progress ---
    std::string worker;     // id; empty when none
    Worker* host = nullptr; // the same worker; null exactly when the id is empty
    Millis phaseSince = 0;  // of the phase
    Millis startedAt = 0;   // of the run
    int percent = 0;
    Millis progressAt = 0;      // last change of percent
    int reading = 0;            // see RunningTask
    Millis startDeadlineAt = 0; // the start cannot be carried out after this
    bool isConfirmed = false;   // the worker has said that it runs
    Millis lastStopAt = 0;
    std::string failedWorker; // where the last failure happened
    // --- At the beginning of a term ---
    std::string formerWorker; // the only worker that may hold a run or an end of the task; empty: any may
};

// What the advice service said of a worker and a step. Only the ticket expires.
struct WorkerApproval {
    bool isAllowed = false;
    std::string ticket;
    Millis validUntil = 0;
};

struct StepProgress {
    std::vector<Task> tasks;
    int done = 0;
    int placed = 0;                                  // tasks that hold a run
    std::int64_t resolvedToken = -1;                 // of the term in which no task is Unknown or Failed any more
    Millis readySince = 0;                           // when the steps before it had finished; 0: not ready
    std::map<std::string, WorkerApproval> approvals; // by worker; only in queues that need them
};

struct Occurrence {
    std::int64_t dueUnixMs = 0; // 0: at once
    std::vector<StepProgress> steps;
    bool isDone = false;
};

struct Job {
    JobRequest request;
    QueuePolicy policy;
    Millis acceptedAt = 0; // first seen by this process
    std::int64_t acceptedUnixMs = 0;
    JobState state = JobState::Queued;
    std::map<int, Occurrence> occurrences; // by number
    bool hasStarted = false;               // a worker has said that it runs or ran a task; an order alone is no start
    Millis longestChainMs = -1;            // of the request's steps; -1: not computed yet
    // --- Store ---
    std::uint64_t version = 0;          // rises with each change that has to be stored
    std::uint64_t committedVersion = 0; // never above version
    JobState committedState = JobState::Queued;
    bool hasCancelRequest = false; // the store holds one
    std::int64_t endedUnixMs = 0;  // 0: has not ended, or ended before a record of the time
};

// A task with everything above it. Pointers stay valid as long as the job exists.
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

// A run that a worker reports and nobody needs: it is stopped.
struct StrayRun {
    int run = 0;
    Millis lastStopAt = 0;
};

enum class Contact {
    New,         // has not answered in this term
    Established, // holds a lease of this term
    Lost,        // does not answer; what ran there may go on until its lease has run out
};

constexpr base::EnumNames<Contact, 3> contactNames { {
    { Contact::New, "new" },
    { Contact::Established, "held" },
    { Contact::Lost, "lost" },
} };

// Serving tasks of one image on a worker.
struct ServingImage {
    int tasks = 0;
    int targetMs = 0; // lowest target seen
};

// An end that was read but may not be acknowledged yet.
struct UnacknowledgedEnd {
    std::int64_t number = 0;
    std::string job;
    std::string task;
    std::uint64_t version = 0; // of the job's record that contains the end
};

struct Worker {
    WorkerEntry entry;
    bool isListed = true; // announced in the store now
    Millis unlistedSince = 0;
    Contact contact = Contact::New;
    // --- Lease and clock ---
    std::int64_t clockMs = 0;         // last clock read
    Millis clockReadAt = 0;           // 0: never
    std::int64_t leaseEndClockMs = 0; // latest end of lease ever asked for, on the worker's clock
    Millis earlierLeaseEndAt = 0;     // when a lease of an earlier term has surely run out
    Millis reportedAt = 0;            // last report
    Millis lostAt = 0;
    bool isLeaseExpired = false; // lost, and its lease has surely run out
    // --- Ends ---
    std::int64_t lastAppliedEnd = 0; // ends up to this were applied
    std::int64_t lastAcknowledgedEnd = 0;
    std::deque<UnacknowledgedEnd> unacknowledged;
    // --- Room; tasks that are being stopped count ---
    int cpuUsed = 0; // accounted millicores, without filling tasks
    int memoryUsed = 0;
    int gpusUsed = 0;
    int servingCpu = 0;                   // part of cpuUsed that belongs to tasks with a latency target
    int fillCpu = 0;                      // millicores asked for by filling tasks
    int lastingCpu = 0;                   // part of cpuUsed that belongs to lasting tasks
    std::map<std::string, TaskRef> tasks; // by name
    std::map<std::string, ServingImage> servingImages;
    std::map<std::string, StrayRun> strays;
    // --- Experience ---
    double failureScore = 0;    // decaying count of failed ends without a done one between
    Millis avoidUntil = 0;      // no new tasks before this
    Millis fullUntil = 0;       // refused a start for want of room
    int unsentStarts = 0;       // in a row, that expired in this daemon
    double slowness = 1;        // measured time of a task against its estimate, relative to other workers
    double pressure = 0;        // highest reading of a serving task against its target
    Millis overTargetSince = 0; // a serving task went over its target and has not been well below it since; 0: none
    Millis modelUpdatedAt = 0;  // last report whose readings were learned from
    Millis lastFillStopAt = 0;  // last stop of a filling task for the sake of a serving one
    Millis drainEndsAt = 0;     // earliest end of a draining worker; 0: not draining
};

// --- Outputs ---

// One decision for the log: what was decided, for which request, from which inputs.
struct Decision {
    std::string_view event;
    std::string job;
    std::string task;
    std::string worker;
    int run = 0;
    std::string outcome;
    std::vector<std::pair<const char*, std::int64_t>> inputs;
    std::string image = {}; // of the task, where it matters
};

struct Orders {
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::optional<ApprovalQuestion> question; // one at a time: the next one follows its answer
};

// Where the tasks of a term were when it was given up: every other open task has neither a run nor an unstored end.
struct Placement {
    std::string task;
    std::string worker;
    int run = 0;
};

struct Placements {
    std::int64_t token = 0; // of the term that was given up
    std::vector<Placement> tasks;
};

struct JobChange {
    std::string id;
    JobState state = JobState::Queued;
};

// --- State ---

struct FillDemand {
    double millicores = 0; // that tasks of the image lately ran or waited with
    double perTask = 0;    // millicores that one of them asks for, on the mean
    double scarcity = 0;   // demand against the processors that the image may use
};

struct Scheduler {
    Limits limits;
    Configuration configuration;
    std::set<std::string> withdrawn; // data centres that get nothing new
    std::map<std::string, Worker> workers;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
    std::set<std::string> active; // jobs that are not final, or not committed as such
    Interference interference;
    std::set<std::string> dirty; // jobs whose record has to be stored
    std::string commitCursor;    // of the dirty ones, for storing: the next ones follow it
    // --- Approval of workers ---
    bool isQuestionPending = false; // one is on its way to the advice service
    Millis questionRetryAt = 0;     // none is asked before this
    double approvedShare = 0.5;     // of the workers that were asked about
    // --- Term ---
    std::int64_t token = 0;
    Millis termStartedAt = 0;
    Millis validUntil = 0;                            // nothing starts after this
    int startLimit = std::numeric_limits<int>::max(); // starts that the next plan may order; a gang may go beyond
    bool isReconciled = false;  // every worker has reported or expired: unknown tasks may be placed
    bool hasWorkerList = false; // the list of workers was read in this term
    // --- For the services ---
    std::vector<Decision> decisions;
    std::vector<JobChange> changes; // committed states, in order
    // --- Demand for processors that serving tasks leave unused ---
    std::map<std::string, FillDemand> fillDemand; // by filling image
    Millis fillDemandAt = 0;
    Millis lastTrialAt = 0; // last start of a filling task beside an image that it is believed to disturb
    // --- Room kept for short tasks ---
    std::map<std::string, double> shortDemand; // by service: millicores that short tasks lately ran or waited with
    Millis shortDemandAt = 0;
    std::uint64_t starts = 0;
    std::uint64_t rejectedStarts = 0;
    std::uint64_t doneTasks = 0;
    std::uint64_t failedRuns = 0;
    std::uint64_t evictions = 0; // runs that were stopped though their job goes on
};

// --- What the store says ---

// Begins a term under the token. Jobs must have been added with their stored progress. Workers of earlier terms are
// added by setWorkers and addFormerWorkers.
void beginTerm(Scheduler& scheduler, std::int64_t token, Millis now);
// What the term knows when it is given up; nullopt while it does not know where all tasks are. No order may follow.
std::optional<Placements> collectPlacements(const Scheduler& scheduler);
// After beginTerm: the term before this one was given up with these placements.
void applyPlacements(Scheduler& scheduler, const Placements& placements, Millis now);
void setConfiguration(Scheduler& scheduler, Configuration configuration);
void setWithdrawn(Scheduler& scheduler, std::set<std::string> dataCentres);
void setWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis now);
// Workers that an earlier term knew: what they run is unknown until they report or their lease has run out.
void addFormerWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis now);
std::vector<WorkerEntry> knownWorkers(const Scheduler& scheduler);
// Adds an accepted job; no effect when it is known.
Job& addJob(Scheduler& scheduler, JobRequest request, QueuePolicy policy, std::int64_t acceptedUnixMs, Millis now);
void cancelJob(Scheduler& scheduler, const std::string& id, Millis now);

// --- What workers say ---

struct LeaseRequest {
    std::int64_t expiresClockMs = 0; // 0: only look
    std::int64_t acknowledged = 0;   // ends up to this may be forgotten
};

LeaseRequest leaseRequest(Scheduler& scheduler, const std::string& worker, Millis now);
// A report that was asked for at sentAt. Reports of one worker must be applied in the order of their requests.
void applyReport(
    Scheduler& scheduler, const std::string& worker, const WorkerReport& report, Millis sentAt, Millis now);
void applyContactLoss(Scheduler& scheduler, const std::string& worker, Millis now);
// `inputs` go into the log line of an answer other than Started.
void applyStart(Scheduler& scheduler, const StartOrder& order, StartOutcome outcome, Millis now,
    std::vector<std::pair<const char*, std::int64_t>> inputs = {});
// The answer to a question of a plan; nullopt: none came.
void applyApproval(Scheduler& scheduler, const ApprovalQuestion& question, const std::optional<ApprovalAnswer>& answer,
    Millis askedAt, Millis now);
// Another life of the worker answers: everything that ran there is gone.
void applyRestart(Scheduler& scheduler, const std::string& worker, Millis now);
void applyClock(Scheduler& scheduler, const std::string& worker, std::int64_t clockMs, Millis now);

// --- Decisions ---

Orders plan(Scheduler& scheduler, Millis now, std::int64_t nowUnixMs);

// --- Storing ---

// Jobs to store now, at most `limit`: final states first, each job in its turn.
std::vector<std::string> nextCommitBatch(Scheduler& scheduler, std::size_t limit);
// The record of the job at that version is in the store.
void applyCommit(Scheduler& scheduler, const std::string& id, std::uint64_t version, JobState state);

// Jobs whose end is in the store for at least keepMs: their records may be removed. At most `limit`.
std::vector<std::string> expiredJobs(Scheduler& scheduler, std::int64_t nowUnixMs, Millis keepMs, std::size_t limit);
// The records of the job were removed.
void removeJob(Scheduler& scheduler, const std::string& id);

// --- Queries ---

std::string taskName(const std::string& job, int occurrence, int step, int index);

std::optional<TaskRef> findTask(Scheduler& scheduler, const std::string& name);
bool hasLabel(const WorkerEntry& entry, const std::string& label);
// Accepted jobs for which no task has started, by queue; queues without any are left out.
std::map<std::string, int> pendingJobs(const Scheduler& scheduler);

} // namespace lacewing::scheduler
