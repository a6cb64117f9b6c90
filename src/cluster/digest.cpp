// Choice of the digests to send: changes first, oldest receiver first, within the token bucket.
#include "cluster/digest.h"

#include <algorithm>
#include <cmath>

namespace lacewing::cluster {

namespace {

    using base::TimePoint;

    bool differs(std::int64_t before, std::int64_t after, double step)
    {
        if ((before == 0) != (after == 0))
            return true;
        const auto change = std::abs(static_cast<double>(after) - static_cast<double>(before));
        return change > step * std::abs(static_cast<double>(before));
    }

    // Ages grow all the time; only the range of the age is a change: up to 2 s (fresh), 10 s, 60 s, longer, never.
    int ageRange(const std::optional<base::Duration>& age)
    {
        if (!age)
            return 4;
        if (*age <= base::seconds(2))
            return 0;
        if (*age <= base::seconds(10))
            return 1;
        return *age <= base::seconds(60) ? 2 : 3;
    }

    bool isChange(const DataCentreState& before, const DataCentreState& after, double step)
    {
        return before.membersAlive != after.membersAlive || before.lowestRevision != after.lowestRevision
            || ageRange(before.greatestStoreAge) != ageRange(after.greatestStoreAge)
            || before.gatewayAddress != after.gatewayAddress || differs(before.freeCpuMilli, after.freeCpuMilli, step)
            || differs(before.freeMemoryMb, after.freeMemoryMb, step)
            || differs(before.freeAccelerators, after.freeAccelerators, step)
            || differs(before.freeSlots, after.freeSlots, step);
    }

    void refill(Digests& digests, TimePoint now)
    {
        const auto burst = static_cast<double>(digests.limits.burstBytes);
        if (!digests.tokensAt) {
            digests.tokens = burst;
        } else if (now > *digests.tokensAt) {
            const double gained
                = base::toSeconds(now - *digests.tokensAt) * static_cast<double>(digests.limits.bytesPerSecond);
            digests.tokens = std::min(burst, digests.tokens + gained);
        }
        digests.tokensAt = now;
    }

} // namespace

bool updateOwn(Digests& digests, const DataCentreState& state)
{
    const auto entry = digests.records.find(digests.dataCentre);
    if (entry == digests.records.end()) {
        digests.records[digests.dataCentre]
            = { digests.dataCentre, digests.self, { digests.selfIncarnation, 1 }, state };
        return true;
    }
    DigestRecord& record = entry->second;
    if (!isChange(record.state, state, digests.limits.capacityStep))
        return false;
    ++record.version.sequence;
    record.state = state;
    return true;
}

void setPeers(Digests& digests, const std::vector<base::DataCentreId>& dataCentres)
{
    std::map<base::DataCentreId, Digests::Peer> peers;
    for (const base::DataCentreId& dataCentre : dataCentres) {
        if (dataCentre != digests.dataCentre)
            peers[dataCentre] = digests.peers[dataCentre];
    }
    digests.peers = std::move(peers);
}

std::vector<OutgoingDigest> nextDigests(Digests& digests, TimePoint now)
{
    refill(digests, now);
    std::vector<std::pair<base::DataCentreId, Digests::Peer*>> order;
    order.reserve(digests.peers.size());
    for (auto& [dataCentre, peer] : digests.peers)
        order.emplace_back(dataCentre, &peer);
    std::stable_sort(order.begin(), order.end(),
        [](const auto& left, const auto& right) { return left.second->lastSent < right.second->lastSent; });

    const auto own = digests.records.find(digests.dataCentre);
    std::vector<OutgoingDigest> result;
    for (auto& [dataCentre, peer] : order) {
        const bool hasChange = own != digests.records.end() && own->second.version > peer->delivered;
        const bool isDue = !peer->lastSent || now - *peer->lastSent >= digests.limits.keepAlive;
        if (!hasChange && !isDue)
            continue;
        const std::size_t bytes = digests.limits.overheadBytes + (hasChange ? digests.limits.entryBytes : 0);
        if (digests.tokens < static_cast<double>(bytes))
            break;
        digests.tokens -= static_cast<double>(bytes);
        peer->lastSent = now;
        OutgoingDigest digest { dataCentre, {} };
        if (hasChange)
            digest.records.push_back(own->second);
        result.push_back(std::move(digest));
    }
    return result;
}

void onDigestDelivered(Digests& digests, const OutgoingDigest& digest, const DigestVersion& held, TimePoint now)
{
    const auto entry = digests.peers.find(digest.receiver);
    if (entry == digests.peers.end())
        return;
    Digests::Peer& peer = entry->second;
    peer.lastContact = now;
    peer.delivered = std::max(peer.delivered, held);
    const auto own = digests.records.find(digests.dataCentre);
    if (own != digests.records.end() && held > own->second.version)
        own->second.version = { held.originStart + 1, 1 };
}

std::vector<base::DataCentreId> onDigest(
    Digests& digests, const base::DataCentreId& sender, const std::vector<DigestRecord>& records, TimePoint now)
{
    std::vector<base::DataCentreId> changed;
    if (const auto entry = digests.peers.find(sender); entry != digests.peers.end())
        entry->second.lastContact = now;
    for (const DigestRecord& record : records) {
        if (record.dataCentre == digests.dataCentre)
            continue;
        const auto known = digests.records.find(record.dataCentre);
        if (known != digests.records.end() && known->second.version >= record.version)
            continue;
        digests.records[record.dataCentre] = record;
        changed.push_back(record.dataCentre);
    }
    return changed;
}

DigestVersion heldVersion(const Digests& digests, const base::DataCentreId& dataCentre)
{
    const auto entry = digests.records.find(dataCentre);
    return entry == digests.records.end() ? DigestVersion() : entry->second.version;
}

bool isReachable(const Digests& digests, const base::DataCentreId& dataCentre, TimePoint now)
{
    const auto entry = digests.peers.find(dataCentre);
    return entry != digests.peers.end() && entry->second.lastContact
        && now - *entry->second.lastContact <= digests.limits.reachableFor;
}

} // namespace lacewing::cluster
