// Usage of client accounts and the check of their caps.
#include "scheduler/account_usage.h"

#include "scheduler/occurrences.h"
#include "scheduler/planner.h"

#include <algorithm>
#include <cmath>

namespace lacewing::scheduler {

namespace {

    // ms after the end of a job until its runs are over: leases are shorter, and stops are repeated (platform limits)
    constexpr std::int64_t endedRunsMs = 60000;
    // ms without a wait for the cap until the account counts as below it: tasks end and start many times a second
    constexpr Millis belowCapMs = 2000;
    constexpr Millis capLinePeriodMs = 5000; // ms between lines of one account
    // ms for which room is kept while the account uses less than half of its cap, and then given back, in turns: half
    // of the 3000 ms after which the platform counts a job of such an account as lost
    constexpr Millis keepRoomMs = 1500;
    constexpr int capLinesPerPlan = 4; // bounds the lines of many accounts; the others follow in later plans

    const Account unknownAccount; // no cap, weight 1

    void add(Resources& sum, const Step& step, int tasks)
    {
        sum.cpuMillicores += static_cast<std::int64_t>(tasks) * step.cpuMillicores;
        sum.memoryMb += static_cast<std::int64_t>(tasks) * step.memoryMb;
        sum.gpus += static_cast<std::int64_t>(tasks) * step.gpus;
        sum.tasks += tasks;
    }

    void addPlaced(AccountUsage& usage, const Step& step, int tasks)
    {
        add(usage.placed, step, tasks);
        if (step.isLasting)
            add(usage.placedLasting, step, tasks);
    }

    // Capacity of the workers of one service that may have runs of an earlier term.
    struct UnaccountedCapacity {
        std::int64_t cpuMillicores = 0;
        std::int64_t memoryMb = 0;
        std::int64_t gpus = 0;
        bool isBounded = true; // false: a worker's capacity is not known, or it may run more than its capacity
    };

    using Unaccounted = std::map<std::string, UnaccountedCapacity>;

    bool rejectsOverload(const Scheduler& scheduler, const std::string& service)
    {
        const auto found = scheduler.configuration.services.find(service);
        return found == scheduler.configuration.services.end() || found->second.rejectsOverload;
    }

    // By service; under the empty name workers whose service is not known.
    Unaccounted unaccountedCapacity(const Scheduler& scheduler)
    {
        Unaccounted unaccounted;
        for (const auto& [id, worker] : scheduler.workers) {
            if (isAccounted(worker))
                continue;
            const Capacity& capacity = worker.entry.capacity;
            UnaccountedCapacity& sum = unaccounted[worker.entry.service];
            sum.cpuMillicores += capacity.cpuMillicores;
            sum.memoryMb += capacity.memoryMb;
            sum.gpus += capacity.gpus;
            sum.isBounded
                = sum.isBounded && !worker.entry.service.empty() && rejectsOverload(scheduler, worker.entry.service);
        }
        return unaccounted;
    }

    // Filling tasks do not count against a worker's processors, but against its memory.
    std::int64_t fillCpuLimit(const UnlocatedTasks& tasks, std::int64_t memoryMb)
    {
        return tasks.fillCpuWithoutMemory
            + static_cast<std::int64_t>(std::ceil(tasks.fillCpuPerMb * static_cast<double>(memoryMb)));
    }

    Resources boundedUsage(const UnlocatedTasks& tasks, const UnaccountedCapacity& capacity)
    {
        Resources sum { tasks.plain.cpuMillicores + tasks.filling.cpuMillicores,
            tasks.plain.memoryMb + tasks.filling.memoryMb, tasks.plain.gpus + tasks.filling.gpus,
            tasks.plain.tasks + tasks.filling.tasks };
        if (!capacity.isBounded)
            return sum;
        sum.cpuMillicores = std::min(tasks.plain.cpuMillicores, capacity.cpuMillicores)
            + std::min(tasks.filling.cpuMillicores, fillCpuLimit(tasks, capacity.memoryMb));
        sum.memoryMb = std::min(sum.memoryMb, capacity.memoryMb);
        sum.gpus = std::min(sum.gpus, capacity.gpus);
        return sum;
    }

