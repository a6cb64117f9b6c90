// Start and planned end of a term: reads the records that the term starts from, and encodes those that the next term
// starts from.
#include "daemon/dispatcher_service.h"

#include "daemon/configuration_service.h"
#include "daemon/job_table.h"
#include "kernel/log.h"
#include "scheduler/record.h"

namespace lacewing::daemon {

void DispatcherService::load()
{
    m_placements.reset();
    m_formerLeases.reset();
    m_formerWorkers.clear();
    m_newItems.clear();
    m_loader = std::make_unique<TermLoader>(*m_runtime.store, m_runtime.metrics, m_term->token(),
        TermLoader::Handlers {
            [this](LoadStep step, const platform::Item& item) { return applyLoaded(step, item); },
            [this] { finishLoading(); },
        });
    m_loader->start();
}

bool DispatcherService::applyLoaded(LoadStep step, const platform::Item& item)
{
    switch (step) {
    case LoadStep::Leases:
        m_formerLeases = scheduler::decodeLeaseTable(item.value);
        return m_formerLeases.has_value();
    case LoadStep::Workers:
        if (auto workers = scheduler::decodeWorkers(item.value)) {
            m_formerWorkers = std::move(*workers);
            return true;
        }
        return false;
    case LoadStep::Placements:
        m_placements = scheduler::decodePlacements(item.value);
        return m_placements.has_value();
    case LoadStep::OpenStarts:
        if (auto table = scheduler::decodeOpenStarts(item.value)) {
            m_storedOpenStarts = std::move(*table);
            return true;
        }
        return false;
    case LoadStep::Accepted:
        // Jobs that were accepted before this term may have runs from an earlier one. Others, and requests to cancel,
        // are applied once the term has begun.
        if (item.createdRevision < m_term->token() && !item.key.ends_with(storeKeys::cancelSuffix))
            applyAccepted(item, false);
        else
            m_newItems.push_back(item);
        return true;
    case LoadStep::Progress:
        return applyLoadedProgress(item);
    case LoadStep::Done:
        break;
    }
    return false;
}

bool DispatcherService::applyLoadedProgress(const platform::Item& item)
{
    const auto found = m_scheduler->jobs.find(item.key.substr(storeKeys::progressPrefix.size()));
    if (found == m_scheduler->jobs.end())
        return true;
    scheduler::Job& job = *found->second;
    const bool isRestored = scheduler::restoreProgress(job, item.value);
    if (scheduler::isFinal(job.state))
        scheduler::retireJob(*m_scheduler, job);
    m_feed.append({ found->first, job.committedState, job.request.account }, item.revision);
    applyState(*m_table, found->first, job.request.account, job.committedState, nowMs());
    return isRestored;
}

std::vector<platform::Write> DispatcherService::openStartRecords()
{
    if (!m_isLoaded)
        return {};
    QByteArray record = scheduler::encodeOpenStarts(scheduler::collectOpenStarts(*m_scheduler, nowMs()));
    if (record.size() > maxRecordBytes)
        return {};
    return { { storeKeys::openStarts, std::move(record) } };
}

std::vector<platform::Write> DispatcherService::resignationRecords() const
{
    const auto placements = m_isLoaded ? scheduler::collectPlacements(*m_scheduler, nowMs()) : std::nullopt;
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
    m_feed.sort();
    const election::Election& election = m_term->state();
    scheduler::beginTerm(*m_scheduler, m_term->token(), now,
        { election.knowsFormerTerms, election::termClock(election, now), election.terms });
    if (m_formerLeases)
        scheduler::setFormerLeases(*m_scheduler, std::move(*m_formerLeases), now);
    scheduler::addFormerWorkers(*m_scheduler, m_formerWorkers, now);
    if (m_placements && m_placements->token == m_term->state().formerToken)
        scheduler::applyPlacements(*m_scheduler, *m_placements, now);
    scheduler::applyOpenStarts(*m_scheduler, m_storedOpenStarts, now);
    scheduler::applyRunRecords(*m_scheduler);
    for (const platform::Item& item : m_newItems)
        applyAccepted(item, true);
    m_newItems.clear();
    const TermLoadCounts& read = m_loader->counts();
    kernel::logEvent(kernel::LogLevel::Notice, "dispatcher", "termLoaded",
        { { "token", m_term->token() }, { "jobs", static_cast<std::int64_t>(m_scheduler->jobs.size()) },
            { "open", static_cast<std::int64_t>(m_scheduler->active.size()) },
            { "sinceMs", now - m_term->phases().begunAt },
            { "rememberedWorkers", static_cast<std::int64_t>(m_scheduler->workers.size()) },
            { "revision", m_loader->acceptedRevision() }, { "records", read.records }, { "listBytes", read.bytes },
            { "calls", read.calls }, { "failures", read.failures } });
    m_placements.reset();
    m_formerLeases.reset();
    m_formerWorkers.clear();
    m_isLoaded = true;
    recordTermLoaded(m_term->phases(), m_runtime.metrics, now);
    m_workerListCalls = {};
    m_interferenceStoredAt = now;
    loadInterference();
    watchJobs(m_loader->acceptedRevision(), m_loader->acceptedAskedAt());
    listWorkers();
    m_loadWatch.start(linkTraffic());
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
