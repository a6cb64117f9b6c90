// At most one read or write of the term record is in flight. When the answer to a write is lost, the write is repeated
// on the same condition; a conflict then returns the record that is stored.
#include "daemon/term_service.h"

#include "kernel/log.h"

#include <utility>

namespace lacewing::daemon {

namespace {

    constexpr int tickMs = 25;           // ms; resolution of the election's timers
    constexpr int resignTimeoutMs = 800; // ms; an unstored resignation is given up, and others take over by time-out
    // The other two entries of a transaction are its condition and the term record.
    constexpr std::size_t writesPerCommit = platform::maxTransactionEntries - 2;

    // Bytes of the keys and values in a transaction's text, where values are in base64.
    std::int64_t textBytes(const std::vector<platform::Write>& writes, const std::vector<std::string>& removals)
    {
        constexpr std::int64_t overhead = 40; // of the text around one entry
        std::int64_t bytes = 0;
        for (const platform::Write& write : writes)
            bytes += static_cast<std::int64_t>(write.key.size()) + write.value.size() * 4 / 3 + overhead;
        for (const std::string& key : removals)
            bytes += static_cast<std::int64_t>(key.size()) + overhead;
        return bytes;
    }

    template <typename T> bool isAnswer(const base::Result<T, platform::StoreError>& result)
    {
        return result.has_value() || result.error().code == platform::StoreCode::Missing
            || result.error().code == platform::StoreCode::Conflict;
    }

} // namespace

TermService::TermService(Runtime& runtime)
    : m_runtime(runtime)
{
    m_election.self = runtime.settings.daemon;
    m_election.incarnation = runtime.incarnation;
    m_election.peerAddress = runtime.settings.peerAddress;
    m_election.processorShare = schedulingShare(runtime.settings);
    m_election.limits.renewMs = runtime.settings.renewMs;
    m_commitBudget = makeCommitBudget(runtime.settings.linkMbps, platform::StoreSettings {}.callTimeoutMs);
    QObject::connect(&m_timer, &QTimer::timeout, this, [this] { tick(); });
}

void TermService::start()
{
    m_timer.start(tickMs);
    tick();
}

void TermService::tick()
{
    if (m_isCallInFlight)
        return;
    if (m_onResigned && isLeader()) {
        writeRecord(true);
        return;
    }
    const scheduler::Millis now = nowMs();
    const election::Action action = election::nextAction(m_election, now);
    const bool isCommitDue
        = isLeader() && !m_pendingCommits.empty() && now - m_committedAt >= m_runtime.settings.commitGapMs;
    if (action == election::Action::ReadRecord)
        readRecord();
    else if (action == election::Action::TakeOver || action == election::Action::Renew || isCommitDue)
        writeRecord(false);
}

void TermService::readRecord()
{
    m_isCallInFlight = true;
    m_election.polledAt = nowMs();
    m_runtime.store->read(storeKeys::term, [this](const base::Result<platform::Item, platform::StoreError>& result) {
        m_isCallInFlight = false;
        election::observeStore(m_election, isAnswer(result), nowMs());
        if (result.has_value()) {
            const auto record = election::decodeRecord(result.value().value);
            if (election::applyRead(m_election, record, result.value().revision, nowMs()))
                beginTerm(true);
        } else if (result.error().code == platform::StoreCode::Missing)
            election::observe(m_election, std::nullopt, 0, nowMs());
        tick();
    });
}

void TermService::writeRecord(bool isResigning)
{
    const election::RecordWrite write = election::beginWrite(m_election, isResigning, nowMs());
    m_isCallInFlight = true;
    m_writeInFlight = write.kind;
    platform::Transaction transaction;
    transaction.conditions.push_back({ storeKeys::term, m_election.revision });
    transaction.writes.push_back({ storeKeys::term, election::encodeRecord(write.record) });
    std::size_t includedCommits = 0;
    if (isResigning)
        transaction.writes.insert(transaction.writes.end(), m_finalWrites.begin(), m_finalWrites.end());
    if (isLeader()) {
        m_committedAt = write.sentAt;
        std::int64_t bytes = 0;
        for (const Commit& commit : m_pendingCommits) {
            const std::size_t entries = transaction.writes.size() + transaction.removals.size();
            if (entries + commit.writes.size() + commit.removals.size() > writesPerCommit + 1
                || !hasRoomFor(m_commitBudget, bytes, commit.bytes))
                break;
            ++includedCommits;
            bytes += commit.bytes;
            transaction.writes.insert(transaction.writes.end(), commit.writes.begin(), commit.writes.end());
            transaction.removals.insert(transaction.removals.end(), commit.removals.begin(), commit.removals.end());
        }
    }
    m_runtime.store->commit(
        transaction, [this, write, includedCommits](const base::Result<std::int64_t, platform::StoreError>& result) {
            m_isCallInFlight = false;
            m_writeInFlight.reset();
            election::observeStore(m_election, isAnswer(result), nowMs());
            isAnswer(result) ? applySuccess(m_commitBudget) : applyFailure(m_commitBudget);
            if (result.has_value())
                applyStored(write, result.value(), includedCommits);
            else if (result.error().code == platform::StoreCode::Conflict)
                applyConflict(write, result.error().current);
            if (m_onResigned && !isLeader())
                finishResigning();
        });
}

void TermService::applyStored(const election::RecordWrite& write, std::int64_t revision, std::size_t includedCommits)
{
    switch (election::applyWritten(m_election, write, revision, nowMs())) {
    case election::WriteEffect::Elected:
        beginTerm(false);
        return;
    case election::WriteEffect::Renewed:
        finishCommits(includedCommits);
        return;
    case election::WriteEffect::Resigned:
        finishCommits(includedCommits);
        m_resignation = election::encodeRecord(write.record);
        m_resignationRevision = revision;
        m_resignedAt = nowMs();
        kernel::logEvent(kernel::LogLevel::Info, "term", "resigned",
            { { "revision", m_resignationRevision }, { "successor", write.record.successor } });
        endTerm("resigned");
        return;
    case election::WriteEffect::Outdated:
        kernel::logEvent(kernel::LogLevel::Notice, "term", "writeOutdated",
            { { "kind", std::string(base::nameOf(election::writeKindNames, write.kind)) }, { "token", write.token },
                { "revision", revision }, { "ageMs", nowMs() - write.sentAt } });
        m_runtime.metrics
            .counter("lacewing_outdated_answers_total",
                "Answers about something that had ended, without effect, by kind.", { { "kind", "termRecord" } })
            .value
            += 1;
        return;
    }
}

void TermService::finishCommits(std::size_t count)
{
    std::vector<Commit> written;
    for (std::size_t i = 0; i < count && !m_pendingCommits.empty(); ++i) {
        written.push_back(std::move(m_pendingCommits.front()));
        m_pendingCommits.pop_front();
    }
    for (const Commit& commit : written)
        commit.callback();
}

// The condition failed: the record was written by another daemon, or by an earlier write of this process whose
// answer was lost.
void TermService::applyConflict(const election::RecordWrite& write, const std::vector<platform::Item>& current)
{
    std::optional<election::Record> record;
    std::int64_t revision = 0;
    for (const platform::Item& item : current) {
        if (item.key == storeKeys::term) {
            record = election::decodeRecord(item.value);
            revision = item.revision;
        }
    }
    switch (election::applyConflict(m_election, write, record, revision, nowMs())) {
    case election::WriteConflict::EarlierRenewal:
        break;
    case election::WriteConflict::EarlierTakeOver:
        beginTerm(true);
        break;
    case election::WriteConflict::OtherLeader:
        if (isLeader())
            endTerm("another daemon has the term");
        election::observe(m_election, record, revision, nowMs());
        break;
    }
}

void TermService::beginTerm(bool isAfterLostAnswer)
{
    kernel::logEvent(kernel::LogLevel::Notice, "term", "elected",
        { { "token", token() }, { "processorPercent", static_cast<std::int64_t>(100 * m_election.processorShare) },
            { "afterLostAnswer", isAfterLostAnswer } });
    m_resignation.clear();
    recordTermBegun(m_phases, m_runtime.metrics, token(), nowMs());
    m_onElected();
}

void TermService::addPending(Commit commit)
{
    commit.bytes = textBytes(commit.writes, commit.removals);
    m_pendingCommits.push_back(std::move(commit));
}

void TermService::commit(std::vector<platform::Write> writes, std::function<void()> callback)
{
    Commit commit;
    std::int64_t bytes = 0;
    for (platform::Write& write : writes) {
        const std::int64_t more = textBytes({ write }, {});
        const bool isFull = commit.writes.size() >= writesPerCommit || bytes + more > m_commitBudget.bytes;
        if (!commit.writes.empty() && isFull) {
            commit.callback = [] {};
            addPending(std::exchange(commit, {}));
            bytes = 0;
        }
        bytes += more;
        commit.writes.push_back(std::move(write));
    }
    if (!commit.writes.empty()) {
        commit.callback = std::move(callback);
        addPending(std::move(commit));
    }
    tick();
}

void TermService::remove(std::vector<std::string> keys, std::function<void()> callback)
{
    addPending({ {}, std::move(keys), std::move(callback) });
    tick();
}

void TermService::endTerm(const std::string& reason)
{
    kernel::logEvent(kernel::LogLevel::Warning, "term", "termEnded",
        { { "reason", reason }, { "token", m_phases.token }, { "revision", m_election.revision },
            { "renewedMsAgo", nowMs() - m_election.renewSentAt }, { "lastedMs", nowMs() - m_phases.begunAt },
            { "loadedMs", phaseMs(m_phases, m_phases.loadedAt) },
            { "accountedMs", phaseMs(m_phases, m_phases.accountedAt) },
            { "firstStartMs", phaseMs(m_phases, m_phases.firstFreedStartAt) } });
    election::stepDown(m_election);
    m_pendingCommits.clear();
    m_onTermEnded();
}

void TermService::resign(const std::string& reason, std::vector<platform::Write> writes, std::function<void()> done,
    const std::string& successor)
{
    if (!isLeader()) {
        done();
        return;
    }
    if (m_onResigned) { // already resigning for another reason
        m_onResigned = [first = std::move(m_onResigned), done = std::move(done)] {
            first();
            done();
        };
        return;
    }
    m_onResigned = std::move(done);
    m_resigningSince = nowMs();
    m_finalWrites = std::move(writes);
    m_election.chosenSuccessor = successor;
    kernel::logEvent(kernel::LogLevel::Notice, "term", "resigning",
        { { "reason", reason }, { "token", token() }, { "successor", successor } });
    QTimer::singleShot(resignTimeoutMs, this, [this] {
        if (!m_onResigned || nowMs() - m_resigningSince < resignTimeoutMs)
            return;
        endTerm("resigned without confirmation from the store");
        finishResigning();
    });
    tick();
}

void TermService::finishResigning()
{
    const std::function<void()> done = std::move(m_onResigned);
    m_onResigned = nullptr;
    done();
}

void TermService::renewSoon()
{
    if (isLeader())
        m_election.lastAttemptAt = 0;
}

void registerTermService(Runtime& runtime)
{
    auto service = std::make_shared<TermService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::term;
    // The election starts in the next event loop iteration, after dependent services have set their callbacks.
    entry.dependsOn = { serviceNames::configuration };
    entry.start = [&runtime, service] {
        kernel::publish(runtime.kernel, serviceNames::term, service.get());
        QTimer::singleShot(0, service.get(), [service] { service->start(); });
        return std::string();
    };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