    void boundUnlocated(const Unaccounted& unaccounted, AccountUsage& usage)
    {
        const bool isAnyUnknown = unaccounted.count("") > 0;
        for (const auto& [service, tasks] : usage.unlocatedByService) {
            const auto found = unaccounted.find(service);
            if (found == unaccounted.end() && !isAnyUnknown)
                continue;
            UnaccountedCapacity capacity = found == unaccounted.end() ? UnaccountedCapacity {} : found->second;
            capacity.isBounded = capacity.isBounded && !isAnyUnknown;
            const Resources part = boundedUsage(tasks, capacity);
            usage.unlocated.cpuMillicores += part.cpuMillicores;
            usage.unlocated.memoryMb += part.memoryMb;
            usage.unlocated.gpus += part.gpus;
            usage.unlocated.tasks += part.tasks;
        }
    }

    void addUnlocated(const Planner& planner, const Job& job, AccountUsage& usage)
    {
        for (const auto& [number, occurrence] : job.occurrences) {
            if (occurrence.dueUnixMs > planner.nowUnixMs + clockDifferenceMs)
                continue;
            for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
                const StepProgress& progress = occurrence.steps[i];
                const Step& step = job.request.steps[i];
                const auto tasks = static_cast<int>(std::count_if(progress.tasks.begin(), progress.tasks.end(),
                    [](const Task& task) { return task.phase == TaskPhase::Unknown; }));
                if (tasks == 0)
                    continue;
                UnlocatedTasks& sum = usage.unlocatedByService[job.policy.service];
                add(step.isFilling ? sum.filling : sum.plain, step, tasks);
                if (step.isFilling && step.memoryMb <= 0)
                    sum.fillCpuWithoutMemory += static_cast<std::int64_t>(tasks) * step.cpuMillicores;
                else if (step.isFilling)
                    sum.fillCpuPerMb
                        = std::max(sum.fillCpuPerMb, static_cast<double>(step.cpuMillicores) / step.memoryMb);
            }
        }
    }

    // Jobs that had ended when the term began, or have ended since, with runs that may not be located.
    void addEndedUnlocated(Planner& planner)
    {
        Scheduler& scheduler = planner.scheduler;
        if (!scheduler.endedUnlocated) {
            scheduler.endedUnlocated.emplace();
            for (const auto& [id, job] : scheduler.jobs) {
                const bool isRecent = job->endedUnixMs == 0 || planner.nowUnixMs - job->endedUnixMs < endedRunsMs;
                if (!job->request.account.empty() && isRecent && scheduler.active.count(id) == 0)
                    scheduler.endedUnlocated->push_back(id);
            }
        }
        for (const std::string& id : *scheduler.endedUnlocated) {
            const auto job = scheduler.jobs.find(id);
            AccountUsage* usage = job == scheduler.jobs.end() ? nullptr : usageOf(planner, *job->second);
            if (usage)
                addUnlocated(planner, *job->second, *usage);
        }
    }

    // A run that no task needs goes on until its stop; its job may be forgotten, and then its account is not known.
    void countStrays(Planner& planner, const Worker& worker)
    {
        for (const auto& [name, stray] : worker.strays) {
            const std::optional<TaskName> task = parseTaskName(name);
            const auto found
                = task ? planner.scheduler.jobs.find(std::string(task->job)) : planner.scheduler.jobs.end();
            if (found == planner.scheduler.jobs.end())
                continue;
            const std::vector<Step>& steps = found->second->request.steps;
            AccountUsage* usage = usageOf(planner, *found->second);
            if (usage && task->step < static_cast<int>(steps.size()))
                addPlaced(*usage, steps[static_cast<std::size_t>(task->step)], 1);
        }
    }

