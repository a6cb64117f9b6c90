// Selects the workers of a question and applies the answers.
#include "scheduler/approval.h"

#include "scheduler/restart_room.h"

#include <algorithm>
#include <tuple>

namespace lacewing::scheduler {

namespace {

    constexpr Millis startDeliveryMs = 150; // ms; longest time from an order until the start arrives at the worker
    constexpr std::size_t workersPerQuestion = 100; // limit of the advice service
    constexpr double spareFactor = 1.3;             // requested places per waiting task
    constexpr double shareGain = 0.1;         // weight of the newest answer in the moving average of the approved share
    constexpr double minApprovedShare = 0.05; // bounds the length of questions when hardly any worker is approved
    constexpr Millis questionRetryMs = 200;   // ms; back-off after a question without an answer

    std::string stepName(const Candidate& candidate)
    {
        return candidate.job->request.id + '.' + std::to_string(candidate.occurrenceNumber) + '.'
            + std::to_string(candidate.stepNumber);
    }

    enum class Group {
        Held,     // room is held there for the step, which was approved before
        Renewal,  // approved before, with room; only its ticket has expired
        WithRoom, // not decided
        Later,    // not decided; a restart can have room there as soon as runs end
    };

    struct Ranked {
        const Worker* worker = nullptr;
        Group group = Group::WithRoom;
        double score = 0;
    };

    bool isHeldFor(const StepProgress& progress, const std::string& worker)
    {
        return std::any_of(progress.tasks.begin(), progress.tasks.end(),
            [&](const Task& task) { return task.phase == TaskPhase::Waiting && task.heldWorker == worker; });
    }

    int firstWaiting(const StepProgress& progress)
    {
        const auto found = std::find_if(progress.tasks.begin(), progress.tasks.end(),
            [](const Task& task) { return task.phase == TaskPhase::Waiting; });
        return found == progress.tasks.end() ? -1 : static_cast<int>(found - progress.tasks.begin());
    }

    // Number of tasks of the step that the worker could take at the same time.
    int freePlaces(const Worker& worker, const Step& step)
    {
        const Capacity& capacity = worker.entry.capacity;
        int places = step.count;
        if (!step.isFilling && step.cpuMillicores > 0)
            places = std::min(places, (capacity.cpuMillicores - worker.cpuUsed) / step.cpuMillicores);
        if (step.memoryMb > 0)
            places = std::min(places, (capacity.memoryMb - worker.memoryUsed) / step.memoryMb);
        if (step.maxPerWorker > 0)
            places = std::min(places, step.maxPerWorker);
        return std::max(1, places);
    }

    std::optional<ApprovalQuestion> questionFor(const Planner& planner, const Candidate& candidate,
        const std::function<std::optional<double>(const Worker&, const TaskRef&)>& rank)
    {
        const StepProgress& progress = candidate.occurrence->steps[static_cast<std::size_t>(candidate.stepNumber)];
        const int index = firstWaiting(progress);
        if (index < 0)
            return std::nullopt;
        const TaskRef ref = refOf(candidate, index);
        const Step& step = *ref.step;
        std::vector<Ranked> ranked;
        std::vector<const Worker*> later;
        for (const auto& [id, worker] : planner.scheduler.workers) {
            const auto known = progress.approvals.find(id);
            const bool isDecided = known != progress.approvals.end();
            if (isDecided && (!known->second.isAllowed || isApproved(ref, id, planner.now)))
                continue;
            if (isHeldFor(progress, id))
                ranked.push_back({ &worker, Group::Held, 0 });
            else if (const std::optional<double> score = rank(worker, ref))
                ranked.push_back({ &worker, isDecided ? Group::Renewal : Group::WithRoom, *score });
            else if (candidate.isRestart && !isDecided && !step.isGang)
                later.push_back(&worker);
        }
        for (const Worker* worker : later) {
            if (const std::optional<Millis> afterMs = expectedRoomMs(planner, *worker, ref))
                ranked.push_back({ worker, Group::Later, -static_cast<double>(*afterMs) });
        }
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
            return std::tuple(a.group, -a.score) < std::tuple(b.group, -b.score);
        });
        const auto waiting = static_cast<double>(std::count_if(progress.tasks.begin(), progress.tasks.end(),
            [](const Task& task) { return task.phase == TaskPhase::Waiting; }));
        const double share = std::max(minApprovedShare, planner.scheduler.approvedShare);
        ApprovalQuestion question;
        question.step = stepName(candidate);
        double places = 0;
        for (const Ranked& entry : ranked) {
            if (places >= waiting * spareFactor || question.workers.size() >= workersPerQuestion)
                break;
            const bool isApprovedBefore = entry.group == Group::Held || entry.group == Group::Renewal;
            places += freePlaces(*entry.worker, *ref.step) * (isApprovedBefore ? 1 : share);
            question.workers.push_back(entry.worker->entry.id);
        }
        if (question.workers.empty())
            return std::nullopt;
        const ApprovalPolicy& policy = candidate.job->policy.approval;
        question.expectedMs = policy.decisionMs + policy.perWorkerMs * static_cast<Millis>(question.workers.size());
        return question;
    }

} // namespace

