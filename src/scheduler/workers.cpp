// Workers: announcements, leases, reports of running and ended runs, answers to start orders.
#include "scheduler/departure.h"
#include "scheduler/internal.h"
#include "scheduler/occurrences.h"
#include "scheduler/open_start.h"
#include "scheduler/run_number.h"
#include "scheduler/run_record.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    // Failure score (failures without a success between them) at which a worker gets no new tasks for avoidFailingMs.
    constexpr double failureScoreLimit = 3;
    constexpr Millis avoidFailingMs = 4000;  // ms; longer than the shortest grey failures of the platform
    constexpr Millis avoidRefusingMs = 1000; // ms; for a worker that answers a start with 429 or 503
    constexpr int unsentLimit = 3;           // consecutive starts that expired in this daemon before they were sent
    constexpr Millis avoidUnsentMs = 500;    // ms; longer than the time-out of an order
    constexpr Millis fullMs = 300;           // ms; for a worker that refused a start for lack of capacity
    constexpr double failureDecay = 0.5;     // factor applied to the failure score by each success
    constexpr double repeatedFailure = 0.3;  // weight of a failure of a task that has failed before
    constexpr double slownessGain = 0.2;     // weight of the newest sample
    // ms after leaving the list until a worker that is out of contact, and whose lease has expired, is removed.
    constexpr Millis unlistedRemovalDelayMs = 2000;
    // ms that a reading of a clock may be off before it is taken for another incarnation's. An incarnation that is no
    // older than this makes no difference to the end of a lease.
    constexpr Millis clockToleranceMs = 500;

    // Time from the last renewal of a lease until it is over, for calls in flight and on the slowest clock.
    Millis leaseOverMs(const Limits& limits, Millis lengthMs)
    {
        return limits.callDelayMs + static_cast<Millis>(static_cast<double>(lengthMs) / limits.workerClockRate);
    }

    // The same for leases of earlier terms. Terms of unknown history may have granted the longest lease.
    Millis formerLeaseMs(const Scheduler& scheduler)
    {
        const Limits& limits = scheduler.limits;
        return leaseOverMs(limits, scheduler.history.isKnown ? leaseLengthMs(limits) : limits.maxLeaseMs);
    }

    // Whether the worker may hold a lease that ends later than a new term would expect from the renewals of this one.
    bool mayHoldLongestLease(const Scheduler& scheduler, const Worker& worker, Millis now)
    {
        const Limits& limits = scheduler.limits;
        return leaseLengthMs(limits) < limits.maxLeaseMs
            && (awaitsFirstReport(worker)
                || worker.earlierLeaseEndAt > now + leaseOverMs(limits, leaseLengthMs(limits)));
    }

    using RunName = std::pair<std::string_view, RunNumber>; // task and run

    bool isEnded(const Task& task) { return task.phase == TaskPhase::Done || task.phase == TaskPhase::Failed; }

    void updateEntry(Scheduler& scheduler, Worker& worker, const WorkerEntry& entry, Millis requestedAt, Millis now)
    {
        if (!entry.isDraining)
            worker.listedReadyAt = requestedAt;
        if (entry.isDraining && worker.drainEndsAt == 0) {
            // The announcement may have been written right after the last list without it.
            const Millis announcedAt = worker.listedReadyAt > 0 ? worker.listedReadyAt : now;
            worker.drainEndsAt = announcedAt + entry.remainingMs;
            recordNotice(scheduler, entry.remainingMs, now);
        } else if (!entry.isDraining) {
            worker.drainEndsAt = 0;
        }
        if (worker.entry.isDraining != entry.isDraining)
            logDecision(scheduler,
                { "workerDraining", {}, {}, entry.id, 0, entry.isDraining ? "draining" : "ready",
                    { { "remainingMs", entry.remainingMs },
                        { "surelyLeftMs", entry.isDraining ? std::max<Millis>(0, worker.drainEndsAt - now) : 0 } } });
        // Only a report changes the known incarnation, because it lists the runs of the new one.
        const std::int64_t listed
            = entry.incarnationUnixMs == worker.formerIncarnationUnixMs ? 0 : entry.incarnationUnixMs;
        const std::int64_t incarnation = worker.entry.incarnationUnixMs != 0 ? worker.entry.incarnationUnixMs : listed;
        worker.entry = entry;
        worker.entry.incarnationUnixMs = incarnation;
        updateWithheldLease(worker, now);
        if (!worker.isListed)
            logDecision(scheduler, { "workerListed", {}, {}, entry.id, 0, "listed", {} });
        worker.isListed = true;
    }

    void updateWorkerHistory(Scheduler& scheduler, Worker& worker, const TaskRef& ref, const EndedTask& end, Millis now)
    {
        Task& task = *ref.task;
        if (end.kind == EndKind::Done) {
            worker.failureScore *= failureDecay;
            const Millis took = now - task.startedAt;
            if (task.startedAt > 0 && ref.step->estimateMs > 0 && !ref.step->isFilling) {
                const double ratio = static_cast<double>(took) / ref.step->estimateMs;
                worker.slowness += slownessGain * (std::clamp(ratio, 0.2, 10.0) - worker.slowness);
            }
            return;
        }
        if (end.kind != EndKind::Failed || ref.step->isLasting)
            return;
        worker.failureScore += task.failedRuns.empty() ? 1 : repeatedFailure;
        task.failedWorker = worker.entry.id;
        if (worker.failureScore >= failureScoreLimit && worker.avoidUntil < now) {
            worker.avoidUntil = now + avoidFailingMs;
            logDecision(scheduler,
                { "workerAvoided", {}, {}, worker.entry.id, 0, "failing",
                    { { "forMs", avoidFailingMs },
                        { "scorePercent", static_cast<std::int64_t>(worker.failureScore * 100) } } });
            worker.failureScore = failureScoreLimit - 1; // after the cool-down, one more failure is enough
        }
    }

    // False for a run that no term can have started, so that a process that is no worker cannot use up the numbers.
    bool isPossibleRun(Scheduler& scheduler, const TaskRef& ref, const Worker& worker, RunNumber run)
    {
        const RunNumber limit = runLimit(scheduler, *ref.job);
        if (run < limit)
            return true;
        logDecision(scheduler,
            { "runRefused", ref.job->request.id, nameOf(ref), worker.entry.id, run, "was never started",
                { { "limit", limit } } });
        return false;
    }

    // Ends arrive in any order: a checkpoint of an earlier run does not replace that of a later one.
    void takeCheckpoint(Task& task, const std::string& checkpoint, RunNumber run)
    {
        if (checkpoint.empty() || (!task.checkpoint.empty() && run < task.checkpointRun))
            return;
        task.checkpoint = checkpoint;
        task.checkpointRun = run;
    }

    void applyEnd(Scheduler& scheduler, Worker& worker, const EndedTask& end, Millis now)
    {
        UnacknowledgedEnd pending;
        pending.number = end.number;
        const std::optional<TaskRef> ref = findReportedTask(scheduler, end.task, end.run, now);
        if (ref && isPossibleRun(scheduler, *ref, worker, end.run)) {
            Task& task = *ref->task;
            const bool isTracked = isCurrentRun(task, worker.entry.id, end.run);
            if (!isEnded(task))
                takeCheckpoint(task, end.checkpoint, end.run);
            markStarted(scheduler, *ref->job, now);
            if (isTracked)
                updateWorkerHistory(scheduler, worker, *ref, end, now);
            logRunDecision(scheduler, *ref,
                { "taskEnded", ref->job->request.id, end.task, worker.entry.id, end.run,
                    std::string(nameOf(endKindNames, end.kind)),
                    { { "number", end.number }, { "runningMs", task.startedAt > 0 ? now - task.startedAt : 0 },
                        { "failures", static_cast<std::int64_t>(task.failedRuns.size()) } } });
            endRun(scheduler, *ref, worker.entry.id, end.kind, end.run, now);
            pending.job = ref->job->request.id;
            pending.task = end.task;
            pending.version = ref->job->version;
        }
        const auto stray = worker.strays.find(end.task);
        if (stray != worker.strays.end() && stray->second.run == end.run)
            worker.strays.erase(stray);
        worker.incarnation.unacknowledged.push_back(std::move(pending));
    }

    // Adopts a run that an earlier term started.
    void adopt(Scheduler& scheduler, Worker& worker, const TaskRef& ref, const RunningTask& row, Millis now)
    {
        Task& task = *ref.task;
        task.phase = TaskPhase::Running;
        task.run = row.run;
        task.isConfirmed = true;
        task.phaseSince = now;
        task.startedAt = 0;
        task.openStartUntil = 0;
        task.startToken = 0;
        task.wasUnknown = false;
        task.percent = row.percent;
        task.progressAt = now;
        reserveResources(worker, ref);
        recordRun(scheduler, ref, worker.entry.id);
        logRunDecision(scheduler, ref,
            { "taskAdopted", ref.job->request.id, row.task, worker.entry.id, row.run, "running",
                { { "percent", row.percent } } });
    }

    void applyRunning(Scheduler& scheduler, Worker& worker, const RunningTask& row, Millis now)
    {
        const std::optional<TaskRef> ref = findReportedTask(scheduler, row.task, row.run, now);
        const auto markStray = [&] {
            StrayRun& stray = worker.strays[row.task];
            if (stray.run != row.run)
                stray = { row.run, 0 };
        };
        const auto waitForStray = [&](Task& waiting) {
            markStray();
            if (!isPlaced(waiting))
                observeStray(
                    waiting, worker.entry.id, now + leaseOverMs(scheduler.limits, scheduler.limits.maxLeaseMs));
        };
        const bool isCurrent = ref && isCurrentRun(*ref->task, worker.entry.id, row.run);
        const bool isOver = !ref || isFinal(ref->job->state) || isEnded(*ref->task);
        if (isOver && isCurrent) // its stop is ordered by the review
            return;
        if (isOver) {
            markStray();
            return;
        }
        Task& task = *ref->task;
        if (!isCurrent && row.run <= task.endedRun) {
            waitForStray(task);
            return;
        }
        if (!isCurrent && !isPossibleRun(scheduler, *ref, worker, row.run)) {
            markStray();
            return;
        }
        if (!isPlaced(task) && row.run >= task.run)
            adopt(scheduler, worker, *ref, row, now);
        if (!isCurrentRun(task, worker.entry.id, row.run)) {
            waitForStray(task);
            return;
        }
        task.isConfirmed = true;
        markStarted(scheduler, *ref->job, now);
        if (task.phase == TaskPhase::Starting) {
            task.phase = TaskPhase::Running;
            task.phaseSince = now;
        }
        if (row.percent != task.percent) {
            task.percent = row.percent;
            task.progressAt = now;
        }
        takeCheckpoint(task, row.checkpoint, row.run);
        task.reading = row.reading;
    }

    // When the start order of a run that the worker does not list was settled; nullopt: it is not. An unanswered start
    // may be executed until its deadline, even if its stop has been ordered since, and by the next incarnation of the
    // worker even later, until that refuses the order's token.
    std::optional<Millis> startSettledAt(const Worker& worker, const Task& task, Millis now)
    {
        const WorkerIncarnation& present = worker.incarnation;
        if (task.startToken < present.seenToken && task.startToken <= present.formerToken)
            return task.phaseSince;
        if (task.startToken <= present.formerToken && now <= task.openStartUntil)
            return std::nullopt;
        return task.isConfirmed ? task.phaseSince : std::max(task.phaseSince, task.startDeadlineAt);
    }

    // Ends runs that the worker reports neither as running nor as ended. The report must have been requested after the
    // start order of the run was settled. `running` is sorted.
    void endMissingRuns(
        Scheduler& scheduler, Worker& worker, const std::vector<RunName>& running, Millis sentAt, Millis now)
    {
        std::vector<std::pair<std::string, TaskRef>> missing; // endRun modifies worker.tasks
        for (const auto& [name, ref] : worker.tasks) {
            if (!std::binary_search(running.begin(), running.end(), RunName(name, ref.task->run)))
                missing.emplace_back(name, ref);
        }
        for (const auto& [name, ref] : missing) {
            Task& task = *ref.task;
            const std::optional<Millis> settledAt = startSettledAt(worker, task, now);
            if (!settledAt || sentAt <= *settledAt)
                continue;
            logRunDecision(scheduler, ref,
                { "runMissing", ref.job->request.id, name, worker.entry.id, task.run, "waiting",
                    { { "phaseMs", now - task.phaseSince },
                        { "openMs", std::max<Millis>(0, task.openStartUntil - now) } } });
            endRun(scheduler, ref, worker.entry.id, EndKind::Lapsed, task.run, now);
        }
    }

    void waitForLongestLease(const Scheduler& scheduler, Worker& worker, Millis now)
    {
        worker.earlierLeaseEndAt
            = std::max(worker.earlierLeaseEndAt, now + leaseOverMs(scheduler.limits, scheduler.limits.maxLeaseMs));
    }

    // How an incarnation has been seen to be over.
    enum class RestartSign { Report, Clock, OtherProcess };

    constexpr base::EnumNames<RestartSign, 3> restartSignNames { {
        { RestartSign::Report, "report of another start" },
        { RestartSign::Clock, "clock began anew" },
        { RestartSign::OtherProcess, "another process answered" },
    } };

    // Calls to the worker carry a token above those of the calls to its former incarnations, as soon as there is one.
    void raiseToken(const Scheduler& scheduler, Worker& worker)
    {
        if (fencingTokenOf(scheduler, worker) <= worker.incarnation.formerToken)
            worker.fencingToken = std::max(fencingTokenOf(scheduler, worker), scheduler.newestToken);
    }

    // The worker has a new incarnation: nothing that was read from or promised to the former one concerns it. Calls
    // that are in flight may still give it a lease of any length, because they name times on the former clock, until
    // it has answered a call with a higher token.
    void beginIncarnation(
        Scheduler& scheduler, Worker& worker, std::int64_t incarnationUnixMs, RestartSign sign, Millis now)
    {
        logDecision(scheduler,
            { "workerRestarted", {}, {}, worker.entry.id, 0, std::string(nameOf(restartSignNames, sign)),
                { { "tasks", static_cast<int>(worker.tasks.size()) }, { "incarnation", incarnationUnixMs },
                    { "former", worker.entry.incarnationUnixMs }, { "formerClockMs", worker.incarnation.clockMs },
                    { "formerToken", fencingTokenOf(scheduler, worker) } } });
        worker.formerIncarnationUnixMs = worker.entry.incarnationUnixMs;
        worker.entry.incarnationUnixMs = incarnationUnixMs;
        worker.incarnation = {};
        worker.incarnation.seenAt = now;
        worker.incarnation.formerToken = fencingTokenOf(scheduler, worker);
        raiseToken(scheduler, worker);
        waitForLongestLease(scheduler, worker, now);
        worker.isLeaseGranted = worker.isLeaseGranted && !mayHoldLongestLease(scheduler, worker, now);
        worker.strays.clear();
        worker.pressure = 0;
        worker.failureScore = 0;
    }

    // Ends the runs on the worker, except those for which `survives` returns true.
    template <typename Predicate>
    void endRunsOfFormerIncarnation(Scheduler& scheduler, Worker& worker, Millis now, Predicate survives)
    {
        const std::map<std::string, TaskRef> tasks = worker.tasks;
        for (const auto& [name, ref] : tasks) {
            if (!survives(name, *ref.task))
                endRun(scheduler, ref, worker.entry.id, EndKind::Lapsed, ref.task->run, now);
        }
    }

    // A new incarnation of the worker reports: ends the runs of the former one. Those with an unanswered call are kept,
    // because the new incarnation may execute it as well, and those that were confirmed since the report was requested,
    // because they may be the new incarnation's.
    void applyRestartReport(Scheduler& scheduler, Worker& worker, const WorkerReport& report, Millis sentAt, Millis now)
    {
        beginIncarnation(scheduler, worker, report.incarnationUnixMs, RestartSign::Report, now);
        endRunsOfFormerIncarnation(scheduler, worker, now, [&](const std::string& name, const Task& task) {
            if (now <= task.openStartUntil || (task.isConfirmed && task.phaseSince >= sentAt))
                return true;
            return std::any_of(report.running.begin(), report.running.end(),
                [&](const RunningTask& row) { return row.task == name && row.run == task.run; });
        });
    }

    // Whose answer a reading is in.
    enum class AnswerOrigin {
        Present, // of the present incarnation
        New,     // of one that has begun since
        Former,  // of one that has ended
    };

    AnswerOrigin originOf(const Scheduler& scheduler, const Worker& worker, const ClockReading& reading, Millis now)
    {
        const WorkerIncarnation& present = worker.incarnation;
        const std::int64_t known = worker.entry.incarnationUnixMs;
        // A call that was sent after the present incarnation had answered is not answered by a former one.
        const bool mayBeFormer = reading.askedAt <= present.seenAt;
        const AnswerOrigin other = mayBeFormer ? AnswerOrigin::Former : AnswerOrigin::New;
        if (reading.incarnationUnixMs != 0 && reading.incarnationUnixMs == worker.formerIncarnationUnixMs)
            return other;
        if (reading.incarnationUnixMs != 0 && known != 0)
            return reading.incarnationUnixMs == known ? AnswerOrigin::Present : other;
        if (reading.clockMs <= 0 || present.clockReadAt == 0)
            return AnswerOrigin::Present;
        const auto passed = static_cast<double>(reading.askedAt - present.clockReadAt);
        const double rate = passed > 0 ? scheduler.limits.workerClockRate : 1;
        const std::int64_t earliest = present.clockMs + static_cast<std::int64_t>(passed * rate);
        const std::int64_t latest = present.clockMs + (now - present.clockAskedAt);
        const bool isBehind = reading.clockMs < earliest - clockToleranceMs;
        const bool isAhead = reading.clockMs > latest + clockToleranceMs;
        if (!isBehind && !isAhead)
            return AnswerOrigin::Present;
        return other;
    }

    void takeReading(Worker& worker, const ClockReading& reading, Millis now)
    {
        WorkerIncarnation& present = worker.incarnation;
        if (reading.clockMs <= 0)
            return;
        if (present.seenAt == 0)
            present.seenAt = now;
        present.clockMs = reading.clockMs;
        present.clockAskedAt = reading.askedAt;
        present.clockReadAt = now;
    }

    void logOutdatedAnswer(Scheduler& scheduler, const Worker& worker, const ClockReading& reading, Millis now)
    {
        ++scheduler.outdatedAnswers;
        logDecision(scheduler,
            { "answerOutdated", {}, {}, worker.entry.id, 0, "of a former incarnation",
                { { "clockMs", reading.clockMs }, { "incarnation", reading.incarnationUnixMs },
                    { "ageMs", now - reading.askedAt } } });
    }

    // The worker has answered the lease call in flight, and refuses calls with a lower token from now on.
    void applySeenToken(Scheduler& scheduler, Worker& worker, Millis now)
    {
        WorkerIncarnation& present = worker.incarnation;
        const bool wasFenced = !awaitsFirstReport(worker);
        present.seenToken = std::max(present.seenToken, present.requestedToken);
        if (wasFenced || awaitsFirstReport(worker))
            return;
        waitForLongestLease(scheduler, worker, now);
        logDecision(scheduler,
            { "formerOrdersFenced", {}, {}, worker.entry.id, 0, "refused from now on",
                { { "token", present.seenToken }, { "formerToken", present.formerToken },
                    { "sinceRestartMs", now - present.seenAt } } });
    }

    void acknowledgeStoredEnds(const Scheduler& scheduler, Worker& worker)
    {
        while (!worker.incarnation.unacknowledged.empty()) {
            const UnacknowledgedEnd& end = worker.incarnation.unacknowledged.front();
            const auto job = scheduler.jobs.find(end.job);
            if (job != scheduler.jobs.end() && job->second->committedVersion < end.version)
                return;
            worker.incarnation.lastAcknowledgedEnd = end.number;
            worker.incarnation.unacknowledged.pop_front();
        }
    }

} // namespace

