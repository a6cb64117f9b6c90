// Digests between the representatives of data centres, sent as changes only and within a bounded rate.
//
// Each representative sends the entry of its own data centre to all others. Entries are not relayed: with 24 data
// centres a relay would multiply the traffic by 23. An entry is sent again until the receiver has answered, so a lost
// message costs a repeat and no information. Entries of one data centre are ordered by (originStart, sequence); an
// older one never replaces a newer one.
#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::cluster {

struct DigestLimits {
    base::Duration interval = base::seconds(2);
    base::Duration keepAlive = base::seconds(10); // an empty digest shows that the data centre is reachable
    std::size_t bytesPerSecond = 1000;            // over all receivers; the control budget of a daemon is 2 KB/s
    std::size_t burstBytes = 4000;
    std::size_t entryBytes = 160;                    // estimate for one entry in CBOR
    std::size_t overheadBytes = 100;                 // estimate for one message without entries
    double capacityStep = 0.05;                      // smaller relative changes of free capacity are not sent
    base::Duration reachableFor = base::seconds(30); // without contact for longer, a data centre is unreachable
};

struct DataCentreState {
    std::uint32_t membersAlive = 0;
    base::Revision lowestRevision = 0;
    std::optional<base::Duration> greatestStoreAge; // absent: a member never read the store
    std::int64_t freeCpuMilli = 0;
    std::int64_t freeMemoryMb = 0;
    std::int64_t freeAccelerators = 0;
    std::uint32_t freeSlots = 0;
    std::string gatewayAddress;
};

// Orders the entries of one data centre, also over a change of the representative.
struct DigestVersion {
    std::uint64_t originStart = 0; // incarnation of the origin, or higher when an earlier origin had a higher one
    std::uint64_t sequence = 0;

    auto operator<=>(
        const DigestVersion&) const = default; // NOLINT(modernize-use-nullptr): false report of clang-tidy 14
};

struct DigestRecord {
    base::DataCentreId dataCentre;
    base::DaemonId origin;
    DigestVersion version;
    DataCentreState state;
};

// Context of one representative.
struct Digests {
    base::DataCentreId dataCentre;
    base::DaemonId self;
    std::uint64_t selfIncarnation = 0;
    DigestLimits limits;
    std::map<base::DataCentreId, DigestRecord> records; // with the own data centre

    struct Peer {
        DigestVersion delivered; // of the own entry
        std::optional<base::TimePoint> lastSent;
        std::optional<base::TimePoint> lastContact; // a digest from it or an answer to one
    };
    std::map<base::DataCentreId, Peer> peers;

    // --- Rate (token bucket) ---
    double tokens = 0; // bytes
    std::optional<base::TimePoint> tokensAt;
};

struct OutgoingDigest {
    base::DataCentreId receiver;
    std::vector<DigestRecord> records; // may be empty (keep-alive)
};

// Updates the entry of the own data centre. True when it changed enough to be sent.
bool updateOwn(Digests& digests, const DataCentreState& state);

// Sets the data centres to exchange digests with.
void setPeers(Digests& digests, const std::vector<base::DataCentreId>& dataCentres);

// Digests to send now. Call every DigestLimits::interval.
std::vector<OutgoingDigest> nextDigests(Digests& digests, base::TimePoint now);

// The receiver answered this digest; `held` is the version that it now holds for this data centre. When that is above
// the own version, it is of an earlier representative, and the own entry moves above it.
void onDigestDelivered(Digests& digests, const OutgoingDigest& digest, const DigestVersion& held, base::TimePoint now);

// Takes a digest of another representative. Returns the data centres whose entry changed.
std::vector<base::DataCentreId> onDigest(
    Digests& digests, const base::DataCentreId& sender, const std::vector<DigestRecord>& records, base::TimePoint now);

// Version held for a data centre, for the answer to its digest; zero when none is held.
DigestVersion heldVersion(const Digests& digests, const base::DataCentreId& dataCentre);

bool isReachable(const Digests& digests, const base::DataCentreId& dataCentre, base::TimePoint now);

} // namespace lacewing::cluster
