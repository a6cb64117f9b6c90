// JSON of accepted jobs, progress, placements and known workers.
#include "scheduler/record.h"

#include "base/json.h"
#include "scheduler/internal.h"
#include "scheduler/occurrences.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QtEndian>
#include <algorithm>

namespace lacewing::scheduler {

namespace {

    constexpr int maxTasksPerStep = 100000;                 // a record with more is invalid
    constexpr quint32 maxPlacementBytes = 32 * 1024 * 1024; // uncompressed; enough for about 500,000 tasks

    // A step's tasks are stored as a string with one of these characters for each task.
    constexpr char doneMark = 'd';
    constexpr char failedMark = 'f';
    constexpr char openMark = '.';

    // The record of a job with at most this many occurrences lists all of them, so that a daemon of a version that
    // knows no other form can read it.
    constexpr int maxListedOccurrences = 64;

    QString text(const std::string& value) { return QString::fromStdString(value); }
    QJsonObject stepToJson(const Step& step)
    {
        QJsonObject json;
        const auto number = [&json](const char* key, int value) {
            if (value != 0)
                json[QLatin1String(key)] = value;
        };
        const auto flag = [&json](const char* key, bool value) {
            if (value)
                json[QLatin1String(key)] = true;
        };
        const auto word = [&json](const char* key, const std::string& value) {
            if (!value.empty())
                json[QLatin1String(key)] = text(value);
        };
        number("count", step.count);
        number("cpuMillicores", step.cpuMillicores);
        number("memoryMb", step.memoryMb);
        number("gpus", step.gpus);
        number("estimateMs", step.estimateMs);
        QJsonArray after;
        for (const int before : step.after)
            after.append(before);
        if (!after.isEmpty())
            json["after"] = after;
        flag("hasCheckpoints", step.hasCheckpoints);
        flag("isGang", step.isGang);
        flag("isSameRack", step.isSameRack);
        flag("isSpeculative", step.isSpeculative);
        flag("isLasting", step.isLasting);
        flag("isFilling", step.isFilling);
        word("requiredLabel", step.requiredLabel);
        word("dataRack", step.dataRack);
        number("maxPerWorker", step.maxPerWorker);
        number("maxUnavailable", step.maxUnavailable);
        word("image", step.image);
        number("latencyTargetMs", step.latencyTargetMs);
        return json;
    }

    Step stepFromJson(const QJsonObject& json)
    {
        Step step;
        step.count = json["count"].toInt();
        step.cpuMillicores = json["cpuMillicores"].toInt();
        step.memoryMb = json["memoryMb"].toInt();
        step.gpus = json["gpus"].toInt();
        step.estimateMs = json["estimateMs"].toInt();
        for (const QJsonValue before : json["after"].toArray())
            step.after.push_back(before.toInt());
        step.hasCheckpoints = json["hasCheckpoints"].toBool();
        step.isGang = json["isGang"].toBool();
        step.isSameRack = json["isSameRack"].toBool();
        step.isSpeculative = json["isSpeculative"].toBool();
        step.isLasting = json["isLasting"].toBool();
        step.isFilling = json["isFilling"].toBool();
        step.requiredLabel = base::textOf(json["requiredLabel"]);
        step.dataRack = base::textOf(json["dataRack"]);
        step.maxPerWorker = json["maxPerWorker"].toInt();
        step.maxUnavailable = json["maxUnavailable"].toInt();
        step.image = base::textOf(json["image"]);
        step.latencyTargetMs = json["latencyTargetMs"].toInt();
        return step;
    }

    QJsonObject policyToJson(const QueuePolicy& policy)
    {
        return { { "queue", text(policy.name) }, { "service", text(policy.service) }, { "priority", policy.priority },
            { "maxAttempts", policy.maxAttempts }, { "stretch", policy.stretch }, { "goalMs", policy.goalMs },
            { "needsApproval", policy.approval.isNeeded }, { "approvalDecisionMs", policy.approval.decisionMs },
            { "approvalPerWorkerMs", policy.approval.perWorkerMs }, { "approvalValidMs", policy.approval.validMs } };
    }