std::int64_t fencingTokenOf(const Scheduler& scheduler, const Worker& worker)
{
    return std::max(scheduler.token, worker.fencingToken);
}

Millis earlierLeaseEndAt(const Scheduler& scheduler, const std::string& worker)
{
    const TermHistory& history = scheduler.history;
    const bool isFirstTerm = history.isKnown && history.terms.size() <= 1;
    std::optional<Millis> renewedAtClock;
    if (scheduler.formerLeases)
        renewedAtClock = lastRenewalClock(*scheduler.formerLeases, history, worker);
    else if (!isFirstTerm)
        renewedAtClock = history.clockMs;
    // Terms of unknown history had ended when the term clock was 0.
    const Millis unknownLeaseMs = leaseOverMs(scheduler.limits, scheduler.limits.maxLeaseMs) - history.clockMs;
    const Millis unknownEndAt = unknownLeaseMs > 0 ? scheduler.termStartedAt + unknownLeaseMs : 0;
    if (!renewedAtClock)
        return unknownEndAt;
    const bool isLongest = scheduler.formerLeases && scheduler.formerLeases->longest.count(worker) > 0;
    const Millis leaseMs
        = isLongest ? leaseOverMs(scheduler.limits, scheduler.limits.maxLeaseMs) : formerLeaseMs(scheduler);
    return std::max(unknownEndAt, scheduler.termStartedAt - (history.clockMs - *renewedAtClock) + leaseMs);
}

