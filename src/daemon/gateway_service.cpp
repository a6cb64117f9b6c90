// Routing of job requests, group commit of submitted jobs, responses from the table of job states.
#include "daemon/gateway_service.h"

#include "base/hash.h"
#include "base/json.h"
#include "daemon/client_budget.h"
#include "daemon/configuration_service.h"
#include "daemon/job_table.h"
#include "http/problem.h"
#include "kernel/log.h"
#include "platform/documents.h"
#include "scheduler/occurrences.h"
#include "scheduler/record.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr std::size_t submissionsPerCommit = 15;  // one condition and one write each, within the store's limit
    constexpr int retryMs = 60;                       // ms between attempts to store uncertain submissions
    constexpr scheduler::Millis defaultWaitMs = 3000; // ms; deadline of callers that send none
    // ms; longest wait for a commit: another daemon may serve the caller sooner
    constexpr scheduler::Millis maxSubmissionWaitMs = 1300;
    // ms; older states from the scheduling daemon are checked in the store
    constexpr scheduler::Millis maxStateAgeMs = 1500;
    // ms; an older count of waiting jobs is not returned (platform bound)
    constexpr scheduler::Millis maxPendingAgeMs = 2000;
    constexpr int retryAfterSeconds = 1; // s; for callers that get 503 or 429

    http::Response refusal(int status, const QByteArray& reason)
    {
        http::Response response = http::jsonResponse(status, "{\"error\":\"" + reason + "\"}");
        if (status == 503 || status == 429)
            response.headers.push_back({ "Retry-After", QByteArray::number(retryAfterSeconds) });
        return response;
    }

    std::string hostOf(const http::Request& request)
    {
        const QByteArray host = http::headerValue(request.headers, "Host");
        const qsizetype port = host.lastIndexOf(':');
        return (port < 0 ? host : host.left(port)).toStdString();
    }

    scheduler::Millis deadlineOf(const http::Request& request, scheduler::Millis now)
    {
        bool isNumber = false;
        const qint64 callerWaitMs = http::headerValue(request.headers, platform::deadlineHeader).toLongLong(&isNumber);
        const scheduler::Millis wait = isNumber && callerWaitMs > 0 ? callerWaitMs : defaultWaitMs;
        return now + std::min(maxSubmissionWaitMs, wait / 2);
    }

} // namespace

GatewayService::GatewayService(Runtime& runtime)
    : m_runtime(runtime)
{
    m_retryTimer.setSingleShot(true);
    QObject::connect(&m_retryTimer, &QTimer::timeout, this, [this] { storeSubmissions(); });
}

std::string GatewayService::start()
{
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_table = kernel::find<JobTable>(m_runtime.kernel, serviceNames::jobTable);
    m_server = std::make_unique<http::Server>(
        clientServerLimits(*m_runtime.clientBudget),
        [this](const http::Request& request, const http::Responder& responder) { handle(request, responder); },
        m_runtime.clientBudget);
    const auto port = m_server->listen(QString::fromStdString(m_runtime.settings.callerAddress));
    return port.has_error() ? port.error().detail : std::string();
}

void GatewayService::beginStop() { m_server->beginDrain(); }

bool GatewayService::isIdle() const { return m_server->openRequests() == 0; }

void GatewayService::respond(const Caller& caller, const http::Response& response, const char* operation,
    const std::string& id, const std::string& outcome, RefusalCause cause)
{
    m_runtime.metrics
        .counter("lacewing_job_requests_total", "Job requests by operation and status.",
            { { "operation", operation }, { "status", std::to_string(response.status) } })
        .value++;
    const std::int64_t version = m_configuration->isLoaded() ? m_configuration->current().version : 0;
    const std::int64_t feedAgeMs = m_table->syncedAt > 0 ? nowMs() - m_table->syncedAt : -1;
    if (m_configuration->isLoaded() && m_configuration->current().hasAccounts) {
        const RefusalCause counted = cause == RefusalCause::None ? causeOfStatus(response.status) : cause;
        if (counted != RefusalCause::None && !caller.isOperator)
            countAccountRefusal(caller.account, counted);
        kernel::logEvent(kernel::LogLevel::Info, "gateway", operation,
            { { "job", id }, { "status", response.status }, { "account", caller.account },
                { "cause", base::nameOf(refusalCauseNames, counted) }, { "version", version },
                { "configurationAgeMs", m_configuration->ageMs() }, { "feedAgeMs", feedAgeMs },
                { "outcome", outcome } });
    } else {
        kernel::logEvent(kernel::LogLevel::Info, "gateway", operation,
            { { "job", id }, { "status", response.status }, { "version", version },
                { "configurationAgeMs", m_configuration->ageMs() }, { "feedAgeMs", feedAgeMs },
                { "outcome", outcome } });
    }
    caller.responder.respond(response);
}

