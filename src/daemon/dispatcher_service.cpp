// Term of the scheduling daemon: watching accepted jobs, planning, storing progress. Loading is in dispatcher_load.cpp,
// the calls to workers are in dispatcher_workers.cpp.
#include "daemon/dispatcher_service.h"

#include "daemon/configuration_service.h"
#include "daemon/job_table.h"
#include "kernel/log.h"
#include "platform/documents.h"
#include "scheduler/departure.h"
#include "scheduler/occurrences.h"
#include "scheduler/record.h"

namespace lacewing::daemon {

namespace {

    constexpr int tickMs = 50;                               // ms; resolution of this service's periods
    constexpr scheduler::Millis interferencePeriodMs = 3000; // ms between writes of the interference table
    constexpr int planDelayMs = 15;                          // ms; reports that arrive together are handled by one plan
    constexpr scheduler::Millis planPauseFactor = 2;         // pause before the next plan, in durations of the last one
    constexpr scheduler::Millis maxPlanPauseMs = 500;        // ms; bounds how long the stop of a cancelled job waits
    // ms between removals of expired records; with 8 jobs each 40 jobs/s, above the peak of the target load
    constexpr scheduler::Millis removalPeriodMs = 200;
    // ms between transactions that shorten accepted records of ended jobs; with 28 of them 56 jobs/s
    constexpr scheduler::Millis shortenPeriodMs = 500;
    constexpr scheduler::Millis strongerCheckPeriodMs = 1000; // ms between checks for a stronger daemon
    // An unanswered call delays a cancel by 650 ms of the 3,000 that the platform allows. Numbers of waiting jobs are
    // as old as two calls at most.
    constexpr WatchTimes jobWatchTimes { .waitMs = 500, .overdueMs = 150, .gapMs = 40 };
    // ms between writes of the lease table that only release workers; a term loses at most this much of their age
    constexpr scheduler::Millis leaseReleasePeriodMs = 1000;
    // ms between writes of the table of open starts that only remove some; it may name them up to this long after they
    // have been answered
    constexpr scheduler::Millis openStartRemovalPeriodMs = 1000;
    constexpr scheduler::Millis dropsPeriodMs = 1000; // ms between lines on dropped decisions
    constexpr std::size_t recordsPerCommit = 28; // below the store's limit of a transaction less the term's entries

