// Start and planned end of a term: reads the records that the term starts from, and encodes those that the next term
// starts from.
#include "daemon/dispatcher_service.h"

#include "daemon/configuration_service.h"
#include "daemon/job_table.h"
#include "kernel/log.h"
#include "scheduler/record.h"

namespace lacewing::daemon {

namespace {

    constexpr int loadRetryMs = 250;             // ms after a failed call
    constexpr qsizetype maxRecordBytes = 700000; // the store's limit of a value less its text encoding

} // namespace

// Only the holder of the term writes progress, workers and placements, so that they may be read concurrently.
void DispatcherService::load()
{
    m_pendingLoads = 5;
    m_placements.reset();
    m_formerLeases.reset();
    m_formerWorkers.clear();
    loadItem(storeKeys::workers, [this](const QByteArray& bytes) {
        auto workers = scheduler::decodeWorkers(bytes);
        if (workers)
            m_formerWorkers = std::move(*workers);
        return workers.has_value();
    });
    loadItem(storeKeys::leases, [this](const QByteArray& bytes) {
        m_formerLeases = scheduler::decodeLeaseTable(bytes);
        return m_formerLeases.has_value();
    });
    loadItem(storeKeys::placements, [this](const QByteArray& bytes) {
        m_placements = scheduler::decodePlacements(bytes);
        return m_placements.has_value();
    });
    loadList(storeKeys::acceptedPrefix, m_accepted);
    loadList(storeKeys::progressPrefix, m_progress);
}

// Starts all loads again after one has failed.
void DispatcherService::retryLoad()
{
    m_loadGeneration = std::make_shared<int>(0);
    runAfter(loadRetryMs, [this] { load(); });
}

void DispatcherService::finishOneLoad()
{
    if (--m_pendingLoads == 0)
        finishLoading();
}

void DispatcherService::loadItem(const std::string& key, std::function<bool(const QByteArray&)> apply)
{
    m_runtime.store->read(key,
        [this, generation = std::weak_ptr<int>(m_loadGeneration), key, apply = std::move(apply)](
            const base::Result<platform::Item, platform::StoreError>& result) {
            if (generation.expired())
                return;
            if (result.has_error() && result.error().code != platform::StoreCode::Missing) {
                retryLoad();
                return;
            }
            if (result.has_value() && !apply(result.value().value))
                kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "recordRefused",
                    { { "key", key }, { "revision", result.value().revision } });
            finishOneLoad();
        });
}

void DispatcherService::loadList(const std::string& prefix, platform::ItemList& list)
{
    m_runtime.store->list(prefix, platform::Freshness::Linearizable,
        [this, generation = std::weak_ptr<int>(m_loadGeneration), &list](
            const base::Result<platform::ItemList, platform::StoreError>& result) {
            if (generation.expired())
                return;
            if (result.has_error()) {
                retryLoad();
                return;
            }
            list = result.value();
            finishOneLoad();
        });
}

std::vector<platform::Write> DispatcherService::resignationRecords() const
{
    const auto placements = m_isLoaded ? scheduler::collectPlacements(*m_scheduler) : std::nullopt;
    if (!placements)
        return {};
    const QByteArray record = scheduler::encodePlacements(*placements);
    if (record.size() > maxRecordBytes) {
        kernel::logEvent(kernel::LogLevel::Warning, "dispatcher", "placementsTooLong",
            { { "bytes", static_cast<std::int64_t>(record.size()) } });
        return {};
    }
    return { { storeKeys::placements, record },
        { storeKeys::workers, scheduler::encodeWorkers(scheduler::knownWorkers(*m_scheduler)) } };
}

void DispatcherService::finishLoading()
{
    const scheduler::Millis now = nowMs();
    // Jobs that were accepted before this term may have runs from an earlier one.
    for (const platform::Item& item : m_accepted.items) {
        if (item.createdRevision < m_term->token())
            applyAccepted(item, false);
    }
    for (const platform::Item& item : m_progress.items) {
        const auto found = m_scheduler->jobs.find(item.key.substr(storeKeys::progressPrefix.size()));
        if (found == m_scheduler->jobs.end())
            continue;
        if (!scheduler::restoreProgress(*found->second, item.value))
            kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "progressRefused", { { "job", found->first } });
        if (scheduler::isFinal(found->second->state))
            m_scheduler->active.erase(found->first);
        m_feed.push_back({ found->first, found->second->committedState });
        applyState(*m_table, found->first, found->second->committedState, now);
    }
    const election::Election& election = m_term->state();
    scheduler::beginTerm(*m_scheduler, m_term->token(), now,
        { election.knowsFormerTerms, election::termClock(election, now), election.terms });
    if (m_formerLeases)
        scheduler::setFormerLeases(*m_scheduler, std::move(*m_formerLeases), now);
    scheduler::addFormerWorkers(*m_scheduler, m_formerWorkers, now);
    if (m_placements && m_placements->token == m_term->state().formerToken)
        scheduler::applyPlacements(*m_scheduler, *m_placements, now);
    scheduler::applyRunRecords(*m_scheduler);
    for (const platform::Item& item : m_accepted.items)
        applyAccepted(item, true);
    m_jobsRevision = m_accepted.revision;
    m_jobWatchAnsweredAt = now;
    kernel::logEvent(kernel::LogLevel::Notice, "dispatcher", "termLoaded",
        { { "token", m_term->token() }, { "jobs", static_cast<std::int64_t>(m_scheduler->jobs.size()) },
            { "open", static_cast<std::int64_t>(m_scheduler->active.size()) },
            { "sinceMs", now - m_term->phases().begunAt },
            { "rememberedWorkers", static_cast<std::int64_t>(m_scheduler->workers.size()) },
            { "revision", m_jobsRevision } });
    m_accepted = {};
    m_progress = {};
    m_placements.reset();
    m_formerLeases.reset();
    m_formerWorkers.clear();
    m_isLoaded = true;
    recordTermLoaded(m_term->phases(), m_runtime.metrics, now);
    m_workersListedAt = 0;
    m_interferenceStoredAt = now;
    loadInterference();
    watchJobs();
    listWorkers();
    m_loadWatch.start();
    m_tick.start();
}

// A term is correct without the table, which only improves the choice of workers.
void DispatcherService::loadInterference()
{
    const std::weak_ptr<int> generation = m_generation;
    m_runtime.store->read(
        storeKeys::interference, [this, generation](const base::Result<platform::Item, platform::StoreError>& result) {
            if (generation.expired() || result.has_error())
                return;
            if (!scheduler::decodeInterference(m_scheduler->interference, result.value().value))
                kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "interferenceRefused", {});
        });
}

} // namespace lacewing::daemon
