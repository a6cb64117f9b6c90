// States of jobs as known to this daemon, for responses to callers.
//
// Updated from the scheduling daemon, from the store and with the jobs that this daemon accepts itself. A final state
// never changes.
#pragma once

#include "scheduler/scheduler.h"

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::daemon {

struct KnownJob {
    scheduler::JobState state = scheduler::JobState::Queued;
    scheduler::Millis updatedAt = 0;
    std::string account = {}; // that submitted it; empty: none
};

// A cancel that this daemon has stored. The scheduling daemon is told of it, because its watch of the store may learn
// of it seconds later, when the store fails in between.
struct StoredCancel {
    std::int64_t number = 0; // rises
    std::string job;
};

struct JobTable {
    std::unordered_map<std::string, KnownJob> jobs; // by id
    scheduler::Millis syncedAt = 0;                 // last update from the scheduling daemon; 0: never
    std::map<std::string, int> pending;             // by queue
    scheduler::Millis pendingAsOf = 0;      // `pending` counts the jobs accepted up to then; 0: not received yet
    std::deque<StoredCancel> storedCancels; // that the scheduling daemon has not been told of; ascending
    std::int64_t lastCancel = 0;            // number of the newest one
};

constexpr std::size_t maxStoredCancels = 256; // the store's watch tells of those that are dropped

inline void noteStoredCancel(JobTable& table, const std::string& job)
{
    table.storedCancels.push_back({ ++table.lastCancel, job });
    if (table.storedCancels.size() > maxStoredCancels)
        table.storedCancels.pop_front();
}

// The scheduling daemon has been told of the cancels up to this number.
inline void removeToldCancels(JobTable& table, std::int64_t number)
{
    while (!table.storedCancels.empty() && table.storedCancels.front().number <= number)
        table.storedCancels.pop_front();
}

// Invariant: a job that has an account keeps it. Messages of an earlier version do not tell it, so that one that is
// learned later is added.
inline void applyState(JobTable& table, const std::string& id, const std::string& account, scheduler::JobState state,
    scheduler::Millis now)
{
    const auto [entry, isNew] = table.jobs.try_emplace(id, KnownJob { state, now, account });
    if (entry->second.account.empty())
        entry->second.account = account;
    if (isNew || scheduler::isFinal(entry->second.state))
        return;
    entry->second.state = state;
    entry->second.updatedAt = now;
}

// Account of a job in the table, or nullptr for an unknown job.
inline const std::string* accountOf(const JobTable& table, const std::string& id)
{
    const auto known = table.jobs.find(id);
    return known == table.jobs.end() ? nullptr : &known->second.account;
}

// Multiple of the configured retention time for which the state of an ended job is kept, because daemons learn of the
// end at different times.
constexpr std::int64_t statusRetentionFactor = 2;

// Removes jobs that have been in a final state for longer than `retentionMs`.
inline void evictExpiredJobs(JobTable& table, scheduler::Millis retentionMs, scheduler::Millis now)
{
    std::erase_if(table.jobs, [&](const auto& entry) {
        return scheduler::isFinal(entry.second.state) && now - entry.second.updatedAt > retentionMs;
    });
}

} // namespace lacewing::daemon
