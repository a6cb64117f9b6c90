// Takes part in the leader election, renews this daemon's term and writes the records of the scheduling daemon.
//
// Records are written in the transaction that renews the term, on the condition that the term record is unchanged. A
// daemon that has lost its term therefore cannot write records, even while it still considers itself the leader.
#pragma once

#include "daemon/commit_budget.h"
#include "daemon/recovery_watch.h"
#include "daemon/runtime.h"
#include "election/election.h"

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::daemon {

class TermService : public QObject {
public:
    explicit TermService(Runtime& runtime);

    void start();

    bool isLeader() const { return m_election.role == election::Role::Leader; }
    // A write is in flight with which this daemon may already have the term.
    bool isTakingOver() const { return m_writeInFlight == election::WriteKind::TakeOver; }
    std::int64_t token() const { return m_election.token; }
    // Revision of the term's last write: above the tokens of calls sent before it, below those of later terms, which
    // are taken over on the condition of this revision. The term's token when this daemon does not lead.
    std::int64_t newestToken() const { return isLeader() ? m_election.revision : token(); }
    // End of the leader's right to act, unless it is extended.
    scheduler::Millis validUntil() const { return election::validUntil(m_election, nowMs()); }
    // End of the right to order starts and renew leases: a leader that resigns has none from its decision on.
    scheduler::Millis actsUntil() const { return isResigning() ? 0 : validUntil(); }
    election::Election& state() { return m_election; }
    const election::Election& state() const { return m_election; }

    // Of the newest term of this daemon.
    TermPhases& phases() { return m_phases; }

    // Writes records in this term and calls back once they are stored. When the term ends first, the records are
    // dropped and the callback is not called.
    void commit(std::vector<platform::Write> writes, std::function<void()> callback);
    // Removes records in this term, at most removalsPerCommit in one call; calls back like commit().
    void remove(std::vector<std::string> keys, std::function<void()> callback);
    static constexpr std::size_t removalsPerCommit = 24;

    // Resigns: writes the resignation and final records in one transaction. `done` is called when the resignation is
    // stored or cannot be stored (another daemon has taken the term, or the store did not confirm in time), and at once
    // when this daemon is not the leader. Without a successor, one is chosen when the resignation is written.
    void resign(const std::string& reason, std::vector<platform::Write> writes, std::function<void()> done,
        const std::string& successor = {});
    bool isResigning() const { return m_onResigned != nullptr; }
    // The record with which this process has resigned, sent in replies to other daemons; empty: it has not resigned.
    const QByteArray& resignation() const { return m_resignation; }
    std::int64_t resignationRevision() const { return m_resignationRevision; }
    scheduler::Millis resignedAt() const { return m_resignedAt; }
    // Ends the term at once, in favour of a daemon that the reply being sent names as successor.
    void handOver() { endTerm("handed over"); }
    // Makes a renewal due, because another process is known to hold a higher token: a conflict then ends the term.
    void renewSoon();

    void onElected(std::function<void()> callback) { m_onElected = std::move(callback); }
    void onTermEnded(std::function<void()> callback) { m_onTermEnded = std::move(callback); }

private:
    struct Commit {
        std::vector<platform::Write> writes;
        std::vector<std::string> removals;
        std::function<void()> callback;
        std::int64_t bytes = 0; // as sent
    };

    void tick();
    void addPending(Commit commit);
    void readRecord();
    void writeRecord(bool isResigning);
    void finishResigning();
    void beginTerm(bool isAfterLostAnswer);
    void applyConflict(const election::RecordWrite& write, const std::vector<platform::Item>& current);
    void applyStored(const election::RecordWrite& write, std::int64_t revision, std::size_t includedCommits);
    // Calls back for the first pending commits, which are stored.
    void finishCommits(std::size_t count);
    void endTerm(const std::string& reason);

    Runtime& m_runtime;
    election::Election m_election;
    TermPhases m_phases;
    QTimer m_timer;
    bool m_isCallInFlight = false; // a read or write of the term record
    std::optional<election::WriteKind> m_writeInFlight;
    std::function<void()> m_onResigned; // set while resigning
    scheduler::Millis m_resigningSince = 0;
    std::vector<platform::Write> m_finalWrites;
    QByteArray m_resignation;
    std::int64_t m_resignationRevision = 0;
    scheduler::Millis m_resignedAt = 0;
    std::deque<Commit> m_pendingCommits;
    CommitBudget m_commitBudget;
    scheduler::Millis m_committedAt = 0;
    std::function<void()> m_onElected;
    std::function<void()> m_onTermEnded;
};

void registerTermService(Runtime& runtime);

} // namespace lacewing::daemon
