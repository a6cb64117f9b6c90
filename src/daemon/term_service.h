// The term: takes part in the election, renews this daemon's own term, and writes the records of the scheduling daemon.
//
// Records are written in the transaction that renews the term, on the condition that the term still stands. A daemon
// that has lost its term can therefore not write anything, whatever it believes.
#pragma once

#include "daemon/runtime.h"
#include "election/election.h"

#include <QObject>
#include <QTimer>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::daemon {

class TermService : public QObject {
public:
    explicit TermService(Runtime& runtime);

    void start();

    bool isLeader() const { return m_election.role == election::Role::Leader; }
    std::int64_t token() const { return m_election.token; }
    // The leader may act before this.
    scheduler::Millis validUntil() const { return election::validUntil(m_election, nowMs()); }
    election::Election& state() { return m_election; }
    const election::Election& state() const { return m_election; }

    // Writes records in this term; the callback tells whether they are in the store. Never called after the term ended:
    // the records are dropped with it.
    void commit(std::vector<platform::Write> writes, std::function<void()> callback);
    // Removes records in this term; at most removalsPerCommit of them.
    void remove(std::vector<std::string> keys, std::function<void()> callback);
    static constexpr std::size_t removalsPerCommit = 24;

    // Gives the term up, with last records in the same transaction; `done` is called when the record says so, or when
    // that cannot be reached.
    void resign(const std::string& reason, std::vector<platform::Write> writes, std::function<void()> done);
    bool isResigning() const { return m_onResigned != nullptr; }
    // The record with which this process has resigned, for daemons that ask; empty: it has not.
    const QByteArray& resignation() const { return m_resignation; }
    std::int64_t resignationRevision() const { return m_resignationRevision; }
    scheduler::Millis resignedAt() const { return m_resignedAt; }
    // Stops leading at once, in favour of a daemon that is told so in the same message.
    void handOver() { endTerm("handed over"); }
    // Another process is known to hold a higher token.
    void renewSoon();

    void onElected(std::function<void()> callback) { m_onElected = std::move(callback); }
    void onTermEnded(std::function<void()> callback) { m_onTermEnded = std::move(callback); }

private:
    struct Commit {
        std::vector<platform::Write> writes;
        std::vector<std::string> removals;
        std::function<void()> callback;
    };

    void tick();
    void readRecord();
    void writeRecord(bool isResigning);
    void finishResigning();
    void beginTerm(bool isAfterLostAnswer);
    void applyConflict(const std::vector<platform::Item>& current, scheduler::Millis sentAt);
    void endTerm(const std::string& reason);

    Runtime& m_runtime;
    election::Election m_election;
    QTimer m_timer;
    bool m_isCallInFlight = false;      // an election call is in flight
    std::function<void()> m_onResigned; // set while resigning
    scheduler::Millis m_resigningSince = 0;
    std::vector<platform::Write> m_finalWrites;
    QByteArray m_resignation;
    std::int64_t m_resignationRevision = 0;
    scheduler::Millis m_resignedAt = 0;
    std::deque<Commit> m_pendingCommits;
    scheduler::Millis m_committedAt = 0;
    std::function<void()> m_onElected;
    std::function<void()> m_onTermEnded;
};

void registerTermService(Runtime& runtime);

} // namespace lacewing::daemon
