// Workers: reading their list from the store, renewing their leases, sending orders.
#include "daemon/dispatcher_service.h"

#include "daemon/configuration_service.h"
#include "kernel/log.h"
#include "platform/documents.h"
#include "scheduler/departure.h"

namespace lacewing::daemon {

namespace {

    constexpr int failuresUntilLost = 2; // consecutive renewals without an answer
    constexpr int lostRetryMs = 400;     // ms between attempts to reach a lost worker
    // ms that a worker over a latency target may hold its report back; the window of one reading
    constexpr int overTargetLeaseWaitMs = 450;
    // in flight; a new term that called all workers at once would time out its own calls
    constexpr int maxFirstReports = 128;
    constexpr int maxStartAttempts = 2; // the second one repeats the first; a worker executes a repeated start once

} // namespace

void DispatcherService::listWorkers()
{
    const scheduler::Millis requestedAt = nowMs();
    m_workerListCalls.askedAt = requestedAt;
    ++m_workerListCalls.inProgress;
    const std::weak_ptr<int> generation = m_generation;
    m_runtime.store->list(platform::workersPrefix, platform::Freshness::Linearizable,
        [this, generation, requestedAt](const base::Result<platform::ItemList, platform::StoreError>& result) {
            if (generation.expired())
                return;
            --m_workerListCalls.inProgress;
            if (result.has_error() || !applyWorkerListAnswer(m_workerListCalls, requestedAt, nowMs()))
                return;
            const WorkerList list = m_workerList.read(result.value(), namedServices());
            for (const RefusedEntry& entry : list.newlyRefused) {
                m_runtime.metrics
                    .counter(
                        "lacewing_worker_entries_refused_total", "Entries that name no worker to use, when first seen.")
                    .value
                    += 1;
                kernel::logEvent(kernel::LogLevel::Warning, "dispatcher", "workerEntryRefused",
                    { { "worker", entry.id }, { "revision", entry.revision }, { "reason", entry.reason } });
            }
            m_runtime.metrics
                .gauge("lacewing_refused_worker_entries", "Entries of the newest list that name no worker to use.")
                .value
                = static_cast<double>(list.refused);
            scheduler::setWorkers(*m_scheduler, list.entries, requestedAt, nowMs());
            storeWorkers();
            renewDueLeases();
            schedulePlan();
        });
}

// The services of the configuration, and those of open jobs whose queue has been removed.
std::optional<std::set<std::string>> DispatcherService::namedServices() const
{
    if (!m_configuration->isLoaded())
        return std::nullopt;
    std::set<std::string> names;
    for (const auto& [name, service] : m_configuration->current().services)
        names.insert(name);
    for (const scheduler::Queue& queue : m_configuration->current().queues)
        names.insert(queue.policy.service);
    for (const std::string& id : m_scheduler->active)
        names.insert(m_scheduler->jobs.at(id)->policy.service);
    return names;
}

void DispatcherService::renewDueLeases()
{
    if (!m_isLoaded)
        return;
    const scheduler::Millis now = nowMs();
    m_scheduler->newestToken = m_term->newestToken();
    for (auto it = m_links.begin(); it != m_links.end();) {
        const auto worker = m_scheduler->workers.find(it->first);
        const bool isStale = worker == m_scheduler->workers.end() || worker->second.entry.address != it->second.address;
        it = isStale ? m_links.erase(it) : std::next(it);
    }
    int firstReports = 0; // in flight to workers without a lease of this term
    for (const auto& [id, worker] : m_scheduler->workers)
        firstReports += m_links[id].isRenewing && worker.contact != scheduler::Contact::Established ? 1 : 0;
    for (const auto& [id, worker] : m_scheduler->workers) {
        if (worker.entry.address.empty()) // known only from the lease table
            continue;
        Link& link = m_links[id];
        if (!link.client) {
            link.address = worker.entry.address;
            link.client
                = std::make_unique<platform::WorkerLink>(link.address, id, platform::LinkTimeouts {}, &m_traffic);
        }
        // A worker repeats unacknowledged ends at once: its renewal waits while they are being stored.
        const bool isHeldBack = scheduler::isReportHeldBack(*m_scheduler, worker, now);
        // Leases are renewed only while the daemon acts as leader: the next term relies on their expiry.
        if (link.isRenewing || now < link.nextRenewalAt || isHeldBack || now >= m_term->actsUntil())
            continue;
        if (worker.contact != scheduler::Contact::Established && ++firstReports > maxFirstReports)
            continue;
        renewLease(id, link);
    }
}

void DispatcherService::renewLease(const std::string& id, Link& link)
{
    link.isRenewing = true;
    const scheduler::Millis sentAt = nowMs();
    link.renewalSentAt = sentAt;
    const scheduler::Worker& worker = m_scheduler->workers.at(id);
    const bool isFirst = worker.contact != scheduler::Contact::Established;
    const scheduler::LeaseRequest lease = scheduler::leaseRequest(*m_scheduler, id, sentAt);
    const int reportWaitMs = worker.overTargetSince > 0 ? overTargetLeaseWaitMs : m_runtime.settings.leaseWaitMs;
    const bool isReportOnly = lease.expiresClockMs == 0 && !worker.isLeaseWithheld;
    const int waitMs = isFirst || isReportOnly ? 0 : reportWaitMs;
    const std::weak_ptr<int> generation = m_generation;
    link.client->renew(lease.fencingToken, lease, waitMs,
        [this, generation, id, sentAt, isReportOnly](
            const base::Result<scheduler::WorkerReport, platform::LinkError>& result) {
            if (!generation.expired())
                applyRenewal(id, result, sentAt, isReportOnly);
        });
}

void DispatcherService::renewAfterRestart(const std::string& id)
{
    const auto worker = m_scheduler->workers.find(id);
    const auto found = m_links.find(id);
    if (worker == m_scheduler->workers.end() || found == m_links.end())
        return;
    Link& link = found->second;
    if (!link.isRenewing || !scheduler::awaitsFirstReport(worker->second)
        || link.renewalSentAt >= worker->second.incarnation.seenAt)
        return;
    link.failures = 0;
    link.renewalSentAt = nowMs(); // abandoned once
    link.client->abandonRenewal();
}

void DispatcherService::applyRenewal(const std::string& id,
    const base::Result<scheduler::WorkerReport, platform::LinkError>& result, scheduler::Millis sentAt,
    bool isReportOnly)
{
    const auto found = m_links.find(id);
    if (found == m_links.end())
        return;
    Link& link = found->second;
    const scheduler::Millis now = nowMs();
    link.isRenewing = false;
    ++(result.has_value() ? m_loadWatch.counts().renewals : m_loadWatch.counts().renewalFailures);
    const ActivityScope scope(m_loadWatch, Activity::Reports);
    if (m_scheduler->workers.count(id) == 0) // removed while the call was in flight
        return;
    if (result.has_value()) {
        link.failures = 0;
        scheduler::applyReport(*m_scheduler, id, result.value(), sentAt, now);
        // When orders are delayed, renewals are spaced out: fewer reports with more ends each.
        link.nextRenewalAt
            = now + m_runtime.settings.leaseGapMs + static_cast<scheduler::Millis>(m_orderWindow.latencyMs);
        schedulePlan();
        if (!isReportOnly) // otherwise the report gave the worker's clock, and the lease is still to be renewed
            return;
        if (m_scheduler->workers.at(id).isLeaseGranted)
            renewLease(id, link);
        else
            storeLeases();
        return;
    }
    const platform::LinkError error = result.error();
    scheduler::applyReportLoss(*m_scheduler, id);
    link.nextRenewalAt = now + lostRetryMs;
    if (error == platform::LinkError::OtherIncarnation) {
        scheduler::applyRestart(*m_scheduler, id, now);
        schedulePlan();
    } else if (error == platform::LinkError::Fenced) {
        kernel::logEvent(
            kernel::LogLevel::Warning, "dispatcher", "fenced", { { "worker", id }, { "token", m_term->token() } });
        m_term->renewSoon();
    } else if (++link.failures >= failuresUntilLost || error == platform::LinkError::Refused) {
        scheduler::applyContactLoss(*m_scheduler, id, now);
        schedulePlan();
    } else {
        link.nextRenewalAt = now;
    }
}

void DispatcherService::sendOrders(const scheduler::Orders& orders)
{
    const ActivityScope scope(m_loadWatch, Activity::Orders);
    for (const scheduler::StopOrder& order : orders.stops)
        sendStop(order);
    for (const scheduler::StartOrder& order : orders.starts)
        sendStart(order, scheduler::recordOrder(m_orderWindow, nowMs()));
    if (orders.question)
        requestApproval(*orders.question);
}

void DispatcherService::requestApproval(const scheduler::ApprovalQuestion& question)
{
    const scheduler::Millis askedAt = nowMs();
    if (m_runtime.settings.adviceAddress.empty()) {
        kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "approvalUnavailable", { { "step", question.step } });
        scheduler::applyApproval(*m_scheduler, question, std::nullopt, askedAt, askedAt);
        return;
    }
    if (!m_advice)
        m_advice = std::make_unique<platform::AdviceLink>(m_runtime.settings.adviceAddress, &m_traffic);
    const std::weak_ptr<int> generation = m_generation;
    m_advice->ask(
        question, [this, generation, question, askedAt](const std::optional<scheduler::ApprovalAnswer>& answer) {
            if (generation.expired())
                return;
            scheduler::applyApproval(*m_scheduler, question, answer, askedAt, nowMs());
            schedulePlan();
        });
}