bool isAccounted(const Worker& worker) { return worker.hasReported || worker.isLeaseExpired; }

std::int64_t earliestClock(const Scheduler& scheduler, const Worker& worker, Millis now)
{
    const auto passed = static_cast<double>(now - worker.incarnation.clockReadAt);
    return worker.incarnation.clockMs + static_cast<std::int64_t>(passed * scheduler.limits.workerClockRate);
}

std::int64_t latestClock(const Worker& worker, Millis now)
{
    return worker.incarnation.clockMs + (now - worker.incarnation.clockReadAt);
}

void setWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis requestedAt, Millis now)
{
    std::set<std::string> listed;
    for (const WorkerEntry& entry : entries) {
        listed.insert(entry.id);
        const auto [found, isNew] = scheduler.workers.try_emplace(entry.id);
        if (isNew) {
            found->second.entry = entry;
            found->second.earlierLeaseEndAt = earlierLeaseEndAt(scheduler, entry.id);
            found->second.fencingToken = scheduler.newestToken; // it may have been known, and removed, in this term
            logDecision(
                scheduler, { "workerListed", {}, {}, entry.id, 0, "new", { { "cpu", entry.capacity.cpuMillicores } } });
        }
        updateEntry(scheduler, found->second, entry, requestedAt, now);
    }
    for (auto& [id, worker] : scheduler.workers) {
        if (listed.count(id) > 0 || !worker.isListed)
            continue;
        worker.isListed = false;
        worker.unlistedSince = now;
        worker.listedReadyAt = 0;
        logDecision(scheduler,
            { "workerListed", {}, {}, id, 0, "missing", { { "tasks", static_cast<int>(worker.tasks.size()) } } });
    }
    scheduler.hasWorkerList = true;
}