void GatewayService::countAccountRefusal(const std::string& account, RefusalCause cause)
{
    const std::string name = countRefusal(m_refusals, account, cause);
    m_runtime.metrics
        .counter("lacewing_account_refusals_total",
            "Refused job requests by client account and cause; without an account: the key is not known.",
            { { "account", name }, { "cause", std::string(base::nameOf(refusalCauseNames, cause)) } })
        .value++;
}

void GatewayService::handle(const http::Request& request, const http::Responder& responder, bool isRepeated)
{
    if (!m_configuration->isLoaded()) {
        respond({ responder, {} }, refusal(503, "no configuration yet"), "request", {}, "no configuration");
        return;
    }
    const scheduler::Queue* queue = m_configuration->current().hasAccounts
        ? m_configuration->findQueue(hostOf(request), request.path.toStdString())
        : nullptr;
    const bool isKeyed = queue && needsKey(*queue, m_configuration->current());
    const PlatformBounds& bounds = m_runtime.settings.bounds;
    const scheduler::Millis maxAgeMs = isKeyed ? keyedMaxAgeMs(bounds) : bounds.configurationMs;
    m_configuration->confirm(maxAgeMs, [this, request, responder, isKeyed, isRepeated, maxAgeMs](bool isCurrent) {
        // A slow answer, or a pause of the process, takes part of the age that was allowed when the request arrived.
        if (isKeyed && isCurrent && !isRepeated && m_configuration->ageMs() > maxAgeMs)
            handle(request, responder, true);
        else
            route(request, responder, isCurrent);
    });
}

// By an outdated configuration, what is known of a job is still told and its cancel stored. That a queue does not
// exist, a count and an acceptance may be wrong by the one in force, and another daemon may know it.
void GatewayService::route(const http::Request& request, const http::Responder& responder, bool isCurrent)
{
    const std::string path = request.path.toStdString();
    const scheduler::Queue* queue = m_configuration->findQueue(hostOf(request), path);
    if (!queue && !isCurrent) {
        refuseOutdated("request", {}, { responder, {} });
        return;
    }
    if (!queue) {
        respond({ responder, {} }, refusal(404, "no such queue"), "request", {}, "no queue");
        return;
    }
    const Access access = decideAccess(request.headers, *queue, m_configuration->current(),
        basisFor(m_configuration->ageMs(), m_runtime.settings.bounds));
    const Caller caller { responder, access.account };
    const QByteArray rest = request.path.mid(static_cast<qsizetype>(queue->prefix.size()));
    const std::string id = rest.toStdString();
    if (access.status != 200) {
        refuseAccess(access, platform::isJobId(rest) ? id : std::string(), caller);
        return;
    }
    if (rest.isEmpty() && request.method == "GET" && !isCurrent)
        refuseOutdated("pending", {}, caller);
    else if (rest.isEmpty() && request.method == "GET")
        respondWithPending(*queue, caller);
    else if (!platform::isJobId(rest))
        respond(caller, refusal(404, "no such job"), "request", {}, "malformed id");
    else if (request.method == "POST" && !isCurrent && m_table->jobs.count(id) == 0)
        refuseOutdated("submit", id, caller);
    else if (request.method == "POST")
        submit(*queue, id, request, caller);
    else if (request.method == "GET")
        respondWithState(id, caller);
    else if (request.method == "DELETE")
        cancelJob(id, caller);
    else
        respond(caller, refusal(405, "method not allowed"), "request", id, "method");
}