    QueuePolicy policyFromJson(const QJsonObject& json)
    {
        QueuePolicy policy;
        policy.name = base::textOf(json["queue"]);
        policy.service = base::textOf(json["service"]);
        policy.priority = json["priority"].toInt();
        policy.maxAttempts = json["maxAttempts"].toInt(1);
        policy.stretch = json["stretch"].toDouble(2);
        policy.goalMs = json["goalMs"].toInt();
        policy.approval = { json["needsApproval"].toBool(), json["approvalDecisionMs"].toInt(),
            json["approvalPerWorkerMs"].toInt(), json["approvalValidMs"].toInt() };
        return policy;
    }

    char markOf(const Task& task)
    {
        if (task.phase == TaskPhase::Done)
            return doneMark;
        return task.phase == TaskPhase::Failed ? failedMark : openMark;
    }

    // Tasks that are done, or that have no ended run, no failure and no checkpoint, have no entry beside their mark.
    QJsonObject progressToJson(const StepProgress& progress)
    {
        QString marks;
        QJsonObject ended;
        QJsonObject failures;
        QJsonObject checkpoints;
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            const Task& task = progress.tasks[i];
            const QString key = QString::number(i);
            marks.append(QLatin1Char(markOf(task)));
            if (task.phase == TaskPhase::Done)
                continue;
            if (task.endedRun > 0)
                ended[key] = static_cast<qint64>(task.endedRun);
            if (!task.failedRuns.empty()) {
                QJsonArray runs;
                for (const RunNumber run : task.failedRuns)
                    runs.append(static_cast<qint64>(run));
                failures[key] = runs;
            }
            if (!task.checkpoint.empty())
                checkpoints[key] = text(task.checkpoint);
        }
        std::map<std::string, QJsonArray> byWorker; // only of lasting tasks
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            if (!progress.tasks[i].recordedWorker.empty())
                byWorker[progress.tasks[i].recordedWorker].append(static_cast<int>(i));
        }
        QJsonObject workers;
        for (const auto& [worker, tasks] : byWorker)
            workers[text(worker)] = tasks;
        QJsonObject json { { "tasks", marks } };
        if (!workers.isEmpty())
            json["workers"] = workers;
        if (!ended.isEmpty())
            json["endedRuns"] = ended;
        if (!failures.isEmpty())
            json["failedRuns"] = failures;
        if (!checkpoints.isEmpty())
            json["checkpoints"] = checkpoints;
        return json;
    }

    bool hasProgress(const Task& task)
    {
        return task.phase == TaskPhase::Done || task.phase == TaskPhase::Failed || task.endedRun > 0
            || !task.failedRuns.empty() || !task.checkpoint.empty() || !task.recordedWorker.empty()
            || !task.storedWorker.empty();
    }

    bool hasProgress(const Occurrence& occurrence)
    {
        return std::any_of(occurrence.steps.begin(), occurrence.steps.end(), [](const StepProgress& progress) {
            return std::any_of(
                progress.tasks.begin(), progress.tasks.end(), [](const Task& t) { return hasProgress(t); });
        });
    }

    QJsonArray stepsToJson(const Occurrence& occurrence)
    {
        QJsonArray steps;
        for (const StepProgress& progress : occurrence.steps)
            steps.append(progressToJson(progress));
        return steps;
    }

    // Of an occurrence that is not open: all tasks have the mark.
    QJsonArray stepsToJson(const JobRequest& request, char mark)
    {
        QJsonArray steps;
        for (const Step& step : request.steps)
            steps.append(QJsonObject { { "tasks", QString(step.count, QLatin1Char(mark)) } });
        return steps;
    }

    QJsonObject allOccurrencesToJson(const Job& job)
    {
        QJsonObject occurrences;
        for (int number = 0; number < occurrenceCount(job.request); ++number) {
            const auto open = job.occurrences.find(number);
            occurrences[QString::number(number)] = open != job.occurrences.end()
                ? stepsToJson(open->second)
                : stepsToJson(job.request, contains(job.endedOccurrences, number) ? doneMark : openMark);
        }
        return occurrences;
    }

    // Only open occurrences with progress are listed, and those that have ended as ranges.
    void addProgress(QJsonObject& json, const Job& job)
    {
        NumberSet ended = job.endedOccurrences;
        QJsonObject occurrences;
        for (const auto& [number, occurrence] : job.occurrences) {
            if (occurrence.isDone)
                insert(ended, number);
            else if (hasProgress(occurrence))
                occurrences[QString::number(number)] = stepsToJson(occurrence);
        }
        QJsonArray ranges;
        for (const auto& [first, last] : ended.ranges)
            ranges.append(QJsonArray { first, last });
        json["ended"] = ranges;
        json["occurrences"] = occurrences;
    }

    bool restoreEnded(Job& job, const QJsonArray& ranges)
    {
        for (const QJsonValue range : ranges) {
            const int first = range[0].toInt(-1);
            const int last = range[1].toInt(-1);
            if (first < 0 || last < first || last >= occurrenceCount(job.request))
                return false;
            insertRange(job.endedOccurrences, first, last);
        }
        return true;
    }

    bool restoreStep(StepProgress& progress, const QJsonObject& json)
    {
        const QString marks = json["tasks"].toString();
        if (marks.size() != static_cast<qsizetype>(progress.tasks.size()))
            return false;
        const QJsonObject ended = json["endedRuns"].toObject();
        const QJsonObject failures = json["failedRuns"].toObject();
        const QJsonObject checkpoints = json["checkpoints"].toObject();
        progress.done = 0;
        for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
            Task& task = progress.tasks[i];
            const QString key = QString::number(i);
            const char mark = marks.at(static_cast<qsizetype>(i)).toLatin1();
            if (mark == doneMark) {
                task.phase = TaskPhase::Done;
                ++progress.done;
            } else if (mark == failedMark) {
                task.phase = TaskPhase::Failed;
            }
            task.endedRun = ended[key].toInteger();
            task.run = task.checkpointRun = task.endedRun;
            for (const QJsonValue run : failures[key].toArray())
                task.failedRuns.push_back(run.toInteger());
            task.checkpoint = base::textOf(checkpoints[key]);
        }
        const QJsonObject workers = json["workers"].toObject();
        for (auto worker = workers.begin(); worker != workers.end(); ++worker) {
            for (const QJsonValue value : worker.value().toArray()) {
                const qint64 index = value.toInteger(-1);
                if (index < 0 || index >= static_cast<qint64>(progress.tasks.size()))
                    return false;
                progress.tasks[static_cast<std::size_t>(index)].storedWorker = worker.key().toStdString();
            }
        }
        return true;
    }

} // namespace