void addFormerWorkers(Scheduler& scheduler, const std::vector<WorkerEntry>& entries, Millis now)
{
    if (!entries.empty())
        hideHistoryOfFirstTerm(scheduler);
    for (const WorkerEntry& entry : entries) {
        const auto [found, isNew] = scheduler.workers.try_emplace(entry.id);
        Worker& worker = found->second;
        if (!isNew) {
            if (worker.entry.address.empty())
                worker.entry = entry;
            continue;
        }
        worker.entry = entry;
        worker.isListed = false;
        worker.unlistedSince = now;
        worker.earlierLeaseEndAt = earlierLeaseEndAt(scheduler, entry.id);
    }
}

std::vector<WorkerEntry> knownWorkers(const Scheduler& scheduler)
{
    std::vector<WorkerEntry> entries;
    for (const auto& [id, worker] : scheduler.workers)
        entries.push_back(worker.entry);
    return entries;
}

LeaseRequest leaseRequest(Scheduler& scheduler, const std::string& id, Millis now)
{
    Worker& worker = scheduler.workers.at(id);
    acknowledgeStoredEnds(scheduler, worker);
    updateWithheldLease(worker, now);
    raiseToken(scheduler, worker);
    LeaseRequest request;
    request.fencingToken = fencingTokenOf(scheduler, worker);
    worker.incarnation.requestedToken = request.fencingToken;
    // A new incarnation would forget ends of its own that have the same numbers; the present one has forgotten those.
    request.acknowledged = worker.incarnation.hasLostReport ? 0 : worker.incarnation.lastAcknowledgedEnd;
    // The lease of a lost worker is not renewed: the worker might apply the renewal although its answer is lost, and
    // each attempt would extend the lease that has to expire.
    if (worker.incarnation.clockReadAt > 0 && worker.contact != Contact::Lost && worker.isLeaseGranted
        && !worker.isLeaseWithheld) {
        worker.renewedAt = now;
        request.expiresClockMs = latestClock(worker, now) + leaseLengthMs(scheduler.limits);
        worker.incarnation.leaseEndClockMs = std::max(worker.incarnation.leaseEndClockMs, request.expiresClockMs);
    }
    worker.incarnation.requestedLeaseEndClockMs
        = std::max(worker.incarnation.confirmedLeaseEndClockMs, request.expiresClockMs);
    return request;
}

