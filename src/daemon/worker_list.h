// The list of workers in the store: when it is read, which entries name workers to use, and which refused entries are
// to be reported.
//
// A refused entry is reported when it is first refused and when the reason changes, not at each list.
#pragma once

#include "platform/store.h"
#include "platform/worker_entry.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lacewing::daemon {

// Reads of the list by one term.
struct WorkerListCalls {
    scheduler::Millis askedAt = 0; // newest; 0: none
    scheduler::Millis knownAt = 0; // when the newest answered one was sent; 0: none
    scheduler::Millis tookMs = 0;  // until its answer
    int inProgress = 0;
};

// Whether the next read is due, with reads every `periodMs` and usually every `usualMs`. One without an answer is not
// waited for: it is overdue when it takes longer than the usual period and than twice the last answered one.
bool isWorkerListDue(
    const WorkerListCalls& calls, scheduler::Millis periodMs, scheduler::Millis usualMs, scheduler::Millis now);
// False for an answer to be ignored, because a later read has been answered.
bool applyWorkerListAnswer(WorkerListCalls& calls, scheduler::Millis askedAt, scheduler::Millis now);

struct RefusedEntry {
    std::string id;
    std::int64_t revision = 0;
    std::string reason;
};

struct WorkerList {
    std::vector<scheduler::WorkerEntry> entries;
    std::vector<RefusedEntry> newlyRefused; // at most WorkerListReader::maxReports
    std::size_t refused = 0;                // entries of the list that name no worker to use
};

class WorkerListReader {
public:
    // Refusals reported for one list. The others are reported with the next lists, so that a writer of many entries
    // cannot crowd out the other lines of the log.
    static constexpr std::size_t maxReports = 20;

    // An entry of a service that is not among `services` is refused; without a configuration (nullopt) the services are
    // not known yet.
    WorkerList read(const platform::ItemList& list, const std::optional<std::set<std::string>>& services);

private:
    platform::WorkerEntryCache m_cache;
    std::unordered_map<std::string, std::string> m_reported; // reason by id, of the refused entries of the last list
};

} // namespace lacewing::daemon