void GatewayService::refuseAccess(const Access& access, const std::string& id, const Caller& caller)
{
    if (access.status == 503) {
        refuseOutdated("request", id, caller);
        return;
    }
    http::Response response = refusal(access.status, "no valid access key");
    response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    respond(caller, response, "request", id, "no valid access key", access.cause);
}

void GatewayService::refuseOutdated(const char* operation, const std::string& id, const Caller& caller)
{
    respond(caller, refusal(503, "the configuration may be outdated"), operation, id, "configuration outdated",
        RefusalCause::ConfigurationOutdated);
}

void GatewayService::refuseOtherAccount(const char* operation, const std::string& id, const Caller& caller)
{
    const bool isSubmission = std::string_view(operation) == "submit";
    respond(caller, isSubmission ? refusal(409, "the id is in use") : refusal(410, "no such job"), operation, id,
        "job of another account", RefusalCause::OtherAccount);
}

bool GatewayService::mayUse(const Caller& caller, const std::string& jobAccount)
{
    return caller.isOperator || mayUseJob(caller.account, jobAccount);
}

// --- Submission ---

void GatewayService::submit(
    const scheduler::Queue& queue, const std::string& id, const http::Request& request, const Caller& caller)
{
    if (const std::string* owner = accountOf(*m_table, id)) {
        if (!mayUse(caller, *owner)) {
            refuseOtherAccount("submit", id, caller);
            return;
        }
        respond(caller, http::jsonResponse(200, "{}"), "submit", id, "known");
        return;
    }
    auto job = platform::decodeJob(id, request.body);
    if (job.has_error()) {
        respond(caller, refusal(400, QByteArray::fromStdString(job.error())), "submit", id, job.error());
        return;
    }
    const auto& accounts = m_configuration->current().accounts;
    const auto account = accounts.find(caller.account);
    const std::string fault = account == accounts.end() ? std::string() : gangOverCap(job.value(), account->second.cap);
    if (!fault.empty()) {
        respond(caller, refusal(400, QByteArray::fromStdString(fault)), "submit", id, fault, RefusalCause::OverCap);
        return;
    }
    job.value().account = caller.account;
    Submission submission;
    submission.responseBody = "{}";
    submission.caller = caller;
    submission.receivedAt = nowMs();
    submission.deadline = deadlineOf(request, submission.receivedAt);
    enqueue(queue, std::move(job.value()), std::move(submission));
}

void GatewayService::enqueue(const scheduler::Queue& queue, scheduler::JobRequest job, Submission submission)
{
    submission.id = job.id;
    submission.sloKey = { queue.policy.service, queue.policy.name };
    if (!isStoreReachable(m_runtime)) {
        failSubmission(submission, "store unreachable"); // its workBytes are not counted yet
        return;
    }
    const std::int64_t workBytes = scheduler::workBytes(job);
    const WorkVerdict verdict = decideWork(m_runtime.work, workBytes, queue.policy.priority);
    if (verdict != WorkVerdict::Admitted) {
        refuseForWork({ verdict, workBytes, queue.policy.priority }, std::move(submission));
        return;
    }
    submission.workBytes = workBytes;
    submission.record = scheduler::encodeAccepted({ std::move(job), queue.policy, base::wallClockMs() });
    beginSubmission(m_runtime.work, submission.workBytes);
    m_submissions.push_back(std::move(submission));
    storeSubmissions();
}

// The job may have been accepted by a request whose answer was lost.
void GatewayService::refuseForWork(const WorkRefusal& refused, Submission submission)
{
    const std::string key = storeKeys::acceptedPrefix + submission.id;
    m_runtime.store->read(key,
        [this, refused, submission = std::move(submission)](
            const base::Result<platform::Item, platform::StoreError>& result) {
            if (result.has_error()) {
                respondWithWorkRefusal(refused, submission, result.error().code == platform::StoreCode::Missing);
                return;
            }
            const platform::Item& item = result.value();
            const std::string account = accountOf(item);
            if (!mayUse(submission.caller, account))
                refuseOtherJob(submission);
            else if (isCancelled(item))
                refuseCancelled(submission, account);
            else
                accept(submission, "already stored", account, stateOf(item));
        });
}