    scheduler::Limits toLimits(const Settings& settings)
    {
        scheduler::Limits limits;
        limits.maxLeaseMs = settings.bounds.maxLeaseMs;
        limits.stopTimeoutMs = settings.bounds.stopTimeoutMs;
        limits.impactMs = settings.bounds.impactMs;
        return limits;
    }

} // namespace

DispatcherService::DispatcherService(Runtime& runtime)
    : m_runtime(runtime)
    , m_loadWatch(runtime.metrics)
{
}

void DispatcherService::start()
{
    m_term = kernel::find<TermService>(m_runtime.kernel, serviceNames::term);
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_table = kernel::find<JobTable>(m_runtime.kernel, serviceNames::jobTable);
    m_term->onElected([this] { beginTerm(); });
    m_term->onTermEnded([this] { endTerm(); });
    m_configuration->onChange([this] {
        if (!m_scheduler)
            return;
        if (m_configuration->isLoaded())
            scheduler::setConfiguration(*m_scheduler, m_configuration->current());
        scheduler::setWithdrawn(*m_scheduler, m_configuration->withdrawn());
        schedulePlan();
    });
    m_tick.setInterval(tickMs);
    QObject::connect(&m_tick, &QTimer::timeout, this, [this] {
        if (!m_isLoaded)
            return;
        m_loadWatch.tick(base::milliseconds(tickMs), linkTraffic());
        resignToStrongerDaemon();
        renewDueLeases();
        storeLeases();
        storeOpenStarts();
        const scheduler::Millis now = nowMs();
        const scheduler::Millis usualMs = m_runtime.settings.workerListMs;
        if (isWorkerListDue(m_workerListCalls, scheduler::workerListPeriodMs(*m_scheduler, usualMs, now), usualMs, now))
            listWorkers();
        runPlan();
    });
}

// --- Term ---

void DispatcherService::beginTerm()
{
    m_scheduler = std::make_unique<scheduler::Scheduler>();
    m_scheduler->limits = toLimits(m_runtime.settings);
    m_scheduler->limits.stateBytes = workLimit(m_runtime.work);
    m_runtime.work.rateMeasuredAt = 0;
    m_nextPlanAt = 0;
    m_strongerCheckedAt = nowMs();
    m_orderWindow = {};
    m_generation = std::make_shared<int>(0);
    m_isLoaded = false;
    if (m_configuration->isLoaded())
        scheduler::setConfiguration(*m_scheduler, m_configuration->current());
    scheduler::setWithdrawn(*m_scheduler, m_configuration->withdrawn());
    scheduler::beginTerm(*m_scheduler, m_term->token(), nowMs());
    load();
}

void DispatcherService::endTerm()
{
    if (m_scheduler)
        logDecisions();
    m_tick.stop();
    m_generation.reset();
    m_loader.reset();
    m_newItems.clear();
    m_isLoaded = false;
    m_isStoringProgress = false;
    m_jobWatch.reset();
    m_links.clear();
    m_advice.reset();
    m_feed.clear();
    m_isRemoving = false;
    m_isShortening = false;
    m_storedWorkers.clear();
    m_storedLeases.clear();
    m_isStoringLeases = false;
    m_storedOpenStarts = {};
    m_isStoringOpenStarts = false;
    recordTermEnded(m_runtime.metrics);
    m_scheduler.reset();
}

void DispatcherService::runAfter(int ms, std::function<void()> action)
{
    QTimer::singleShot(ms, this, [generation = std::weak_ptr<int>(m_generation), action = std::move(action)] {
        if (!generation.expired())
            action();
    });
}

LinkTraffic DispatcherService::linkTraffic() const
{
    const http::ChannelCounters& store = m_runtime.store->traffic();
    const http::ChannelCounters& peers = m_runtime.peerTraffic;
    return { store.bytesRead, store.bytesWritten, m_traffic.bytesRead, m_traffic.bytesWritten, peers.bytesRead,
        peers.bytesWritten };
}

// A planned change of leader interrupts scheduling for a fraction of a second; a leader short of processor time delays
// it throughout its term.
void DispatcherService::resignToStrongerDaemon()
{
    const scheduler::Millis now = nowMs();
    const bool canResign = m_scheduler->isReconciled || m_scheduler->starts == 0;
    if (m_term->isResigning() || !canResign || now - m_strongerCheckedAt < strongerCheckPeriodMs)
        return;
    m_strongerCheckedAt = now;
    const std::optional<std::string> successor = election::strongerSuccessor(m_term->state(), now);
    if (!isStoreReachable(m_runtime) || !successor)
        return;
    std::vector<platform::Write> records = resignationRecords();
    if (!records.empty() || m_scheduler->starts == 0)
        m_term->resign(
            "a stronger daemon is there", std::move(records), [] {}, *successor);
}

// --- Jobs ---

void DispatcherService::applyCancel(const std::string& id)
{
    if (const auto job = m_scheduler->jobs.find(id); job != m_scheduler->jobs.end())
        job->second->hasCancelRequest = true;
    scheduler::cancelJob(*m_scheduler, id, nowMs());
}

void DispatcherService::applyStoredCancel(const std::string& id, const std::string& daemon)
{
    kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "cancelTold", { { "job", id }, { "by", daemon } });
    applyCancel(id);
    schedulePlan();
}

void DispatcherService::applyAccepted(const platform::Item& item, bool isNewInTerm)
{
    if (item.isDeleted)
        return;
    std::string id = item.key.substr(storeKeys::acceptedPrefix.size());
    if (id.ends_with(storeKeys::cancelSuffix)) {
        id.resize(id.size() - storeKeys::cancelSuffix.size());
        if (!isNewInTerm) // applied after all accepted jobs have been added
            return;
        kernel::logEvent(
            kernel::LogLevel::Info, "dispatcher", "cancelSeen", { { "job", id }, { "revision", item.revision } });
        applyCancel(id);
        return;
    }
    if (m_scheduler->jobs.count(id) > 0)
        return;
    if (const auto ended = scheduler::decodeEnded(item.value); ended && ended->id == id) {
        scheduler::addEndedJob(*m_scheduler, *ended, item.createdRevision);
        applyState(*m_table, id, ended->account, ended->state, nowMs());
        return;
    }
    std::optional<scheduler::AcceptedJob> job = scheduler::decodeAccepted(item.value);
    if (!job || job->request.id != id) {
        kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "acceptedRefused", { { "job", id } });
        return;
    }
    applyState(*m_table, id, job->request.account, scheduler::JobState::Queued, nowMs());
    scheduler::addJob(*m_scheduler, std::move(job->request), std::move(job->policy), job->acceptedUnixMs,
        item.createdRevision, nowMs());
    if (isNewInTerm)
        kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "jobSeen",
            { { "job", id }, { "revision", item.revision },
                { "ageMs", base::wallClockMs() - m_scheduler->jobs.at(id)->acceptedUnixMs } });
}