bool awaitsFirstReport(const Worker& worker)
{
    return worker.incarnation.formerToken > 0 && worker.incarnation.seenToken <= worker.incarnation.formerToken;
}

Millis leaseLengthMs(const Limits& limits) { return std::min(limits.maxLeaseMs, limits.grantedLeaseMs); }

bool hasUngrantedWorkers(const Scheduler& scheduler)
{
    return std::any_of(scheduler.workers.begin(), scheduler.workers.end(), [](const auto& entry) {
        const Worker& worker = entry.second;
        return worker.contact == Contact::Established && !worker.isLeaseGranted && !worker.isLeaseWithheld;
    });
}

bool hasWithheldWorkers(const Scheduler& scheduler)
{
    return std::any_of(scheduler.workers.begin(), scheduler.workers.end(),
        [](const auto& entry) { return entry.second.isLeaseGranted && entry.second.isLeaseWithheld; });
}

LeaseTable nextLeaseTable(Scheduler& scheduler, bool mayRelease, Millis now)
{
    LeaseTable table;
    table.token = scheduler.token;
    table.runsRecordedSince = scheduler.runsRecordedSince;
    const Millis clockOffset = scheduler.history.clockMs - scheduler.termStartedAt;
    for (auto& [id, worker] : scheduler.workers) {
        const bool needsLease = worker.contact == Contact::Established && !worker.isLeaseWithheld;
        worker.isLeaseGranted = worker.isLeaseGranted && (needsLease || !mayRelease);
        if (needsLease || worker.isLeaseGranted)
            table.granted[id] = scheduler.token;
        else if (!worker.isLeaseExpired && (worker.renewedAt > 0 || worker.earlierLeaseEndAt > 0))
            // A term that uses the table knows its history, and adds the granted length to this time.
            table.released[id]
                = std::max(worker.renewedAt,
                      worker.earlierLeaseEndAt - leaseOverMs(scheduler.limits, leaseLengthMs(scheduler.limits)))
                + clockOffset;
        if (table.granted.count(id) > 0 && mayHoldLongestLease(scheduler, worker, now))
            table.longest.insert(id);
    }
    return table;
}