bool isApproved(const TaskRef& ref, const std::string& worker, Millis now)
{
    if (!ref.job->policy.approval.isNeeded)
        return true;
    const auto found = ref.progress->approvals.find(worker);
    return found != ref.progress->approvals.end() && found->second.isAllowed
        && now + startDeliveryMs < found->second.validUntil;
}

bool wasApproved(const TaskRef& ref, const std::string& worker)
{
    if (!ref.job->policy.approval.isNeeded)
        return true;
    const auto found = ref.progress->approvals.find(worker);
    return found != ref.progress->approvals.end() && found->second.isAllowed;
}

std::string ticketFor(const TaskRef& ref, const std::string& worker)
{
    const auto found = ref.progress->approvals.find(worker);
    return found == ref.progress->approvals.end() ? std::string() : found->second.ticket;
}

std::optional<ApprovalQuestion> nextQuestion(
    const Planner& planner, const std::function<std::optional<double>(const Worker&, const TaskRef&)>& rank)
{
    if (planner.scheduler.isQuestionPending || planner.now < planner.scheduler.questionRetryAt)
        return std::nullopt;
    for (const Turn& turn : planner.turns) {
        const Candidate& candidate = *turn.candidate;
        const Step& step = candidate.job->request.steps[static_cast<std::size_t>(candidate.stepNumber)];
        if (!candidate.job->policy.approval.isNeeded || !mayFitCap(candidate.account, step, tasksTogether(step)))
            continue;
        if (auto question = questionFor(planner, candidate, rank))
            return question;
    }
    return std::nullopt;
}

void applyApproval(Scheduler& scheduler, const ApprovalQuestion& question, const std::optional<ApprovalAnswer>& answer,
    Millis askedAt, Millis now)
{
    scheduler.isQuestionPending = false;
    const std::optional<TaskRef> ref = findTask(scheduler, question.step + ".0");
    Decision decision;
    decision.event = "approval";
    decision.job = question.step.substr(0, question.step.find('.'));
    decision.task = question.step;
    decision.inputs = { { "askedWorkers", static_cast<int>(question.workers.size()) }, { "tookMs", now - askedAt } };
    if (!answer) {
        scheduler.questionRetryAt = now + questionRetryMs;
        decision.outcome = "no answer";
        logDecision(scheduler, std::move(decision));
        return;
    }
    decision.inputs.emplace_back("approvedWorkers", static_cast<int>(answer->approved.size()));
    decision.outcome = "answered";
    logDecision(scheduler, std::move(decision));
    const double share = static_cast<double>(answer->approved.size()) / static_cast<double>(question.workers.size());
    scheduler.approvedShare += shareGain * (share - scheduler.approvedShare);
    if (!ref)
        return;
    for (const std::string& worker : question.workers)
        ref->progress->approvals[worker] = {};
    // The validity of a ticket began between the question and its answer; the earliest time is assumed.
    for (const ApprovedWorker& approved : answer->approved)
        ref->progress->approvals[approved.worker] = { true, approved.ticket, askedAt + answer->validMs };
}

} // namespace lacewing::scheduler
