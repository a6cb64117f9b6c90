// Committed job states of a term, in the order of the store revisions at which they were stored.
//
// Other daemons read the feed in parts. A follower tells up to which revision it knows all states, so that a new term
// sends it only what was stored since: revisions go on over terms. A part is bounded by what the link carries beside
// the leader's other traffic; until a follower has caught up it looks states up in the store.
//
// Pure. Invariant: changes are sorted by revision once sort() was called, and append() keeps them so.
#pragma once

#include "scheduler/scheduler.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lacewing::daemon {

struct FeedPart {
    std::span<const scheduler::JobChange> changes;
    std::int64_t next = 0;          // position in the term after this part
    std::int64_t knownRevision = 0; // all states stored up to it are known after this part
    bool isLast = true;             // nothing is left
};

class JobFeed {
public:
    void clear();
    void append(scheduler::JobChange change, std::int64_t revision);
    // After the states of earlier terms have been appended in any order.
    void sort();
    // position: in this term's feed; nullopt: the follower has none yet, and knows the states up to knownRevision.
    FeedPart part(std::optional<std::int64_t> position, std::int64_t knownRevision, std::size_t limit) const;
    std::size_t size() const { return m_changes.size(); }

private:
    std::vector<scheduler::JobChange> m_changes;
    std::vector<std::int64_t> m_revisions; // of m_changes
    std::int64_t m_begin = 0;              // position of the first change in the term; older ones were dropped
};

// Most changes in one reply, so that replies to all followers take a part of the link only. linkMbps: 0: unknown, fast.
std::size_t changesPerReply(double linkMbps, std::size_t followers, int syncMs);

} // namespace lacewing::daemon