QByteArray encodeAccepted(const AcceptedJob& job)
{
    QJsonArray steps;
    for (const Step& step : job.request.steps)
        steps.append(stepToJson(step));
    QJsonObject json { { "id", text(job.request.id) }, { "payload", text(job.request.payload) }, { "steps", steps },
        { "policy", policyToJson(job.policy) }, { "acceptedUnixMs", static_cast<qint64>(job.acceptedUnixMs) } };
    if (!job.request.account.empty())
        json["account"] = text(job.request.account);
    if (job.request.repeatCount > 0) {
        json["repeatCount"] = job.request.repeatCount;
        json["firstStartUnixMs"] = static_cast<qint64>(job.request.firstStartUnixMs);
        json["intervalMs"] = static_cast<qint64>(job.request.intervalMs);
    }
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<AcceptedJob> decodeAccepted(const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    if (!json || !(*json)["id"].isString() || !(*json)["steps"].isArray())
        return std::nullopt;
    AcceptedJob job;
    job.request.id = base::textOf((*json)["id"]);
    job.request.payload = base::textOf((*json)["payload"]);
    job.request.account = base::textOf((*json)["account"]);
    for (const QJsonValue value : (*json)["steps"].toArray()) {
        Step step = stepFromJson(value.toObject());
        const int index = static_cast<int>(job.request.steps.size());
        const bool isInOrder = std::all_of(
            step.after.begin(), step.after.end(), [index](int before) { return before >= 0 && before < index; });
        if (step.count < 1 || step.count > maxTasksPerStep || !isInOrder)
            return std::nullopt;
        job.request.steps.push_back(std::move(step));
    }
    job.request.repeatCount = (*json)["repeatCount"].toInt();
    job.request.firstStartUnixMs = (*json)["firstStartUnixMs"].toInteger();
    job.request.intervalMs = (*json)["intervalMs"].toInteger();
    if (!isStorable(job.request))
        return std::nullopt;
    job.policy = policyFromJson((*json)["policy"].toObject());
    job.acceptedUnixMs = (*json)["acceptedUnixMs"].toInteger();
    return job;
}

QByteArray encodeEnded(const EndedJob& job)
{
    QJsonObject json { { "id", text(job.id) }, { "ended", QLatin1String(nameOf(jobStateNames, job.state)) },
        { "endedUnixMs", static_cast<qint64>(job.endedUnixMs) } };
    if (!job.account.empty())
        json["account"] = text(job.account);
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<EndedJob> decodeEnded(const QByteArray& bytes)
{
    constexpr qsizetype maxBytes = 256; // accepted records are longer: they are not parsed twice
    if (bytes.size() > maxBytes)
        return std::nullopt;
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    const std::optional<JobState> state
        = json ? base::valueOf(jobStateNames, base::textOf((*json)["ended"])) : std::nullopt;
    if (!state || !isFinal(*state) || !(*json)["id"].isString())
        return std::nullopt;
    return EndedJob { base::textOf((*json)["id"]), *state, (*json)["endedUnixMs"].toInteger(),
        base::textOf((*json)["account"]) };
}

std::string decodeAccount(const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    return json ? base::textOf((*json)["account"]) : std::string();
}

QByteArray encodeProgress(const Job& job, std::int64_t runsRecordedSince)
{
    QJsonObject json { { "state", QLatin1String(nameOf(jobStateNames, job.state)) },
        { "version", static_cast<qint64>(job.version) }, { "hasStarted", job.hasStarted },
        { "endedUnixMs", static_cast<qint64>(job.endedUnixMs) } };
    const bool hasLasting = std::any_of(
        job.request.steps.begin(), job.request.steps.end(), [](const Step& step) { return step.isLasting; });
    if (hasLasting && !isFinal(job.state))
        json["runsRecordedSince"] = static_cast<qint64>(runsRecordedSince);
    if (!isFinal(job.state)) { // a final job starts no tasks, so its tasks are not stored
        if (occurrenceCount(job.request) <= maxListedOccurrences)
            json["occurrences"] = allOccurrencesToJson(job);
        else
            addProgress(json, job);
    }
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<JobState> decodeState(const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    if (!json)
        return std::nullopt;
    return base::valueOf(jobStateNames, base::textOf((*json)["state"]));
}

bool restoreProgress(Job& job, const QByteArray& bytes)
{
    job.hasStoredProgress = true;
    job.storedRunsRecordedSince = 0;
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    const std::optional<JobState> state
        = json ? base::valueOf(jobStateNames, base::textOf((*json)["state"])) : std::nullopt;
    if (!state)
        return false;
    job.state = job.committedState = *state;
    job.version = job.committedVersion = static_cast<std::uint64_t>((*json)["version"].toInteger());
    job.hasStarted = (*json)["hasStarted"].toBool();
    job.endedUnixMs = (*json)["endedUnixMs"].toInteger();
    if (isFinal(*state))
        return true;
    const QJsonObject occurrences = (*json)["occurrences"].toObject();
    const QJsonValue ended = (*json)["ended"]; // absent in records that list all occurrences
    const int count = occurrenceCount(job.request);
    if (ended.isUndefined() ? occurrences.size() != count : !restoreEnded(job, ended.toArray()))
        return false;
    for (auto entry = occurrences.begin(); entry != occurrences.end(); ++entry) {
        bool isNumber = false;
        const int number = entry.key().toInt(&isNumber);
        const QJsonArray steps = entry.value().toArray();
        if (!isNumber || number < 0 || number >= count
            || steps.size() != static_cast<qsizetype>(job.request.steps.size()))
            return false;
        Occurrence& occurrence = openOccurrence(job, number);
        for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
            if (!restoreStep(occurrence.steps[i], steps[static_cast<qsizetype>(i)].toObject()))
                return false;
        }
        occurrence.isDone = isOccurrenceDone(job.request, occurrence);
        if (job.request.repeatCount <= 0 || (!occurrence.isDone && hasProgress(occurrence)))
            continue;
        if (occurrence.isDone)
            insert(job.endedOccurrences, number);
        job.occurrences.erase(number); // opened when it is due
    }
    job.storedRunsRecordedSince = (*json)["runsRecordedSince"].toInteger();
    return true;
}

QByteArray encodePlacements(const Placements& placements)
{
    std::map<std::string, QJsonArray> byWorker;
    for (const Placement& placement : placements.tasks)
        byWorker[placement.worker].append(QJsonArray {
            text(placement.task), static_cast<qint64>(placement.run), static_cast<qint64>(placement.openMs) });
    QJsonObject workers;
    for (const auto& [worker, tasks] : byWorker)
        workers[text(worker)] = tasks;
    const QJsonObject json { { "token", static_cast<qint64>(placements.token) }, { "workers", workers } };
    return qCompress(QJsonDocument(json).toJson(QJsonDocument::Compact));
}

std::optional<Placements> decodePlacements(const QByteArray& bytes)
{
    constexpr qsizetype lengthBytes = 4; // size of the uncompressed text, stored before the compressed data
    if (bytes.size() < lengthBytes || qFromBigEndian<quint32>(bytes.constData()) > maxPlacementBytes)
        return std::nullopt;
    const std::optional<QJsonObject> json = base::parseObject(qUncompress(bytes));
    if (!json || !(*json)["token"].isDouble() || !(*json)["workers"].isObject())
        return std::nullopt;
    Placements placements;
    placements.token = (*json)["token"].toInteger();
    const QJsonObject workers = (*json)["workers"].toObject();
    for (auto it = workers.begin(); it != workers.end(); ++it) {
        for (const QJsonValue row : it.value().toArray())
            placements.tasks.push_back(
                { base::textOf(row[0]), it.key().toStdString(), row[1].toInteger(), row[2].toInteger() });
    }
    return placements;
}

QByteArray encodeWorkers(const std::vector<WorkerEntry>& entries)
{
    QJsonArray json;
    for (const WorkerEntry& entry : entries) {
        QJsonArray labels;
        for (const std::string& label : entry.labels)
            labels.append(text(label));
        json.append(QJsonObject { { "id", text(entry.id) }, { "service", text(entry.service) },
            { "address", text(entry.address) }, { "dataCentre", text(entry.dataCentre) }, { "labels", labels },
            { "cpuMillicores", entry.capacity.cpuMillicores }, { "memoryMb", entry.capacity.memoryMb },
            { "gpus", entry.capacity.gpus }, { "bornUnixMs", static_cast<qint64>(entry.incarnationUnixMs) } });
    }
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<std::vector<WorkerEntry>> decodeWorkers(const QByteArray& bytes)
{
    const QJsonDocument document = QJsonDocument::fromJson(bytes);
    if (!document.isArray())
        return std::nullopt;
    std::vector<WorkerEntry> entries;
    for (const QJsonValue value : document.array()) {
        const QJsonObject json = value.toObject();
        WorkerEntry entry;
        entry.id = base::textOf(json["id"]);
        entry.service = base::textOf(json["service"]);
        entry.address = base::textOf(json["address"]);
        entry.dataCentre = base::textOf(json["dataCentre"]);
        for (const QJsonValue label : json["labels"].toArray())
            entry.labels.push_back(base::textOf(label));
        entry.capacity = { json["cpuMillicores"].toInt(), json["memoryMb"].toInt(), json["gpus"].toInt() };
        entry.incarnationUnixMs = json["bornUnixMs"].toInteger();
        if (entry.id.empty() || entry.address.empty()) // no worker: nothing can have been started there
            continue;
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace lacewing::scheduler