std::vector<std::string> applyLeaseTable(Scheduler& scheduler, const LeaseTable& table, Millis now)
{
    std::vector<std::string> granted;
    for (auto& [id, worker] : scheduler.workers) {
        if (worker.contact != Contact::Established || worker.isLeaseGranted || table.granted.count(id) == 0)
            continue;
        // It has begun anew since the table was written.
        if (mayHoldLongestLease(scheduler, worker, now) && table.longest.count(id) == 0)
            continue;
        worker.isLeaseGranted = true;
        granted.push_back(id);
    }
    return granted;
}

bool applyClock(Scheduler& scheduler, const std::string& id, const ClockReading& reading, Millis now)
{
    const auto found = scheduler.workers.find(id);
    if (found == scheduler.workers.end())
        return true;
    Worker& worker = found->second;
    const AnswerOrigin origin = originOf(scheduler, worker, reading, now);
    if (origin == AnswerOrigin::Former) {
        logOutdatedAnswer(scheduler, worker, reading, now);
        return false;
    }
    // Which runs the new incarnation has is told by its report, or by the end of its lease.
    if (origin == AnswerOrigin::New)
        beginIncarnation(scheduler, worker, reading.incarnationUnixMs,
            reading.incarnationUnixMs != 0 ? RestartSign::Report : RestartSign::Clock, now);
    takeReading(worker, reading, now);
    return true;
}