void GatewayService::respondWithWorkRefusal(
    const WorkRefusal& refused, const Submission& submission, bool isKnownAbsent)
{
    const WorkBudget& work = m_runtime.work;
    const bool isTooLarge = refused.verdict == WorkVerdict::TooLarge;
    const RefusalCause cause = isTooLarge ? RefusalCause::WorkTooLarge : RefusalCause::WorkFull;
    const int retrySeconds = workRetrySeconds(work, refused.bytes, refused.priority, submission.id);
    http::Response response = isTooLarge
        ? refusal(400, "the job needs more memory than all accepted jobs may take (limits.workShare)")
        : isKnownAbsent ? refusal(503, "not accepted: the accepted jobs leave no memory for it")
                        : refusal(503, "the accepted jobs leave no memory for it, ask again with the same id");
    if (!isTooLarge)
        http::setHeader(response.headers, "Retry-After", QByteArray::number(retrySeconds));
    m_runtime.metrics
        .counter("lacewing_work_refusals_total", "Jobs refused for the memory of accepted work, by cause.",
            { { "cause", std::string(base::nameOf(refusalCauseNames, cause)) } })
        .value
        += 1;
    kernel::logEvent(kernel::LogLevel::Info, "gateway", "workRefused",
        { { "job", submission.id }, { "bytes", refused.bytes }, { "usedBytes", usedWork(work) },
            { "limitBytes", workLimit(work) }, { "priority", refused.priority },
            { "endedPerSecond", work.load.endedPerSecond }, { "retrySeconds", isTooLarge ? 0 : retrySeconds },
            { "ageMs", work.load.asOf > 0 ? nowMs() - work.load.asOf : -1 },
            { "outcome", std::string(base::nameOf(refusalCauseNames, cause)) } });
    recordSlo(submission, isTooLarge ? base::RequestResult::Answered : base::RequestResult::Failed);
    respond(submission.caller, response, "submit", submission.id,
        isTooLarge ? "larger than the budget for accepted work" : "no memory for accepted work", cause);
}

void GatewayService::finishSubmission(const Submission& submission, bool isAccepted)
{
    endSubmission(m_runtime.work, submission.workBytes, isAccepted, nowMs());
}

void GatewayService::recordSlo(const Submission& submission, base::RequestResult result)
{
    m_runtime.metrics.recordRequest(submission.sloKey, base::milliseconds(nowMs() - submission.receivedAt), result,
        m_runtime.latencyObjective ? m_runtime.latencyObjective(submission.sloKey.service) : std::nullopt,
        base::monotonicNow());
}

void GatewayService::storeSubmissions()
{
    const scheduler::Millis now = nowMs();
    while (!m_submissions.empty() && now >= m_submissions.front().deadline) {
        failSubmission(m_submissions.front(), "deadline");
        m_submissions.pop_front();
    }
    if (m_isStoring || m_submissions.empty() || m_retryTimer.isActive())
        return;
    std::vector<Submission> batch;
    platform::Transaction transaction;
    while (!m_submissions.empty() && batch.size() < submissionsPerCommit) {
        Submission& next = m_submissions.front();
        const bool isDuplicate
            = std::any_of(batch.begin(), batch.end(), [&](const Submission& other) { return other.id == next.id; });
        if (isDuplicate)
            break; // left for the next commit, whose condition finds the record of the first one
        addAcceptance(transaction, next.id, next.record);
        batch.push_back(std::move(next));
        m_submissions.pop_front();
    }
    m_isStoring = true;
    m_runtime.store->commit(transaction,
        [this, batch = std::move(batch)](const base::Result<std::int64_t, platform::StoreError>& result) mutable {
            m_isStoring = false;
            applyCommitResult(std::move(batch), result);
            storeSubmissions();
        });
}