    bool isWithin(std::int64_t sum, int cap) { return cap <= 0 || sum <= cap; }

    // What counts against the cap, apart from what is held.
    Resources totalOf(const AccountUsage& usage, bool countsHeld)
    {
        Resources sum = usage.placed;
        const auto addAll = [&sum](const Resources& part) {
            sum.cpuMillicores += part.cpuMillicores;
            sum.memoryMb += part.memoryMb;
            sum.gpus += part.gpus;
            sum.tasks += part.tasks;
        };
        addAll(usage.unlocated);
        if (countsHeld)
            addAll(usage.held);
        return sum;
    }

    // Resources that the step does not use are compared without the upper bounds, which it cannot exceed further.
    bool fitsBeside(const AccountUsage& usage, const Resources& total, const Step& step, int tasks)
    {
        const auto fits = [tasks](std::int64_t placed, std::int64_t sum, int need, int cap) {
            return isWithin(need > 0 ? sum + static_cast<std::int64_t>(tasks) * need : placed, cap);
        };
        const Capacity& cap = usage.account->cap;
        return fits(usage.placed.cpuMillicores, total.cpuMillicores, step.cpuMillicores, cap.cpuMillicores)
            && fits(usage.placed.memoryMb, total.memoryMb, step.memoryMb, cap.memoryMb)
            && fits(usage.placed.gpus, total.gpus, step.gpus, cap.gpus);
    }

    bool isLargerThanCap(const Capacity& cap, const Step& step)
    {
        return !isWithin(step.cpuMillicores, cap.cpuMillicores) || !isWithin(step.memoryMb, cap.memoryMb)
            || !isWithin(step.gpus, cap.gpus);
    }

    bool hasRoom(const AccountUsage& usage, const Step& step, int tasks, bool countsHeld)
    {
        const Resources total = totalOf(usage, countsHeld);
        if (tasks == 1 && isLargerThanCap(usage.account->cap, step))
            return total.tasks == 0;
        return fitsBeside(usage, total, step, tasks);
    }

    // Whether the tasks can start once the other tasks of the account that end by themselves have ended.
    bool canEverFit(const AccountUsage& usage, const Step& step, int tasks)
    {
        AccountUsage later;
        later.account = usage.account;
        later.placed = usage.placedLasting;
        return hasRoom(later, step, tasks, false);
    }

    // Whether room under the cap may be kept for the step now. A long run beside a wide task would otherwise keep all
    // other tasks of an account waiting that uses little of its cap.
    bool mayKeepRoom(const AccountUsage& usage, const Step& step, Millis now)
    {
        const Resources total = totalOf(usage, false);
        const Capacity& cap = usage.account->cap;
        const auto isHalfUsed
            = [](std::int64_t used, int need, int limit) { return need > 0 && limit > 0 && 2 * used >= limit; };
        return isHalfUsed(total.cpuMillicores, step.cpuMillicores, cap.cpuMillicores)
            || isHalfUsed(total.memoryMb, step.memoryMb, cap.memoryMb) || isHalfUsed(total.gpus, step.gpus, cap.gpus)
            || now / keepRoomMs % 2 == 0;
    }

    // Whether a worker could run a task of the step when it is empty.
    bool hasPossibleWorker(const Planner& planner, const Candidate& candidate, const Step& step)
    {
        const auto isPossible = [&](const PlannedWorker& planned) {
            const WorkerEntry& entry = planned.worker->entry;
            return entry.capacity.cpuMillicores >= step.cpuMillicores && entry.capacity.memoryMb >= step.memoryMb
                && entry.capacity.gpus >= step.gpus
                && (step.requiredLabel.empty() || hasLabel(entry, step.requiredLabel));
        };
        return std::any_of(planner.pools.begin(), planner.pools.end(), [&](const Pool& pool) {
            return pool.service == candidate.job->policy.service
                && std::any_of(pool.workers.begin(), pool.workers.end(), isPossible);
        });
    }

