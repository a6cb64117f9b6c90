// Calls of the clients and what they conclude from the answers.
#include "soak/clients.h"

#include "platform/documents.h"

#include <QString>
#include <algorithm>

namespace lacewing::soak {

namespace {

    constexpr int connectionsPerDaemon = 3;
    constexpr int meanJobGapMs = 250;
    constexpr int shortRunMs = 400;
    constexpr int longRunMs = 1200;
    constexpr int longestRunMs = 9000;
    constexpr int deadlineMs = 3000; // of a call
    constexpr int retryMs = 250;     // until a call without success is repeated at another daemon
    constexpr int pollMs = 500;      // of an open job
    constexpr int slowPollMs = 3000; // of a lasting or ended job
    constexpr int lossSlackMs = 200; // platform's bound: a request lost later than this after it was sent had been read
    constexpr double cancelShare = 0.1;
    constexpr double repeatShare = 0.05;
    constexpr double failsFirstShare = 0.2;
    constexpr double failsAlwaysShare = 0.03;
    constexpr double givesUpShare = 0.5;
    constexpr double lastingShare = 0.03; // of the new jobs

    std::int64_t drawBetween(base::Rng& rng, int low, int high)
    {
        return low + static_cast<std::int64_t>(base::below(rng, static_cast<std::uint64_t>(high - low)));
    }

} // namespace

Clients::Clients(Cluster& cluster, Checks& checks, std::uint64_t seed, int daemons)
    : m_cluster(cluster)
    , m_checks(checks)
    , m_rng(seed)
{
    for (int i = 0; i < daemons * connectionsPerDaemon; ++i)
        m_channels.push_back(std::make_unique<http::Channel>(
            cluster.callersAddress(i / connectionsPerDaemon), http::ChannelLimits {}, &m_traffic));
}

std::size_t Clients::addJob(const platform::standin::JobShape& shape)
{
    constexpr int idDigits = 16;
    Job job;
    job.id = QString::number(m_rng.engine(), 16).rightJustified(idDigits, QLatin1Char('0')).toStdString();
    m_checks.jobs[job.id].shape = shape;
    m_jobs.push_back(std::move(job));
    ++m_counts.submitted;
    return m_jobs.size() - 1;
}

void Clients::submitLasting(int tasks)
{
    platform::standin::JobShape shape;
    shape.isLasting = true;
    shape.firstTasks = tasks;
    addJob(shape);
}

void Clients::submitLong(int tasks)
{
    platform::standin::JobShape shape;
    shape.firstTasks = tasks;
    shape.runMs = longestRunMs;
    addJob(shape);
}

void Clients::submitBurst(int jobs)
{
    for (int i = 0; i < jobs; ++i)
        submitDrawn();
}

void Clients::submitDrawn()
{
    const std::int64_t now = nowMs();
    platform::standin::JobShape shape;
    shape.isLasting = base::chance(m_rng, lastingShare);
    shape.firstTasks = static_cast<int>(drawBetween(m_rng, 1, 4));
    shape.secondTasks = shape.isLasting ? 0 : static_cast<int>(drawBetween(m_rng, 0, 3));
    shape.runMs = shape.isLasting ? 0 : static_cast<int>(drawBetween(m_rng, shortRunMs, longRunMs));
    if (!shape.isLasting && base::chance(m_rng, failsFirstShare))
        shape.failedRuns = 1;
    else if (!shape.isLasting && base::chance(m_rng, failsAlwaysShare))
        shape.failedRuns = platform::standin::failsAlways;
    Job& job = m_jobs[addJob(shape)];
    job.givesUp = base::chance(m_rng, givesUpShare);
    if (shape.isLasting || base::chance(m_rng, cancelShare))
        job.cancelAt = now + drawBetween(m_rng, 100, shape.isLasting ? 8000 : 1500);
    if (base::chance(m_rng, repeatShare))
        job.repeatAt = now + drawBetween(m_rng, 500, 6000);
}

void Clients::tick(bool hasTraffic)
{
    const std::int64_t now = nowMs();
    if (hasTraffic && now >= m_nextJobAt) {
        m_nextJobAt = now + static_cast<std::int64_t>(base::exponential(m_rng, meanJobGapMs));
        submitDrawn();
    }
    for (std::size_t i = 0; i < m_jobs.size(); ++i) {
        if (!m_jobs[i].isCalling && now >= m_jobs[i].nextAt)
            act(i);
    }
    std::erase_if(m_shown, [this](const ShownState& shown) {
        const bool isKnown = m_checks.knownUntil >= shown.at;
        if (isKnown)
            checkFinalState(m_checks, shown.job, shown.state);
        return isKnown;
    });
}

void Clients::act(std::size_t index)
{
    Job& job = m_jobs[index];
    JobFacts& facts = m_checks.jobs[job.id];
    if (facts.isRefused)
        return;
    const std::int64_t now = nowMs();
    const bool isCancelDue = job.cancelAt > 0 && now >= job.cancelAt && facts.cancelledAt == 0 && !job.finalState;
    if (facts.acceptedAt == 0) {
        send(index, "POST");
    } else if (job.repeatAt > 0 && now >= job.repeatAt) {
        job.repeatAt = 0;
        send(index, "POST");
    } else if (isCancelDue) {
        facts.cancelSentAt = facts.cancelSentAt == 0 ? now : facts.cancelSentAt;
        send(index, "DELETE");
    } else {
        send(index, "GET");
    }
}

void Clients::send(std::size_t index, const QByteArray& method)
{
    Job& job = m_jobs[index];
    job.isCalling = true;
    ++m_counts.calls;
    const std::size_t channel = base::below(m_rng, m_channels.size());
    const int daemon = static_cast<int>(channel) / connectionsPerDaemon;
    http::ChannelRequest request;
    request.method = method;
    request.target = callersPrefix + QByteArray::fromStdString(job.id);
    request.headers = { { platform::deadlineHeader, QByteArray::number(deadlineMs) } };
    if (method == "POST")
        request.body = encodeJob(m_checks.jobs[job.id].shape);
    request.timeoutMs = deadlineMs;
    Call call { index, method, daemon, m_cluster.processName(daemon), nowMs() };
    m_channels[channel]->send(std::move(request),
        [this, call = std::move(call)](const http::ClientResult& result) { applyAnswer(call, result); });
}

void Clients::applyAnswer(const Call& call, const http::ClientResult& result)
{
    Job& job = m_jobs[call.job];
    const JobFacts& facts = m_checks.jobs[job.id];
    job.isCalling = false;
    m_counts.unanswered += result.ok() ? 0 : 1;
    const bool isSlow = job.finalState || (facts.shape.isLasting && facts.cancelSentAt == 0);
    const bool hasPlan = job.cancelAt > 0 || job.repeatAt > 0;
    job.nextAt = nowMs() + (!result.ok() || facts.acceptedAt == 0 ? retryMs : isSlow && !hasPlan ? slowPollMs : pollMs);
    if (!result.ok())
        checkLoss(call, result);
    else if (result.status >= 400 && result.status != 410 && result.status != 429 && result.status < 502)
        addViolation(m_checks,
            "unexpected status " + std::to_string(result.status) + " of " + call.process + " for "
                + call.method.toStdString() + ' ' + job.id);
    if (call.method == "POST")
        applySubmission(call, result);
    else if (call.method == "GET")
        applyState(call, result);
    else
        applyCancel(call, result);
}

void Clients::applySubmission(const Call& call, const http::ClientResult& result)
{
    Job& job = m_jobs[call.job];
    JobFacts& facts = m_checks.jobs[job.id];
    const bool isRefusal = result.ok() && (result.status == 429 || result.status == 503);
    if (result.ok() && result.status / 100 == 2) {
        m_counts.accepted += facts.acceptedAt == 0 ? 1 : 0;
        facts.acceptedAt = facts.acceptedAt == 0 ? nowMs() : facts.acceptedAt;
    } else if (isRefusal && facts.acceptedAt == 0 && !job.isUncertain && job.givesUp) {
        facts.isRefused = true;
        ++m_counts.refused;
        const auto run = m_checks.tasks.lower_bound(job.id);
        if (run != m_checks.tasks.end() && run->first.rfind(job.id, 0) == 0)
            addViolation(m_checks, "a refused job has run: " + run->first);
    } else if (!isRefusal && (result.ok() || result.bytesSent == http::BytesSent::Some)) {
        job.isUncertain = true;
    }
}

void Clients::applyState(const Call& call, const http::ClientResult& result)
{
    Job& job = m_jobs[call.job];
    const JobFacts& facts = m_checks.jobs[job.id];
    if (!result.ok())
        return;
    const std::int64_t now = nowMs();
    const std::string where = job.id + " by " + call.process + " at " + timeText(m_checks, now);
    if (result.status == 410)
        addViolation(
            m_checks, "an accepted job is unknown: " + where + ", accepted at " + timeText(m_checks, facts.acceptedAt));
    const auto state = platform::standin::decodeJobState(result.body);
    if (result.status != 200 || !state)
        return;
    if (!scheduler::isFinal(*state)) {
        const bool isKnownThere
            = job.finalBy.count(call.process) > 0 && call.process == m_cluster.processName(call.daemon);
        const bool isLate = job.finalState && call.sentAt > job.finalAt + visibleMs
            && isCalm(m_checks.disturbances, call.sentAt - calmMs - visibleMs, now);
        if (isKnownThere || isLate)
            addViolation(m_checks, "a final state is taken back: " + where);
        return;
    }
    if (job.finalState && *job.finalState != *state)
        addViolation(m_checks, "a final state changes: " + where);
    if (!job.finalState) {
        job.finalState = state;
        job.finalAt = now;
        m_counts.completed += *state == scheduler::JobState::Completed ? 1 : 0;
        m_shown.push_back({ job.id, *state, now });
    }
    job.finalBy.insert(call.process);
}

void Clients::applyCancel(const Call& call, const http::ClientResult& result)
{
    const Job& job = m_jobs[call.job];
    JobFacts& facts = m_checks.jobs[job.id];
    if (!result.ok())
        return;
    if (result.status == 410)
        addViolation(m_checks, "an accepted job is unknown to its cancel: " + job.id + " by " + call.process);
    else if (result.status / 100 == 2 && facts.cancelledAt == 0) {
        facts.cancelledAt = nowMs();
        ++m_counts.cancelled;
    }
}

void Clients::checkLoss(const Call& call, const http::ClientResult& result)
{
    const std::int64_t now = nowMs();
    const std::int64_t writtenAt = call.sentAt + result.waitedMs;
    const bool isLost = result.failure == http::Failure::ConnectionLost || result.failure == http::Failure::Incomplete;
    if (isLost && result.bytesSent == http::BytesSent::Some && now > writtenAt + lossSlackMs
        && m_cluster.stopSentAt(call.daemon) > 0 && isCalmButForStops(m_checks.disturbances, writtenAt - calmMs, now))
        addViolation(m_checks,
            "a planned stop broke off a request: " + call.method.toStdString() + ' ' + m_jobs[call.job].id + " by "
                + call.process + ", written at " + timeText(m_checks, writtenAt) + ", lost at "
                + timeText(m_checks, now));
}

bool Clients::isFinished(std::string& open) const
{
    for (const Job& job : m_jobs) {
        const JobFacts& facts = m_checks.jobs.at(job.id);
        const bool mustEnd = facts.acceptedAt > 0 && (!facts.shape.isLasting || facts.cancelledAt > 0);
        const bool isAnswerDue = facts.acceptedAt == 0 && !facts.isRefused; // retried until it is answered
        if (isAnswerDue || (mustEnd && !job.finalState)) {
            open = job.id;
            return false;
        }
    }
    return true;
}

} // namespace lacewing::soak
