// The list of workers in the store: which entries name workers to use, and which refused entries are to be reported.
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