void GatewayService::applyCommitResult(
    std::vector<Submission> batch, const base::Result<std::int64_t, platform::StoreError>& result)
{
    if (result.has_value()) {
        for (const Submission& submission : batch)
            accept(submission, "stored", submission.caller.account);
        return;
    }
    const platform::StoreError& error = result.error();
    if (error.code == platform::StoreCode::Conflict) {
        std::vector<Submission> remaining;
        for (Submission& submission : batch) {
            const auto stored = std::find_if(error.current.begin(), error.current.end(),
                [&](const platform::Item& item) { return item.key == storeKeys::acceptedPrefix + submission.id; });
            if (stored != error.current.end() && !mayUse(submission.caller, accountOf(*stored)))
                refuseOtherJob(submission);
            else if (stored != error.current.end() && isCancelled(*stored))
                refuseCancelled(submission, accountOf(*stored));
            else if (stored != error.current.end())
                accept(submission, "already stored", accountOf(*stored), stateOf(*stored));
            else
                remaining.push_back(std::move(submission));
        }
        m_submissions.insert(m_submissions.begin(), std::make_move_iterator(remaining.begin()),
            std::make_move_iterator(remaining.end()));
        return;
    }
    std::vector<Submission> uncertain;
    for (Submission& submission : batch) {
        submission.isUncertain = submission.isUncertain || error.code == platform::StoreCode::Unknown;
        if (submission.isUncertain)
            uncertain.push_back(std::move(submission));
        else
            failSubmission(submission, error.detail);
    }
    m_submissions.insert(
        m_submissions.begin(), std::make_move_iterator(uncertain.begin()), std::make_move_iterator(uncertain.end()));
    if (!m_submissions.empty())
        m_retryTimer.start(retryMs);
}

void GatewayService::refuseOtherJob(const Submission& submission)
{
    finishSubmission(submission, false);
    recordSlo(submission, base::RequestResult::Answered);
    refuseOtherAccount("submit", submission.id, submission.caller);
}

void GatewayService::refuseCancelled(const Submission& submission, const std::string& account)
{
    finishSubmission(submission, false);
    applyState(*m_table, submission.id, account, scheduler::JobState::Cancelled, nowMs());
    recordSlo(submission, base::RequestResult::Answered);
    respond(submission.caller, refusal(410, "the job has been cancelled"), "submit", submission.id, "cancelled");
}

void GatewayService::accept(
    const Submission& submission, const char* outcome, const std::string& account, scheduler::JobState state)
{
    const scheduler::Millis now = nowMs();
    finishSubmission(submission, true);
    applyState(*m_table, submission.id, account, state, now);
    m_runtime.metrics.latency("lacewing_accept_seconds", "Time from a job request to its acceptance.")
        .record(base::milliseconds(now - submission.receivedAt));
    recordSlo(submission, base::RequestResult::Answered);
    respond(submission.caller, http::jsonResponse(200, submission.responseBody), "submit", submission.id, outcome);
}

void GatewayService::failSubmission(const Submission& submission, const std::string& reason)
{
    finishSubmission(submission, submission.isUncertain);
    recordSlo(submission, base::RequestResult::Failed);
    if (submission.isUncertain)
        respond(submission.caller, refusal(504, "the outcome is unknown, ask again with the same id"), "submit",
            submission.id, "unknown: " + reason);
    else
        respond(submission.caller, refusal(503, "not accepted"), "submit", submission.id, "not stored: " + reason);
}

std::string jobIdOf(const std::string& identity)
{
    constexpr int digits = 16;
    if (platform::isJobId(QByteArray::fromStdString(identity)))
        return identity;
    return QString::number(base::stableHash(identity), 16).rightJustified(digits, QLatin1Char('0')).toStdString();
}

void GatewayService::submitForOperator(const QByteArray& body, const http::Responder& responder)
{
    const std::optional<QJsonObject> json = base::parseObject(body);
    if (!json || !m_configuration->isLoaded()) {
        responder.respond(http::ProblemBuilder(json ? 503 : 400, json ? "notReady" : "badRequest")
                              .detail(json ? "no configuration yet" : "the body is not a JSON object")
                              .executedNo()
                              .response());
        return;
    }
    m_configuration->confirm([this, json, responder](bool isCurrent) {
        if (isCurrent)
            enqueueForOperator(*json, responder);
        else
            responder.respond(http::ProblemBuilder(503, "notReady")
                                  .detail("the configuration may be outdated")
                                  .executedNo()
                                  .response());
    });
}

