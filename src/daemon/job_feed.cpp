// Parts of the feed of job states.
#include "daemon/job_feed.h"

#include <algorithm>
#include <numeric>

namespace lacewing::daemon {

namespace {

    constexpr std::size_t maxChanges = 100000; // kept for other daemons; about 5 MB

} // namespace

void JobFeed::clear()
{
    m_changes.clear();
    m_revisions.clear();
    m_begin = 0;
}

void JobFeed::append(scheduler::JobChange change, std::int64_t revision)
{
    m_changes.push_back(std::move(change));
    m_revisions.push_back(revision);
    if (m_changes.size() <= maxChanges)
        return;
    const auto half = static_cast<std::ptrdiff_t>(maxChanges / 2);
    m_changes.erase(m_changes.begin(), m_changes.begin() + half);
    m_revisions.erase(m_revisions.begin(), m_revisions.begin() + half);
    m_begin += half;
}

void JobFeed::sort()
{
    std::vector<std::size_t> order(m_changes.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(
        order.begin(), order.end(), [this](std::size_t a, std::size_t b) { return m_revisions[a] < m_revisions[b]; });
    std::vector<scheduler::JobChange> changes;
    std::vector<std::int64_t> revisions;
    changes.reserve(order.size());
    revisions.reserve(order.size());
    for (const std::size_t index : order) {
        changes.push_back(std::move(m_changes[index]));
        revisions.push_back(m_revisions[index]);
    }
    m_changes = std::move(changes);
    m_revisions = std::move(revisions);
}

FeedPart JobFeed::part(std::optional<std::int64_t> position, std::int64_t knownRevision, std::size_t limit) const
{
    const auto unknown = std::upper_bound(m_revisions.begin(), m_revisions.end(), knownRevision) - m_revisions.begin();
    const std::int64_t wanted = position ? std::max<std::int64_t>(0, *position - m_begin) : unknown;
    const std::size_t offset = std::min(static_cast<std::size_t>(wanted), m_changes.size());
    const std::size_t count = std::min(limit, m_changes.size() - offset);
    FeedPart part;
    part.changes = std::span(m_changes).subspan(offset, count);
    part.next = m_begin + static_cast<std::int64_t>(offset + count);
    part.isLast = offset + count == m_changes.size();
    if (!m_revisions.empty() && part.isLast)
        part.knownRevision = m_revisions.back();
    else if (offset + count > 0) // further changes may have the revision of the last one
        part.knownRevision = m_revisions[offset + count - 1] - 1;
    part.knownRevision = std::max(part.knownRevision, knownRevision);
    return part;
}

std::size_t changesPerReply(double linkMbps, std::size_t followers, int syncMs)
{
    constexpr std::size_t most = 500;
    constexpr std::size_t fewest = 8;
    constexpr double bytesPerMsAtOneMbps = 125;
    constexpr double bytesPerChange = 34;
    constexpr double linkShare = 0.2; // of the link, for the changes of all replies
    if (linkMbps <= 0)
        return most;
    const double bytes = linkMbps * bytesPerMsAtOneMbps * syncMs * linkShare;
    const double changes = bytes / bytesPerChange / static_cast<double>(std::max<std::size_t>(1, followers));
    return std::clamp(static_cast<std::size_t>(changes), fewest, most);
}

} // namespace lacewing::daemon