void DispatcherService::watchJobs(std::int64_t revision, scheduler::Millis askedAt)
{
    m_jobWatch = std::make_unique<StoreWatch>(
        m_runtime, "jobs", storeKeys::acceptedPrefix, jobWatchTimes, [this](const StoreWatch::Changes& changes) {
            for (const platform::Item& item : changes.items)
                applyAccepted(item, true);
            schedulePlan();
        });
    m_jobWatch->startFrom(revision, askedAt);
}

// --- Storing ---

void DispatcherService::storeProgress()
{
    if (m_isStoringProgress || m_scheduler->dirty.empty())
        return;
    struct Stored {
        std::string id;
        std::uint64_t version = 0;
        scheduler::JobState state = scheduler::JobState::Queued;
    };
    const ActivityScope scope(m_loadWatch, Activity::Progress);
    std::vector<platform::Write> writes;
    std::vector<Stored> stored;
    for (const std::string& id : scheduler::nextCommitBatch(*m_scheduler, recordsPerCommit)) {
        const scheduler::Job& job = *m_scheduler->jobs.at(id);
        writes.push_back(
            { storeKeys::progressPrefix + id, scheduler::encodeProgress(job, m_scheduler->runsRecordedSince) });
        stored.push_back({ id, job.version, job.state });
    }
    m_isStoringProgress = true;
    const std::weak_ptr<int> generation = m_generation;
    m_term->commit(std::move(writes), [this, generation, stored = std::move(stored)] {
        if (generation.expired())
            return;
        m_isStoringProgress = false;
        const bool hasWaitingStarts = !m_scheduler->awaitedRecords.empty();
        for (const Stored& record : stored)
            scheduler::applyCommit(*m_scheduler, record.id, record.version, record.state);
        publishChanges();
        renewDueLeases();
        if (hasWaitingStarts)
            schedulePlan();
        storeProgress();
    });
}

void DispatcherService::publishChanges()
{
    const scheduler::Millis now = nowMs();
    const std::int64_t revision = m_term->state().revision; // of the transaction that stored the states
    for (const scheduler::JobChange& change : m_scheduler->changes) {
        applyState(*m_table, change.id, change.account, change.state, now);
        m_feed.append(change, revision);
    }
    m_scheduler->changes.clear();
}

// The gateway answers from the job table on the scheduling daemon too.
void DispatcherService::updateTable()
{
    const scheduler::Millis now = nowMs();
    if (now - m_table->syncedAt < tickMs)
        return;
    m_table->syncedAt = now;
    m_table->pendingAsOf = jobsKnownUntil();
    m_table->pending = scheduler::pendingJobs(*m_scheduler);
    measureWork(
        m_runtime.work, scheduler::acceptedWorkBytes(*m_scheduler), m_scheduler->endedWorkBytes, jobsKnownUntil(), now);
    m_scheduler->limits.stateBytes = workLimit(m_runtime.work);
}

// Lets the next term start with the interference that this one has observed.
void DispatcherService::storeInterference()
{
    const scheduler::Millis now = nowMs();
    if (now - m_interferenceStoredAt < interferencePeriodMs || m_scheduler->interference.models.empty())
        return;
    m_interferenceStoredAt = now;
    const QByteArray table = scheduler::encodeInterference(m_scheduler->interference);
    kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "interferenceStored", { { "table", table.toStdString() } });
    m_term->commit({ { storeKeys::interference, table } }, [] {});
}

void DispatcherService::shortenEnded()
{
    const scheduler::Millis now = nowMs();
    if (m_isShortening || now - m_shortenedAt < shortenPeriodMs)
        return;
    m_shortenedAt = now;
    const std::vector<std::string> jobs = scheduler::jobsToShorten(*m_scheduler, recordsPerCommit);
    if (jobs.empty())
        return;
    std::vector<platform::Write> writes;
    for (const std::string& id : jobs) {
        const scheduler::Job& job = *m_scheduler->jobs.at(id);
        writes.push_back({ storeKeys::acceptedPrefix + id,
            scheduler::encodeEnded({ id, job.committedState, job.endedUnixMs, job.request.account }) });
    }
    m_isShortening = true;
    m_term->commit(std::move(writes), [this, generation = std::weak_ptr<int>(m_generation)] {
        if (!generation.expired())
            m_isShortening = false;
    });
}