void GatewayService::enqueueForOperator(const QJsonObject& json, const http::Responder& responder)
{
    const auto refuse = [&responder](const char* field, const char* detail) {
        responder.respond(
            http::ProblemBuilder(400, "invalidField").field(field).detail(detail).executedNo().response());
    };
    const std::string team = base::textOf(json["team"]);
    const std::string service = base::textOf(json["service"]);
    const std::vector<scheduler::Queue>& queues = m_configuration->current().queues;
    const auto queue = std::find_if(queues.begin(), queues.end(), [&](const scheduler::Queue& candidate) {
        return candidate.policy.name == team && candidate.policy.service == service;
    });
    if (queue == queues.end()) {
        refuse("team", "no queue has the name of the team and serves the service");
        return;
    }
    const std::string identity = base::textOf(json["id"]);
    const QJsonObject resources = json["resources"].toObject();
    scheduler::Step step;
    step.cpuMillicores = resources["cpuMilli"].toInt();
    step.memoryMb = resources["memoryMb"].toInt();
    step.gpus = resources["accelerators"].toInt();
    step.estimateMs = json["durationMs"].toInt();
    step.isLasting = base::textOf(json["class"]) == "watch";
    if (identity.empty() || step.cpuMillicores <= 0 || step.memoryMb < 0 || step.estimateMs <= 0) {
        refuse("resources", "id, resources and durationMs must be there and positive");
        return;
    }
    if (json.contains("dataCentre")) {
        refuse("dataCentre", "a job cannot be bound to a data centre");
        return;
    }
    scheduler::JobRequest job;
    job.id = jobIdOf(identity);
    job.payload = base::textOf(json["payload"]);
    job.steps.push_back(step);
    Submission submission;
    submission.responseBody
        = QJsonDocument(QJsonObject { { "id", QString::fromStdString(job.id) }, { "state", "queued" } })
              .toJson(QJsonDocument::Compact);
    submission.caller = { responder, {}, true };
    submission.receivedAt = nowMs();
    submission.deadline = submission.receivedAt + maxSubmissionWaitMs;
    enqueue(*queue, std::move(job), std::move(submission));
}

// --- State ---

void GatewayService::respondWithState(const std::string& id, const Caller& caller)
{
    const auto known = m_table->jobs.find(id);
    if (known == m_table->jobs.end()) {
        readAccepted(id, caller);
        return;
    }
    if (!mayUse(caller, known->second.account)) {
        refuseOtherAccount("state", id, caller);
        return;
    }
    const bool isFresh = nowMs() - m_table->syncedAt < maxStateAgeMs && m_table->syncedAt > 0;
    if (!scheduler::isFinal(known->second.state) && !isFresh && isStoreReachable(m_runtime)) {
        readProgress(id, caller);
        return;
    }
    respond(caller, http::jsonResponse(200, platform::encodeState(known->second.state)), "state", id,
        std::string(nameOf(scheduler::jobStateNames, known->second.state)));
}

// A job missing from the table may have just been accepted by another daemon, so the store is checked.
void GatewayService::readAccepted(const std::string& id, const Caller& caller)
{
    m_runtime.store->read(storeKeys::acceptedPrefix + id,
        [this, id, caller](const base::Result<platform::Item, platform::StoreError>& result) {
            if (result.has_value()) {
                const std::string account = accountOf(result.value());
                applyState(*m_table, id, account, stateOf(result.value()), nowMs());
                if (mayUse(caller, account))
                    readProgress(id, caller);
                else
                    refuseOtherAccount("state", id, caller);
            } else if (result.error().code == platform::StoreCode::Missing) {
                respond(caller, refusal(410, "no such job"), "state", id, "unknown job");
            } else {
                respond(caller, refusal(503, "the store does not answer"), "state", id, result.error().detail);
            }
        });
}