void applyReport(Scheduler& scheduler, const std::string& id, const WorkerReport& report, Millis sentAt, Millis now)
{
    const auto found = scheduler.workers.find(id);
    if (found == scheduler.workers.end())
        return;
    Worker& worker = found->second;
    const ClockReading reading { report.clockMs, report.incarnationUnixMs, sentAt };
    const AnswerOrigin origin = originOf(scheduler, worker, reading, now);
    if (origin == AnswerOrigin::Former) {
        logOutdatedAnswer(scheduler, worker, reading, now);
        return;
    }
    if (origin == AnswerOrigin::New)
        applyRestartReport(scheduler, worker, report, sentAt, now);
    if (report.incarnationUnixMs != 0)
        worker.entry.incarnationUnixMs = report.incarnationUnixMs;
    takeReading(worker, reading, now);
    if (worker.contact != Contact::Established) {
        logDecision(scheduler,
            { "workerContact", {}, {}, id, 0, worker.contact == Contact::Lost ? "regained" : "held",
                { { "running", static_cast<int>(report.running.size()) },
                    { "ended", static_cast<int>(report.ended.size()) } } });
        worker.contact = Contact::Established;
    }
    worker.isLeaseExpired = false;
    worker.reportedAt = now;
    worker.incarnation.hasLostReport = false;
    worker.incarnation.confirmedLeaseEndClockMs = worker.incarnation.requestedLeaseEndClockMs;
    applySeenToken(scheduler, worker, now);
    for (const EndedTask& end : report.ended) {
        if (end.number <= worker.incarnation.lastAppliedEnd)
            continue;
        worker.incarnation.lastAppliedEnd = end.number;
        applyEnd(scheduler, worker, end, now);
    }
    std::vector<RunName> running;
    running.reserve(report.running.size());
    for (auto it = worker.strays.begin(); it != worker.strays.end();) {
        const bool isListed = std::any_of(report.running.begin(), report.running.end(),
            [&](const RunningTask& row) { return row.task == it->first && row.run == it->second.run; });
        it = isListed ? std::next(it) : worker.strays.erase(it);
    }
    for (const RunningTask& row : report.running) {
        running.emplace_back(row.task, row.run);
        applyRunning(scheduler, worker, row, now);
    }
    std::sort(running.begin(), running.end());
    if (report.isEndListTruncated)
        return;
    worker.hasReported = true;
    endMissingRuns(scheduler, worker, running, sentAt, now);
}

void applyReportLoss(Scheduler& scheduler, const std::string& id)
{
    if (const auto found = scheduler.workers.find(id); found != scheduler.workers.end())
        found->second.incarnation.hasLostReport = true;
}

void applyContactLoss(Scheduler& scheduler, const std::string& id, Millis now)
{
    const auto found = scheduler.workers.find(id);
    if (found == scheduler.workers.end() || found->second.contact == Contact::Lost)
        return;
    Worker& worker = found->second;
    logDecision(scheduler,
        { "workerContact", {}, {}, id, 0, "lost",
            { { "tasks", static_cast<int>(worker.tasks.size()) },
                { "lastReportMs", worker.reportedAt > 0 ? now - worker.reportedAt : -1 } } });
    worker.contact = Contact::Lost;
    worker.lostAt = now;
}

void applyRestart(Scheduler& scheduler, const std::string& id, Millis now)
{
    const auto found = scheduler.workers.find(id);
    if (found == scheduler.workers.end())
        return;
    Worker& worker = found->second;
    beginIncarnation(scheduler, worker, 0, RestartSign::OtherProcess, now);
    for (auto& [name, ref] : worker.tasks)
        ref.task->openStartUntil = 0; // the other process refuses calls that name this worker
    endRunsOfFormerIncarnation(scheduler, worker, now, [](const std::string&, const Task&) { return false; });
    worker.earlierLeaseEndAt = now; // the other process refuses calls that name this worker
    worker.contact = Contact::New;
}

