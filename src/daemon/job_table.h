// States of jobs as this daemon knows them, for answers to callers.
//
// Fed by the scheduling daemon and by what this daemon accepted itself. A final state never changes.
#pragma once

#include "scheduler/scheduler.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::daemon {

struct KnownJob {
    scheduler::JobState state = scheduler::JobState::Queued;
    scheduler::Millis updatedAt = 0;
};

struct JobTable {
    std::unordered_map<std::string, KnownJob> jobs; // by id
    scheduler::Millis syncedAt = 0;                 // last word of the scheduling daemon; 0: never
    std::map<std::string, int> pending;             // by queue
    scheduler::Millis pendingAsOf = 0;              // accepted jobs up to then are counted in `pending`; 0: never told
};

inline void applyState(JobTable& table, const std::string& id, scheduler::JobState state, scheduler::Millis now)
{
    const auto [entry, isNew] = table.jobs.try_emplace(id, KnownJob { state, now });
    if (!isNew && !scheduler::isFinal(entry->second.state))
        entry->second = { state, now };
}

// A watch that answers at least every `periodMs` tells of everything up to now while it does, and of everything up to
// its last answer when it does not.
constexpr scheduler::Millis watchCompleteUntil(
    scheduler::Millis answeredAt, scheduler::Millis periodMs, scheduler::Millis now)
{
    return now - answeredAt <= periodMs ? now : answeredAt;
}

// Times that the state of an ended job is kept beyond the promised time: daemons learn of an end at different moments.
constexpr std::int64_t statusRetentionFactor = 2;

// Forgets final jobs that nobody may ask for any more.
inline void evictExpiredJobs(JobTable& table, scheduler::Millis retentionMs, scheduler::Millis now)
{
    std::erase_if(table.jobs, [&](const auto& entry) {
        return scheduler::isFinal(entry.second.state) && now - entry.second.updatedAt > retentionMs;
    });
}

} // namespace lacewing::daemon
