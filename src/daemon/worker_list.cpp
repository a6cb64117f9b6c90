// Decodes each entry through the cache and compares the refusals with those of the last list.
#include "daemon/worker_list.h"

#include "platform/documents.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr int maxReads = 3; // in progress at a time

} // namespace

bool isWorkerListDue(
    const WorkerListCalls& calls, scheduler::Millis periodMs, scheduler::Millis usualMs, scheduler::Millis now)
{
    const scheduler::Millis sinceMs = now - calls.askedAt;
    if (calls.inProgress == 0)
        return sinceMs >= periodMs;
    return calls.inProgress < maxReads && calls.knownAt > 0 && sinceMs >= std::max(usualMs, 2 * calls.tookMs);
}

bool applyWorkerListAnswer(WorkerListCalls& calls, scheduler::Millis askedAt, scheduler::Millis now)
{
    if (askedAt < calls.knownAt)
        return false;
    calls.knownAt = askedAt;
    calls.tookMs = now - askedAt;
    return true;
}

WorkerList WorkerListReader::read(const platform::ItemList& list, const std::optional<std::set<std::string>>& services)
{
    WorkerList result;
    result.entries.reserve(list.items.size());
    std::unordered_map<std::string, std::string> reported;
    for (const platform::Item& item : list.items) {
        const std::string id = item.key.substr(platform::workersPrefix.size());
        const auto& decoded = m_cache.decode(id, item.value);
        const bool isOfNamedService
            = decoded.has_value() && (!services || services->count(decoded.value().service) > 0);
        if (isOfNamedService) {
            result.entries.push_back(decoded.value());
            continue;
        }
        ++result.refused;
        const std::string reason
            = decoded.has_error() ? decoded.error() : std::string("the configuration does not name its service");
        const auto known = m_reported.find(id);
        const bool isNew = known == m_reported.end() || known->second != reason;
        if (isNew && result.newlyRefused.size() >= maxReports)
            continue;
        if (isNew)
            result.newlyRefused.push_back({ id, item.revision, reason });
        reported.emplace(id, reason);
    }
    m_cache.evictUnlisted();
    m_reported = std::move(reported);
    return result;
}

} // namespace lacewing::daemon
