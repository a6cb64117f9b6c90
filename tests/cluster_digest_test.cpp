// Tests of the digests between data centres.
#include "cluster/digest.h"

#include "base/rng.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::cluster;
using base::seconds;
using base::TimePoint;

TimePoint at(double second) { return TimePoint(base::Duration(static_cast<std::int64_t>(second * 1e6))); }

Digests makeDigests(const std::string& dataCentre, std::uint64_t incarnation = 10)
{
    Digests digests;
    digests.dataCentre = { dataCentre };
    digests.self = { dataCentre + "-1" };
    digests.selfIncarnation = incarnation;
    return digests;
}

DataCentreState state(std::uint32_t members, std::int64_t freeCpu = 10'000)
{
    DataCentreState result;
    result.membersAlive = members;
    result.freeCpuMilli = freeCpu;
    result.greatestStoreAge = seconds(1);
    return result;
}

class ClusterDigestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterDigestTest);
    CPPUNIT_TEST(onlyChangesAreSent);
    CPPUNIT_TEST(lostDigestIsRepeated);
    CPPUNIT_TEST(newRepresentativeWithLowerIncarnationIsHeard);
    CPPUNIT_TEST(rateStaysWithinTheLimitAndEveryPeerIsServed);
    CPPUNIT_TEST(randomOrderEndsWithTheLatestEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against control traffic that repeats what the receiver knows.
    void onlyChangesAreSent()
    {
        Digests east = makeDigests("east");
        setPeers(east, { { "west" }, { "east" } });
        CPPUNIT_ASSERT(updateOwn(east, state(3)));
        const auto first = nextDigests(east, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, first.size());
        onDigestDelivered(east, first[0], first[0].records[0].version, at(0));
        CPPUNIT_ASSERT(nextDigests(east, at(2)).empty());
        CPPUNIT_ASSERT(!updateOwn(east, state(3, 10'400))); // 4% of free capacity
        CPPUNIT_ASSERT(nextDigests(east, at(4)).empty());
        CPPUNIT_ASSERT(updateOwn(east, state(3, 10'600)));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, nextDigests(east, at(6)).size());
    }

    // Guards against a data centre that is never told of a change because one message was lost.
    void lostDigestIsRepeated()
    {
        Digests east = makeDigests("east");
        setPeers(east, { { "west" } });
        updateOwn(east, state(3));
        for (int round = 0; round < 5; ++round)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, nextDigests(east, at(round * 2)).size());
    }

    // Guards against entries of a new representative that are ignored because its process is older.
    void newRepresentativeWithLowerIncarnationIsHeard()
    {
        Digests west = makeDigests("west");
        setPeers(west, { { "east" } });
        Digests before = makeDigests("east", 100);
        updateOwn(before, state(3));
        onDigest(west, { "east" }, { before.records.at({ "east" }) }, at(0));
        Digests after = makeDigests("east", 50);
        setPeers(after, { { "west" } });
        updateOwn(after, state(2));
        for (int round = 0; round < 2; ++round) {
            const auto digests = nextDigests(after, at(round * 2));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, digests.size());
            onDigest(west, { "east" }, digests[0].records, at(round * 2));
            onDigestDelivered(after, digests[0], heldVersion(west, { "east" }), at(round * 2));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2 }, west.records.at({ "east" }).state.membersAlive);
        CPPUNIT_ASSERT(nextDigests(after, at(4)).empty());
    }

    // Guards against a fleet of 24 data centres that uses more than the limit, and against peers that starve.
    void rateStaysWithinTheLimitAndEveryPeerIsServed()
    {
        Digests digests = makeDigests("dc0");
        std::vector<base::DataCentreId> peers;
        for (int index = 1; index < 24; ++index)
            peers.push_back({ "dc" + std::to_string(index) });
        setPeers(digests, peers);
        std::size_t bytes = 0;
        std::map<base::DataCentreId, int> served;
        for (int round = 0; round < 300; ++round) {
            updateOwn(digests, state(static_cast<std::uint32_t>(round + 1)));
            for (const auto& digest : nextDigests(digests, at(round * 2))) {
                bytes += digests.limits.overheadBytes + digest.records.size() * digests.limits.entryBytes;
                ++served[digest.receiver];
            }
        }
        CPPUNIT_ASSERT(bytes <= digests.limits.bytesPerSecond * 600 + digests.limits.burstBytes);
        for (const auto& peer : peers)
            CPPUNIT_ASSERT(served[peer] >= 90); // 600 s x 1000 B/s over 23 peers x 260 B are 100 each
    }

    // Guards against an older entry that replaces a newer one: loss, duplication and delay, then a calm period.
    void randomOrderEndsWithTheLatestEntry()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            base::Rng rng(seed);
            Digests east = makeDigests("east");
            Digests west = makeDigests("west");
            setPeers(east, { { "west" } });
            setPeers(west, { { "east" } });
            std::vector<OutgoingDigest> network;
            DigestVersion highest;
            for (int round = 0; round < 200; ++round) {
                const bool isCalm = round >= 190;
                if (!isCalm)
                    updateOwn(east, state(static_cast<std::uint32_t>(base::below(rng, 5))));
                for (const auto& digest : nextDigests(east, at(round * 2)))
                    network.insert(network.end(), isCalm ? 1 : base::below(rng, 3), digest);
                for (std::size_t count = network.size(); count > 0; --count) {
                    if (!isCalm && base::chance(rng, 0.5))
                        continue;
                    const std::size_t index = base::below(rng, network.size());
                    const OutgoingDigest digest = network[index];
                    network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
                    onDigest(west, { "east" }, digest.records, at(round * 2));
                    CPPUNIT_ASSERT(heldVersion(west, { "east" }) >= highest);
                    highest = heldVersion(west, { "east" });
                    if (isCalm || base::chance(rng, 0.7))
                        onDigestDelivered(east, digest, highest, at(round * 2));
                }
            }
            CPPUNIT_ASSERT_EQUAL(
                east.records.at({ "east" }).state.membersAlive, west.records.at({ "east" }).state.membersAlive);
            CPPUNIT_ASSERT(isReachable(east, { "west" }, at(400)));
            CPPUNIT_ASSERT(!isReachable(east, { "west" }, at(500)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterDigestTest);

} // namespace