void GatewayService::readProgress(const std::string& id, const Caller& caller)
{
    m_runtime.store->read(storeKeys::progressPrefix + id,
        [this, id, caller](const base::Result<platform::Item, platform::StoreError>& result) {
            if (result.has_value()) {
                const std::string* account = accountOf(*m_table, id);
                if (const auto state = scheduler::decodeState(result.value().value))
                    applyState(*m_table, id, account ? *account : caller.account, *state, nowMs());
            }
            const auto known = m_table->jobs.find(id);
            const scheduler::JobState state
                = known == m_table->jobs.end() ? scheduler::JobState::Queued : known->second.state;
            respond(caller, http::jsonResponse(200, platform::encodeState(state)), "state", id,
                std::string(nameOf(scheduler::jobStateNames, state)) + " (store)");
        });
}

void GatewayService::respondWithPending(const scheduler::Queue& queue, const Caller& caller)
{
    if (m_table->pendingAsOf == 0 || nowMs() - m_table->pendingAsOf > maxPendingAgeMs) {
        respond(caller, refusal(503, "the number is not known at present"), "pending", {}, "number too old");
        return;
    }
    const auto found = m_table->pending.find(queue.policy.name);
    const int jobs = found == m_table->pending.end() ? 0 : found->second;
    respond(caller, http::jsonResponse(200, platform::encodePending(jobs)), "pending", {}, std::to_string(jobs));
}

// --- Cancelling ---

void GatewayService::cancelJob(const std::string& id, const http::Responder& responder)
{
    cancelJob(id, Caller { responder, {}, true });
}

void GatewayService::cancelJob(const std::string& id, const Caller& caller)
{
    const std::string* owner = accountOf(*m_table, id);
    if (owner && mayUse(caller, *owner))
        storeCancel(id, caller);
    else if (!mayCancelUnknown(m_unknownCancels, nowMs()))
        respond(caller, refusal(429, "too many cancels of unknown jobs"), "cancel", id, "too many");
    else if (owner)
        refuseOtherAccount("cancel", id, caller);
    else
        storeCancelOfUnknown(id, caller);
}

void GatewayService::storeCancelOfUnknown(const std::string& id, const Caller& caller)
{
    m_runtime.store->commit(cancelUnknown(id, caller.account, base::wallClockMs()),
        [this, id, caller](const base::Result<std::int64_t, platform::StoreError>& result) {
            if (result.has_value()) {
                respond(caller, refusal(410, "no such job"), "cancel", id, "unknown job, cannot be accepted");
                return;
            }
            const platform::StoreError& error = result.error();
            const bool isOwnerUnknown = error.current.empty() && m_configuration->current().hasAccounts;
            if (error.code != platform::StoreCode::Conflict || (isOwnerUnknown && !caller.isOperator))
                refuseCancel(id, caller, error);
            else if (!error.current.empty() && !mayUse(caller, accountOf(error.current.front())))
                refuseOtherAccount("cancel", id, caller);
            else if (!error.current.empty() && isCancelled(error.current.front()))
                respond(caller, refusal(410, "no such job"), "cancel", id, "cancelled already");
            else
                storeCancel(id, caller);
        });
}

void GatewayService::refuseCancel(const std::string& id, const Caller& caller, const platform::StoreError& error)
{
    const int status = error.code == platform::StoreCode::Unknown ? 504 : 503;
    respond(caller, refusal(status, "not cancelled"), "cancel", id, error.detail);
}

void GatewayService::storeCancel(const std::string& id, const Caller& caller)
{
    platform::Transaction transaction;
    transaction.writes.push_back({ storeKeys::acceptedPrefix + id + storeKeys::cancelSuffix, "{}" });
    m_runtime.store->commit(
        transaction, [this, id, caller](const base::Result<std::int64_t, platform::StoreError>& result) {
            if (result.has_error()) {
                refuseCancel(id, caller, result.error());
                return;
            }
            noteStoredCancel(*m_table, id);
            respond(caller, http::jsonResponse(200, "{}"), "cancel", id, "stored");
        });
}

void registerGatewayService(Runtime& runtime)
{
    auto service = std::make_shared<GatewayService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::gateway;
    entry.dependsOn = { serviceNames::configuration, serviceNames::jobTable };
    entry.start = [&runtime, service] {
        kernel::publish(runtime.kernel, serviceNames::gateway, service.get());
        return service->start();
    };
    entry.beginStop = [service] { service->beginStop(); };
    entry.isIdle = [service] { return service->isIdle(); };
    entry.stop = [service] { service->stop(); };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