void applyStart(Scheduler& scheduler, const StartOrder& order, StartOutcome outcome, Millis now,
    std::vector<std::pair<const char*, std::int64_t>> inputs)
{
    const auto worker = scheduler.workers.find(order.worker);
    const std::optional<TaskRef> ref = findTask(scheduler, order.task);
    if (outcome != StartOutcome::Started) {
        Decision decision { "startAnswered", ref ? ref->job->request.id : "", order.task, order.worker, order.run,
            std::string(nameOf(startOutcomeNames, outcome)), std::move(inputs) };
        decision.isOfLastingTask = ref && ref->step->isLasting;
        logDecision(scheduler, std::move(decision));
    }
    if (outcome == StartOutcome::OtherIncarnation) {
        applyRestart(scheduler, order.worker, now);
        return;
    }
    if (!ref || !isCurrentRun(*ref->task, order.worker, order.run))
        return;
    Task& task = *ref->task;
    task.isConfirmed = task.isConfirmed || outcome == StartOutcome::Started;
    if (outcome == StartOutcome::Started) {
        markStarted(scheduler, *ref->job, now);
        settleOpenStarts(task);
        ref->task->host->unsentStarts = 0;
        if (order.attempts == 1)
            task.openStartUntil = 0;
    }
    if (task.phase != TaskPhase::Starting)
        return;
    switch (outcome) {
    case StartOutcome::Started:
        task.phase = TaskPhase::Running;
        task.phaseSince = now;
        task.startedAt = now;
        task.progressAt = now;
        return;
    case StartOutcome::Unknown:
        task.failedWorker = order.worker; // another one is preferred once the run is settled
        return;
    case StartOutcome::Outdated: // the run may have started and ended before its answer was lost
        return;
    case StartOutcome::NoCapacity:
        ++scheduler.rejectedStarts;
        if (worker != scheduler.workers.end())
            worker->second.fullUntil = now + fullMs;
        break;
    case StartOutcome::Refused:
        if (worker != scheduler.workers.end())
            worker->second.avoidUntil = std::max(worker->second.avoidUntil, now + avoidRefusingMs);
        break;
    case StartOutcome::NoTicket: // the approval is requested again
        ref->progress->approvals.erase(order.worker);
        break;
    case StartOutcome::Unsent: // one is no evidence against the worker; several would use up the bound on starts
        if (worker != scheduler.workers.end() && ++worker->second.unsentStarts >= unsentLimit) {
            worker->second.avoidUntil = std::max(worker->second.avoidUntil, now + avoidUnsentMs);
            worker->second.unsentStarts = 0;
        }
        break;
    case StartOutcome::Fenced:
    case StartOutcome::Late:
    case StartOutcome::OtherIncarnation:
        break;
    }
    if (order.attempts > 1) // the calls before this one were not answered
        keepOpenStart(scheduler, *ref, now);
    releaseResources(*ref);
    task.phase = TaskPhase::Waiting;
    task.phaseSince = now;
}

void reconcileWorkers(Scheduler& scheduler, Millis now)
{
    bool isReconciled = scheduler.hasWorkerList;
    for (auto it = scheduler.workers.begin(); it != scheduler.workers.end();) {
        Worker& worker = it->second;
        updateWithheldLease(worker, now);
        if (worker.contact != Contact::Established && !worker.isLeaseExpired) {
            const bool isOwnLeaseOver = worker.incarnation.leaseEndClockMs == 0
                || (worker.incarnation.clockReadAt > 0
                    && earliestClock(scheduler, worker, now)
                        > worker.incarnation.leaseEndClockMs + scheduler.limits.leaseSlackMs);
            worker.isLeaseExpired = isOwnLeaseOver && now > worker.earlierLeaseEndAt + scheduler.limits.leaseSlackMs;
            if (worker.isLeaseExpired && !worker.tasks.empty()) {
                logDecision(scheduler,
                    { "leaseExpired", {}, {}, it->first, 0, "tasks are waiting again",
                        { { "tasks", static_cast<int>(worker.tasks.size()) }, { "lostMs", now - worker.lostAt } } });
                const std::map<std::string, TaskRef> tasks = worker.tasks;
                for (const auto& [name, ref] : tasks) {
                    ref.task->openStartUntil = 0; // as dropOpenStarts
                    endRun(scheduler, ref, worker.entry.id, EndKind::Lapsed, ref.task->run, now);
                }
            }
            if (worker.isLeaseExpired)
                dropOpenStarts(scheduler, worker);
        }
        isReconciled = isReconciled && isAccounted(worker);
        const bool isGone
            = worker.isLeaseExpired && !worker.isListed && now - worker.unlistedSince > unlistedRemovalDelayMs;
        it = isGone ? scheduler.workers.erase(it) : std::next(it);
    }
    scheduler.isReconciled = scheduler.isReconciled || isReconciled;
    dropOpenStartsOfGoneWorkers(scheduler, now);
}

} // namespace lacewing::scheduler
