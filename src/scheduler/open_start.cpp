// Where a task may start while calls with its former starts are open, and the table of them for the next term.
#include "scheduler/open_start.h"

#include "base/json.h"
#include "scheduler/internal.h"
#include "scheduler/occurrences.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr int maxOpenStarts = 4; // in a row; half of the calls may be lost, and each start has two
    constexpr int rowLength = 4;     // task, worker, run and end, in the encoded table

    bool isOver(const TaskRef& ref)
    {
        return isFinal(ref.job->state) || ref.task->phase == TaskPhase::Done || ref.task->phase == TaskPhase::Failed;
    }

    // The term clock. It does not run ahead, so that an end on it is not taken for past too early.
    Millis termClock(const Scheduler& scheduler, Millis now)
    {
        return scheduler.history.clockMs + (now - scheduler.termStartedAt);
    }

} // namespace

Millis openStartEnd(const Limits& limits, Millis now) { return now + limits.startDeadlineMs + limits.lateOrderMs; }

void keepOpenStart(Scheduler& scheduler, const TaskRef& ref, Millis now)
{
    Task& task = *ref.task;
    if (task.worker.empty() || now > task.openStartUntil)
        return;
    task.openWorker = task.worker;
    task.openUntil = std::max(task.openUntil, task.openStartUntil);
    ++task.openStarts;
    scheduler.openTasks.insert(nameOf(ref));
}

void observeStray(Task& task, const std::string& worker, Millis endsBy)
{
    task.openWorker = worker;
    task.openUntil = std::max(task.openUntil, endsBy);
}

void dropOpenStarts(Scheduler& scheduler, const Worker& worker)
{
    for (const std::string& name : scheduler.openTasks) {
        const std::optional<TaskRef> ref = findTask(scheduler, name);
        if (ref && ref->task->openWorker == worker.entry.id)
            ref->task->openUntil = 0;
    }
}

void settleOpenStarts(Task& task) { task.openStarts = 0; }

bool hasOpenStart(const Task& task, Millis now) { return !task.openWorker.empty() && now <= task.openUntil; }

bool allowsStart(const TaskRef& ref, const Worker& worker, Millis now)
{
    const Task& task = *ref.task;
    return !hasOpenStart(task, now)
        || (task.openWorker == worker.entry.id && task.openStarts < maxOpenStarts
            && worker.strays.count(nameOf(ref)) == 0);
}

OpenStartTable collectOpenStarts(Scheduler& scheduler, Millis now)
{
    OpenStartTable table;
    table.token = scheduler.token;
    const Millis clockOffset = termClock(scheduler, now) - now;
    const Millis answerBy = openStartEnd(scheduler.limits, now) - unansweredStartMs;
    std::set<std::string>& names = scheduler.unansweredStarts;
    for (auto name = names.begin(); name != names.end();) {
        const std::optional<TaskRef> ref = findTask(scheduler, *name);
        if (!ref || !isPlaced(*ref->task) || now > ref->task->openStartUntil) {
            name = names.erase(name);
            continue;
        }
        if (ref->task->openStartUntil <= answerBy && !isOver(*ref))
            table.starts[*name] = { ref->task->worker, ref->task->run, ref->task->openStartUntil + clockOffset };
        ++name;
    }
    for (const std::string& name : scheduler.openTasks) {
        const std::optional<TaskRef> ref = findTask(scheduler, name);
        if (!ref || !hasOpenStart(*ref->task, now) || isOver(*ref))
            continue;
        const Millis until = ref->task->openUntil + clockOffset;
        OpenStart& start
            = table.starts.try_emplace(name, OpenStart { ref->task->openWorker, ref->task->run, until }).first->second;
        start.untilClockMs = std::max(start.untilClockMs, until);
    }
    return table;
}

bool lacksOpenStarts(const OpenStartTable& stored, const OpenStartTable& current)
{
    return std::any_of(current.starts.begin(), current.starts.end(), [&](const auto& entry) {
        const auto known = stored.starts.find(entry.first);
        return known == stored.starts.end() || known->second.worker != entry.second.worker
            || known->second.untilClockMs < entry.second.untilClockMs;
    });
}

void applyOpenStarts(Scheduler& scheduler, const OpenStartTable& table, Millis now)
{
    if (scheduler.hasPlacements)
        return;
    const Millis longestMs = openStartEnd(scheduler.limits, now) - now;
    int kept = 0;
    for (const auto& [name, start] : table.starts) {
        const std::optional<TaskRef> ref = findReportedTask(scheduler, name, start.run, now);
        // Where the history is not known, the end is on another clock.
        const Millis leftMs = scheduler.history.isKnown
            ? std::min(start.untilClockMs - termClock(scheduler, now), longestMs)
            : longestMs;
        if (!ref || isOver(*ref) || leftMs < 0)
            continue;
        ref->task->openWorker = start.worker;
        ref->task->openUntil = std::max(ref->task->openUntil, now + leftMs);
        ref->task->run = std::max(ref->task->run, start.run);
        scheduler.openTasks.insert(name);
        ++kept;
    }
    logDecision(scheduler,
        { "openStartsApplied", {}, {}, {}, 0, "tasks start on their worker while calls may be carried out",
            { { "formerToken", table.token }, { "listed", static_cast<int>(table.starts.size()) },
                { "kept", kept } } });
}

void dropOpenStartsOfGoneWorkers(Scheduler& scheduler, Millis now)
{
    if (!scheduler.hasWorkerList)
        return;
    for (const std::string& name : scheduler.openTasks) {
        const std::optional<TaskRef> ref = findTask(scheduler, name);
        if (!ref || !hasOpenStart(*ref->task, now) || scheduler.workers.count(ref->task->openWorker) > 0)
            continue;
        if (now > earlierLeaseEndAt(scheduler, ref->task->openWorker) + scheduler.limits.leaseSlackMs)
            ref->task->openUntil = 0;
    }
}

QByteArray encodeOpenStarts(const OpenStartTable& table)
{
    QJsonArray starts;
    for (const auto& [task, start] : table.starts)
        starts.append(QJsonArray { QString::fromStdString(task), QString::fromStdString(start.worker),
            static_cast<qint64>(start.run), static_cast<qint64>(start.untilClockMs) });
    const QJsonObject json { { "token", static_cast<qint64>(table.token) }, { "starts", starts } };
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<OpenStartTable> decodeOpenStarts(const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    if (!json || !(*json)["token"].isDouble() || !(*json)["starts"].isArray())
        return std::nullopt;
    OpenStartTable table;
    table.token = (*json)["token"].toInteger();
    for (const QJsonValue value : (*json)["starts"].toArray()) {
        const QJsonArray row = value.toArray();
        if (row.size() != rowLength || !row[0].isString() || !row[1].isString() || !row[2].isDouble()
            || !row[3].isDouble())
            return std::nullopt;
        table.starts[base::textOf(row[0])] = { base::textOf(row[1]), row[2].toInteger(), row[3].toInteger() };
    }
    return table;
}

} // namespace lacewing::scheduler