void DispatcherService::removeExpired()
{
    const scheduler::Millis now = nowMs();
    if (m_isRemoving || now - m_removalCheckedAt < removalPeriodMs)
        return;
    m_removalCheckedAt = now;
    constexpr std::size_t keysPerJob = 3;
    const std::vector<std::string> jobs = scheduler::expiredJobs(*m_scheduler, base::wallClockMs(),
        statusRetentionFactor * m_runtime.settings.bounds.statusMs, TermService::removalsPerCommit / keysPerJob);
    if (jobs.empty())
        return;
    std::vector<std::string> keys;
    for (const std::string& id : jobs) {
        const std::string accepted = storeKeys::acceptedPrefix + id;
        keys.push_back(accepted);
        keys.push_back(storeKeys::progressPrefix + id);
        if (m_scheduler->jobs.at(id)->hasCancelRequest)
            keys.push_back(accepted + storeKeys::cancelSuffix);
    }
    m_isRemoving = true;
    m_term->remove(std::move(keys), [this, generation = std::weak_ptr<int>(m_generation), jobs] {
        if (generation.expired())
            return;
        m_isRemoving = false;
        for (const std::string& id : jobs)
            scheduler::removeJob(*m_scheduler, id);
        kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "jobsRemoved",
            { { "jobs", static_cast<std::int64_t>(jobs.size()) },
                { "kept", static_cast<std::int64_t>(m_scheduler->jobs.size()) } });
    });
}

// The next term must know every worker that may hold runs of this one, including those that are no longer announced.
void DispatcherService::storeWorkers()
{
    std::string ids;
    for (const auto& [id, worker] : m_scheduler->workers)
        ids += id + ' ';
    if (ids == m_storedWorkers)
        return;
    m_storedWorkers = ids;
    m_term->commit({ { storeKeys::workers, scheduler::encodeWorkers(scheduler::knownWorkers(*m_scheduler)) } }, [] {});
}

void DispatcherService::storeLeases()
{
    const scheduler::Millis now = nowMs();
    const bool isStoreFailing = m_runtime.store->health().failingSince > 0;
    const bool hasUngranted = scheduler::hasUngrantedWorkers(*m_scheduler);
    const bool isDue = hasUngranted || (!isStoreFailing && scheduler::hasWithheldWorkers(*m_scheduler));
    if (m_isStoringLeases || (!isDue && now - m_leasesStoredAt < leaseReleasePeriodMs))
        return;
    m_leasesStoredAt = now;
    scheduler::LeaseTable table = scheduler::nextLeaseTable(*m_scheduler, !isStoreFailing, now);
    QByteArray record = scheduler::encodeLeaseTable(table);
    if (record == m_storedLeases && !hasUngranted)
        return;
    m_isStoringLeases = true;
    const std::vector<platform::Write> writes { { storeKeys::leases, record } };
    m_term->commit(writes, [this, generation = std::weak_ptr<int>(m_generation), table = std::move(table), record] {
        if (generation.expired())
            return;
        m_isStoringLeases = false;
        m_storedLeases = record;
        for (const std::string& worker : scheduler::applyLeaseTable(*m_scheduler, table, nowMs()))
            m_links[worker].nextRenewalAt = nowMs();
        renewDueLeases();
        schedulePlan();
    });
}

void DispatcherService::storeOpenStarts()
{
    if (m_isStoringOpenStarts)
        return;
    const scheduler::Millis now = nowMs();
    scheduler::OpenStartTable table = scheduler::collectOpenStarts(*m_scheduler, now);
    const bool lacksStarts = scheduler::lacksOpenStarts(m_storedOpenStarts, table);
    const bool hasRemovals = m_storedOpenStarts.starts.size() > table.starts.size();
    if (!lacksStarts && !(hasRemovals && now - m_openStartsStoredAt >= openStartRemovalPeriodMs))
        return;
    QByteArray record = scheduler::encodeOpenStarts(table);
    if (record.size() > maxRecordBytes) {
        kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "openStartsTooLong",
            { { "starts", static_cast<std::int64_t>(table.starts.size()) },
                { "bytes", static_cast<std::int64_t>(record.size()) } });
        return;
    }
    m_openStartsStoredAt = now;
    m_isStoringOpenStarts = true;
    m_term->commit({ { storeKeys::openStarts, std::move(record) } },
        [this, generation = std::weak_ptr<int>(m_generation), table = std::move(table), lacksStarts, now]() mutable {
            if (generation.expired())
                return;
            m_isStoringOpenStarts = false;
            if (lacksStarts)
                kernel::logEvent(kernel::LogLevel::Info, "dispatcher", "openStartsStored",
                    { { "starts", static_cast<std::int64_t>(table.starts.size()) }, { "tookMs", nowMs() - now } });
            m_storedOpenStarts = std::move(table);
        });
}