// A later plan repeats a lost stop order.
void DispatcherService::sendStop(const scheduler::StopOrder& order)
{
    const auto link = m_links.find(order.worker);
    if (link == m_links.end())
        return;
    const std::weak_ptr<int> generation = m_generation;
    link->second.client->stop(order.fencingToken, order, [this, generation, order](const platform::StopResult& answer) {
        if (generation.expired())
            return;
        m_loadWatch.recordOrderWait(answer.queueWaitMs);
        ++(answer.isAnswered ? m_loadWatch.counts().stopsAnswered : m_loadWatch.counts().stopsLost);
        if (!answer.isAnswered)
            kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "stopUnanswered",
                { { "job", order.task.substr(0, order.task.find('.')) }, { "task", order.task },
                    { "worker", order.worker }, { "run", order.run }, { "waitedMs", answer.queueWaitMs },
                    { "outcome", std::string(base::nameOf(http::failureNames, answer.failure)) } });
    });
}

void DispatcherService::sendStart(const scheduler::StartOrder& order, std::uint64_t number)
{
    const scheduler::Millis sentAt = nowMs();
    const auto link = m_links.find(order.worker);
    if (link == m_links.end()) {
        scheduler::recordCompletion(m_orderWindow, number, sentAt, true, sentAt);
        scheduler::applyStart(*m_scheduler, order,
            order.attempts > 1 ? scheduler::StartOutcome::Unknown : scheduler::StartOutcome::Refused, sentAt);
        return;
    }
    const std::weak_ptr<int> generation = m_generation;
    link->second.client->start(
        order.fencingToken, order, [this, generation, order, number, sentAt](platform::StartResult answer) {
            if (generation.expired())
                return;
            const scheduler::Millis now = nowMs();
            scheduler::StartOutcome outcome = answer.outcome;
            const bool isLost = answer.failure != http::Failure::None;
            scheduler::recordCompletion(
                m_orderWindow, number, sentAt, isLost && outcome != scheduler::StartOutcome::Unsent, now);
            m_loadWatch.recordOrderWait(answer.queueWaitMs);
            ++(isLost ? m_loadWatch.counts().startsLost : m_loadWatch.counts().startsAnswered);
            m_loadWatch.counts().startsUnsent += outcome == scheduler::StartOutcome::Unsent ? 1 : 0;
            const scheduler::ClockReading reading { answer.clockMs, answer.incarnationUnixMs, sentAt };
            const bool isOfWorker = answer.clockMs > 0 && outcome != scheduler::StartOutcome::OtherIncarnation;
            // A run that a former incarnation has started is gone; the present one may execute the order as well.
            if (isOfWorker && !scheduler::applyClock(*m_scheduler, order.worker, reading, now))
                outcome = scheduler::StartOutcome::Unknown;
            if (isOfWorker)
                renewAfterRestart(order.worker);
            if (outcome == scheduler::StartOutcome::Unknown && order.attempts < maxStartAttempts) {
                scheduler::StartOrder repeated = order;
                ++repeated.attempts;
                sendStart(repeated, number);
                return;
            }
            // A refusal of the second attempt does not show whether the first one was executed.
            const bool isSettled
                = outcome == scheduler::StartOutcome::Started || outcome == scheduler::StartOutcome::OtherIncarnation;
            if (order.attempts > 1 && !isSettled)
                outcome = scheduler::StartOutcome::Unknown;
            if (outcome == scheduler::StartOutcome::Fenced)
                m_term->renewSoon();
            scheduler::applyStart(*m_scheduler, order, outcome, now,
                { { "attempt", order.attempts }, { "waitedMs", answer.queueWaitMs }, { "status", answer.status },
                    { "ageMs", now - sentAt } });
            if (outcome != scheduler::StartOutcome::Started)
                schedulePlan();
        });
}

} // namespace lacewing::daemon