    bool hasCap(const Capacity& cap) { return cap.cpuMillicores > 0 || cap.memoryMb > 0 || cap.gpus > 0; }

    // Tasks for which the account has room, at most `wanted`, beside those of `usage`.
    int tasksWithRoom(const AccountUsage& usage, const Step& step, int wanted)
    {
        const Resources total = totalOf(usage, true);
        if (isLargerThanCap(usage.account->cap, step))
            return total.tasks == 0 ? 1 : 0;
        std::int64_t tasks = wanted;
        const auto limitBy = [&tasks](std::int64_t sum, int need, int cap) {
            if (need > 0 && cap > 0)
                tasks = std::min(tasks, (cap - sum) / need);
        };
        const Capacity& cap = usage.account->cap;
        limitBy(total.cpuMillicores, step.cpuMillicores, cap.cpuMillicores);
        limitBy(total.memoryMb, step.memoryMb, cap.memoryMb);
        limitBy(total.gpus, step.gpus, cap.gpus);
        return static_cast<int>(std::max<std::int64_t>(0, tasks));
    }

    // Each task is counted in one candidate; what the candidates of an account get together is within its cap.
    void countStartable(Planner& planner)
    {
        for (Candidate& candidate : planner.candidates) {
            candidate.startable = candidate.waiting;
            if (!candidate.account || !hasCap(candidate.account->account->cap))
                continue;
            const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
            candidate.startable = tasksWithRoom(*candidate.account, step, candidate.waiting);
            if (step.isGang && candidate.startable < step.count)
                candidate.startable = 0;
            holdUsage(candidate.account, step, candidate.startable);
        }
        for (auto& [name, usage] : planner.accounts)
            usage.held = {};
    }

    void logCap(Planner& planner, const std::string& name, const AccountUsage& usage, AccountHistory& history)
    {
        history.capLoggedAt = planner.now;
        Decision decision { "accountCap", {}, {}, {}, 0, history.isAtCap ? "reached" : "below",
            { { "millicores", usage.placed.cpuMillicores }, { "memoryMb", usage.placed.memoryMb },
                { "gpus", usage.placed.gpus }, { "tasks", usage.placed.tasks },
                { "unlocatedMillicores", usage.unlocated.cpuMillicores },
                { "heldMillicores", usage.held.cpuMillicores }, { "capMillicores", usage.account->cap.cpuMillicores },
                { "capMb", usage.account->cap.memoryMb }, { "capGpus", usage.account->cap.gpus },
                { "deniedTurns", usage.denied } } };
        decision.texts.emplace_back("account", name);
        logDecision(planner.scheduler, std::move(decision));
    }

} // namespace

AccountUsage* usageOf(Planner& planner, const Job& job)
{
    const std::map<std::string, Account>& accounts = planner.scheduler.configuration.accounts;
    if (accounts.empty() || job.request.account.empty())
        return nullptr;
    const auto [found, isNew] = planner.accounts.try_emplace(job.request.account);
    if (isNew) {
        const auto account = accounts.find(job.request.account);
        found->second.account = account == accounts.end() ? &unknownAccount : &account->second;
    }
    return &found->second;
}

void addUsage(Planner& planner, const Job& job)
{
    AccountUsage* usage = usageOf(planner, job);
    if (!usage)
        return;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (occurrence.steps[i].placed > 0)
                addPlaced(*usage, job.request.steps[i], occurrence.steps[i].placed);
        }
    }
    if (!planner.scheduler.isReconciled)
        addUnlocated(planner, job, *usage);
    const auto end = planner.candidates.rend(); // the review of the job has added its candidates last
    for (auto candidate = planner.candidates.rbegin(); candidate != end && candidate->job == &job; ++candidate)
        candidate->account = usage;
}