// --- Plan ---

void DispatcherService::schedulePlan()
{
    if (m_isPlanQueued || !m_isLoaded)
        return;
    m_isPlanQueued = true;
    const scheduler::Millis pauseMs = m_nextPlanAt - nowMs();
    QTimer::singleShot(static_cast<int>(std::max<scheduler::Millis>(planDelayMs, pauseMs)), this, [this] {
        m_isPlanQueued = false;
        runPlan();
    });
}

void DispatcherService::runPlan()
{
    if (!m_isLoaded || nowMs() < m_nextPlanAt)
        return;
    m_scheduler->validUntil = m_runtime.isStopping ? 0 : m_term->actsUntil();
    m_scheduler->validUntil = m_configuration->isLoaded() ? m_scheduler->validUntil : 0;
    const scheduler::Millis begun = nowMs();
    for (const StoredCancel& cancel : m_table->storedCancels)
        applyStoredCancel(cancel.job, m_runtime.settings.daemon);
    m_table->storedCancels.clear();
    m_scheduler->isStoreFailing = m_runtime.store->health().failingSince > 0;
    m_scheduler->startLimit = scheduler::availableStarts(m_orderWindow, begun);
    scheduler::Orders orders;
    {
        const ActivityScope scope(m_loadWatch, Activity::Plan);
        orders = scheduler::plan(*m_scheduler, begun, base::wallClockMs());
    }
    ++m_loadWatch.counts().plans;
    m_loadWatch.counts().startWindow = static_cast<int>(m_orderWindow.size);
    m_loadWatch.counts().startLatencyMs = static_cast<int>(m_orderWindow.latencyMs);
    sendOrders(orders);
    recordRecovery(m_term->phases(), m_runtime.metrics, *m_scheduler);
    updateTable();
    storeInterference();
    removeExpired();
    storeProgress();
    shortenEnded();
    logDecisions();
    const scheduler::Millis ended = nowMs();
    m_nextPlanAt = ended + std::min(maxPlanPauseMs, planPauseFactor * (ended - begun));
}

void DispatcherService::logDecisions()
{
    const ActivityScope scope(m_loadWatch, Activity::Log);
    for (const scheduler::Decision& decision : scheduler::takeDecisions(*m_scheduler)) {
        std::vector<kernel::LogField> fields;
        fields.reserve(decision.inputs.size() + decision.texts.size() + 6);
        if (!decision.job.empty())
            fields.emplace_back("job", decision.job);
        if (!decision.task.empty())
            fields.emplace_back("task", decision.task);
        if (!decision.worker.empty())
            fields.emplace_back("worker", decision.worker);
        if (decision.run > 0)
            fields.emplace_back("run", decision.run);
        for (const auto& [key, value] : decision.inputs)
            fields.emplace_back(key, value);
        for (const auto& [key, value] : decision.texts)
            fields.emplace_back(key, value);
        if (!decision.image.empty())
            fields.emplace_back("image", decision.image);
        fields.emplace_back("outcome", decision.outcome);
        const base::Significance significance = scheduler::significanceOf(decision);
        const auto level
            = significance == base::Significance::Significant ? kernel::LogLevel::Notice : kernel::LogLevel::Info;
        kernel::logEvent(level, significance, "dispatcher", decision.event, fields.data(), fields.size());
    }
    const base::EventDrops dropped = m_scheduler->droppedDecisions;
    if (dropped == base::EventDrops {} || nowMs() - m_dropsLoggedAt < dropsPeriodMs)
        return;
    m_dropsLoggedAt = nowMs();
    kernel::logEvent(kernel::LogLevel::Warning, "dispatcher", "decisionsDropped",
        { { "routine", dropped.routine }, { "significant", dropped.significant } });
    m_droppedDecisions.routine += dropped.routine;
    m_droppedDecisions.significant += dropped.significant;
    m_scheduler->droppedDecisions = {};
}

void registerDispatcherService(Runtime& runtime)
{
    auto service = std::make_shared<DispatcherService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::dispatcher;
    entry.dependsOn = { serviceNames::term, serviceNames::configuration, serviceNames::jobTable };
    entry.start = [&runtime, service] {
        kernel::publish(runtime.kernel, serviceNames::dispatcher, service.get());
        service->start();
        return std::string();
    };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