void keepUnlocated(Planner& planner, const Job& job)
{
    std::optional<std::vector<std::string>>& ended = planner.scheduler.endedUnlocated;
    if (!planner.scheduler.isReconciled && ended && !job.request.account.empty())
        ended->push_back(job.request.id);
}

void countUsage(Planner& planner)
{
    Scheduler& scheduler = planner.scheduler;
    if (scheduler.configuration.accounts.empty()) {
        for (Candidate& candidate : planner.candidates)
            candidate.startable = candidate.waiting;
        return;
    }
    if (!scheduler.isReconciled) {
        addEndedUnlocated(planner);
        const Unaccounted unaccounted = unaccountedCapacity(scheduler);
        for (auto& [name, usage] : planner.accounts)
            boundUnlocated(unaccounted, usage);
    }
    for (const auto& [id, worker] : scheduler.workers) {
        if (!worker.isLeaseExpired)
            countStrays(planner, worker);
    }
    for (const auto& [name, history] : scheduler.accounts) { // also those without jobs, for the log
        const auto account = scheduler.configuration.accounts.find(name);
        if (history.isAtCap && account != scheduler.configuration.accounts.end())
            planner.accounts.try_emplace(name).first->second.account = &account->second;
    }
    countStartable(planner);
}

void adjustUsage(Planner& planner, const TaskRef& ref, int change)
{
    if (AccountUsage* usage = usageOf(planner, *ref.job))
        addPlaced(*usage, *ref.step, change);
}

void holdUsage(AccountUsage* usage, const Step& step, int tasks)
{
    if (usage)
        add(usage->held, step, tasks);
}

bool hasCapRoom(const AccountUsage* usage, const Step& step, int tasks)
{
    return !usage || !hasCap(usage->account->cap) || hasRoom(*usage, step, tasks, true);
}

bool mayFitCap(const AccountUsage* usage, const Step& step, int tasks)
{
    return !usage || !hasCap(usage->account->cap) || hasRoom(*usage, step, tasks, false);
}

bool mayReturn(const AccountUsage* usage)
{
    if (!usage)
        return true;
    const Resources total = totalOf(*usage, true);
    const Capacity& cap = usage->account->cap;
    return isWithin(total.cpuMillicores, cap.cpuMillicores) && isWithin(total.memoryMb, cap.memoryMb)
        && isWithin(total.gpus, cap.gpus);
}

int tasksTogether(const Step& step) { return step.isGang ? step.count : 1; }

bool admitToCap(Planner& planner, const Turn& turn)
{
    const Candidate& candidate = *turn.candidate;
    const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
    const int tasks = tasksTogether(step);
    if (hasCapRoom(candidate.account, step, tasks))
        return true;
    AccountUsage& usage = *candidate.account;
    ++usage.denied;
    const bool isUrgent = candidate.isRestart || turn.order == Order::Starved;
    if (isUrgent && !usage.isReserved && planner.scheduler.isReconciled && canEverFit(usage, step, tasks)
        && mayKeepRoom(usage, step, planner.now) && hasPossibleWorker(planner, candidate, step)) {
        usage.isReserved = true;
        holdUsage(&usage, step, tasks);
    }
    return false;
}

void reportCaps(Planner& planner)
{
    int lines = 0;
    for (auto& [name, usage] : planner.accounts) {
        if (usage.denied == 0 && planner.scheduler.accounts.count(name) == 0)
            continue;
        AccountHistory& history = planner.scheduler.accounts[name];
        if (usage.denied > 0)
            history.deniedAt = planner.now;
        const bool isAtCap = history.deniedAt > 0 && planner.now - history.deniedAt < belowCapMs;
        const bool isDue = history.capLoggedAt == 0 || planner.now - history.capLoggedAt >= capLinePeriodMs;
        if (isAtCap == history.isAtCap || !isDue || lines >= capLinesPerPlan)
            continue;
        ++lines;
        history.isAtCap = isAtCap;
        logCap(planner, name, usage, history);
    }
}

} // namespace lacewing::scheduler
