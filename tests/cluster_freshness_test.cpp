// Tests of the evidence that the configuration is current.
#include "cluster/freshness.h"

#include "base/rng.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::cluster;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

TimePoint at(double second) { return TimePoint(base::Duration(static_cast<std::int64_t>(second * 1e6))); }

Freshness makeFreshness(base::Revision revision)
{
    Freshness freshness;
    freshness.self = { "d0" };
    onRevision(freshness, revision);
    freshness.isProvisional = false;
    return freshness;
}

PeerReport outage(const std::string& name, base::Revision revision)
{
    PeerReport report;
    report.daemon = { name };
    report.incarnation = 1;
    report.revision = revision;
    return report;
}

// d0 to d2 are recorded, nobody has store access, all hold revision 4 and answered at 10 s.
Freshness makeAgreement()
{
    Freshness freshness = makeFreshness(4);
    onRecordedMembers(freshness, { { "d0" }, { "d1" }, { "d2" } }, true);
    onPeerReport(freshness, outage("d1", 4), at(10));
    onPeerReport(freshness, outage("d2", 4), at(10));
    return freshness;
}

class ClusterFreshnessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterFreshnessTest);
    CPPUNIT_TEST(ownReadCountsFromItsRequest);
    CPPUNIT_TEST(readOfAHigherRevisionIsNoEvidenceUntilItIsInForce);
    CPPUNIT_TEST(ageOfThePeerIsAdded);
    CPPUNIT_TEST(provisionalPeerGivesNoEvidence);
    CPPUNIT_TEST(agreementNeedsEveryRecordedDaemon);
    CPPUNIT_TEST(agreementEndsWithEachReason);
    CPPUNIT_TEST(lateReportDoesNotReplaceANewerOne);
    CPPUNIT_TEST(restartedDaemonStaysProvisionalUntilAStoreRead);
    CPPUNIT_TEST(noRevisionIsNeverFresh);
    CPPUNIT_TEST(randomSchedulesNeverStartAfterTheBound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a read whose answer waited in a socket buffer during a pause.
    void ownReadCountsFromItsRequest()
    {
        Freshness freshness = makeFreshness(4);
        CPPUNIT_ASSERT(!isFresh(freshness, at(0)));
        onStoreRead(freshness, 4, at(10));
        CPPUNIT_ASSERT(isFresh(freshness, at(12)));
        CPPUNIT_ASSERT(!isFresh(freshness, at(12.001)));
        onStoreRead(freshness, 4, at(9)); // an older answer arrives later
        CPPUNIT_ASSERT(isFresh(freshness, at(12)));
        CPPUNIT_ASSERT(storeReadAge(freshness, at(11) + base::Duration(1)) == milliseconds(1001));
    }

    // Guards against starts between reading a new configuration and putting it in force.
    void readOfAHigherRevisionIsNoEvidenceUntilItIsInForce()
    {
        Freshness freshness = makeFreshness(4);
        onStoreRead(freshness, 5, at(10));
        CPPUNIT_ASSERT(!isFresh(freshness, at(10)));
        CPPUNIT_ASSERT(!storeReadAge(freshness, at(10)).has_value());
        onRevision(freshness, 5);
        CPPUNIT_ASSERT(isFresh(freshness, at(10)));
        onRevision(freshness, 4);
        CPPUNIT_ASSERT_EQUAL(base::Revision { 5 }, freshness.revision);
    }

    // Guards against evidence whose age grows with each hop.
    void ageOfThePeerIsAdded()
    {
        Freshness freshness = makeFreshness(4);
        PeerReport report = outage("d1", 4);
        report.hasStoreAccess = true;
        report.storeReadAge = milliseconds(1500);
        onPeerReport(freshness, report, at(10));
        CPPUNIT_ASSERT(isFresh(freshness, at(10.5)));
        CPPUNIT_ASSERT(!isFresh(freshness, at(10.501)));
        report.revision = 5;
        report.storeReadAge = milliseconds(0);
        onPeerReport(freshness, report, at(10.2));
        CPPUNIT_ASSERT(!isFresh(freshness, at(10.3)));
    }

    // Guards against a daemon that vouches for a revision that it has from peers only.
    void provisionalPeerGivesNoEvidence()
    {
        Freshness freshness = makeFreshness(4);
        PeerReport report = outage("d1", 4);
        report.isProvisional = true;
        report.storeReadAge = milliseconds(0);
        onPeerReport(freshness, report, at(10));
        CPPUNIT_ASSERT(!isFresh(freshness, at(10)));
    }

    // Guards against an agreement without a daemon that may have accepted a newer configuration.
    void agreementNeedsEveryRecordedDaemon()
    {
        Freshness freshness = makeAgreement();
        CPPUNIT_ASSERT(evidence(freshness, at(11)).kind == EvidenceKind::Agreement);
        CPPUNIT_ASSERT(!isFresh(freshness, at(12.001)));
        onPeerReport(freshness, outage("d1", 4), at(12));
        CPPUNIT_ASSERT(!isFresh(freshness, at(12.5))); // d2 is silent
        onPeerReport(freshness, outage("d2", 4), at(12));
        CPPUNIT_ASSERT(isFresh(freshness, at(12.5)));
        onRecordedMembers(freshness, { { "d0" }, { "d1" }, { "d2" }, { "d3" } }, true);
        CPPUNIT_ASSERT(!isFresh(freshness, at(12.5)));
        onRecordedMembers(freshness, { { "d0" }, { "d1" }, { "d2" } }, false);
        CPPUNIT_ASSERT(!isFresh(freshness, at(12.5)));
    }

    // Guards against each state in which a daemon may have accepted, or may have written, a newer configuration.
    void agreementEndsWithEachReason()
    {
        const auto peerWith = [](void (*change)(PeerReport&)) {
            Freshness freshness = makeAgreement();
            PeerReport report = outage("d1", 4);
            change(report);
            onPeerReport(freshness, report, at(10.5));
            return isFresh(freshness, at(11));
        };
        CPPUNIT_ASSERT(peerWith([](PeerReport&) {}));
        CPPUNIT_ASSERT(!peerWith([](PeerReport& report) { report.hasStoreAccess = true; }));
        CPPUNIT_ASSERT(!peerWith([](PeerReport& report) { report.hasUnresolvedApply = true; }));
        CPPUNIT_ASSERT(!peerWith([](PeerReport& report) { report.isProvisional = true; }));
        CPPUNIT_ASSERT(!peerWith([](PeerReport& report) { report.revision = 5; }));
        CPPUNIT_ASSERT(!peerWith([](PeerReport& report) { report.revision = 3; }));
        Freshness own = makeAgreement();
        onApply(own, true);
        CPPUNIT_ASSERT(!isFresh(own, at(11)));
        onApply(own, false);
        CPPUNIT_ASSERT(isFresh(own, at(11)));
        onStoreAccess(own, true);
        CPPUNIT_ASSERT(!isFresh(own, at(11)));
        Freshness provisional = makeAgreement();
        provisional.isProvisional = true;
        CPPUNIT_ASSERT(!isFresh(provisional, at(11)));
    }

    // Guards against reordered answers that hide a change of a peer.
    void lateReportDoesNotReplaceANewerOne()
    {
        Freshness freshness = makeAgreement();
        PeerReport report = outage("d1", 4);
        report.hasUnresolvedApply = true;
        onPeerReport(freshness, report, at(10.5));
        onPeerReport(freshness, outage("d1", 4), at(10.4));
        CPPUNIT_ASSERT(!isFresh(freshness, at(11)));
        report.incarnation = 2;
        report.hasUnresolvedApply = false;
        report.isProvisional = true;
        onPeerReport(freshness, report, at(10.6));
        onPeerReport(freshness, outage("d1", 4), at(10.7)); // of the incarnation that ended
        CPPUNIT_ASSERT(!isFresh(freshness, at(11)));
    }

    // Guards against a restarted daemon that agrees to an outage although its earlier incarnation accepted a revision
    // that no peer has received: the revision of a peer does not confirm, a store read after the start does.
    void restartedDaemonStaysProvisionalUntilAStoreRead()
    {
        Freshness freshness;
        freshness.self = { "d0" };
        freshness.startedAt = at(9);
        onRecordedMembers(freshness, { { "d0" }, { "d1" } }, true);
        onPeerReport(freshness, outage("d1", 4), at(10));
        onRevision(freshness, 4);
        CPPUNIT_ASSERT(!isFresh(freshness, at(10)));
        PeerReport report = outage("d1", 4);
        report.storeReadAge = milliseconds(1500); // read before the start
        onPeerReport(freshness, report, at(10));
        CPPUNIT_ASSERT(freshness.isProvisional);
        report.storeReadAge = milliseconds(500);
        onPeerReport(freshness, report, at(10));
        CPPUNIT_ASSERT(!freshness.isProvisional);
    }

    // Guards against starts by a daemon that has never seen a configuration.
    void noRevisionIsNeverFresh()
    {
        Freshness freshness;
        onStoreRead(freshness, 0, at(10));
        CPPUNIT_ASSERT(!isFresh(freshness, at(10)));
    }

    // Guards against I4: three daemons, a store with outages for each daemon, lost replies, delayed answers, pauses and
    // restarts, over 300 seeds. Whenever a daemon is fresh while it holds a revision below the accepted one, the accept
    // is at most 2 s old. The run also counts fresh moments of each kind, so that a rule that never allows a start
    // fails.
    void randomSchedulesNeverStartAfterTheBound()
    {
        std::map<EvidenceKind, int> fresh;
        for (std::uint64_t seed = 1; seed <= 300; ++seed)
            runSchedule(seed, fresh);
        CPPUNIT_ASSERT(fresh[EvidenceKind::OwnRead] > 1000);
        CPPUNIT_ASSERT(fresh[EvidenceKind::PeerRead] > 1000);
        CPPUNIT_ASSERT(fresh[EvidenceKind::Agreement] > 1000);
    }

private:
    struct Daemon {
        Freshness freshness;
        std::uint64_t incarnation = 1;
        bool reachesStore = true;
        TimePoint pausedUntil;
        TimePoint lastRead;
        base::Revision unresolved = 0;
    };
    struct Answer {
        std::size_t to = 0;
        std::uint64_t toIncarnation = 0;
        PeerReport report;
        TimePoint sent;
        TimePoint arrives;
    };

    static PeerReport reportOf(const Daemon& daemon, TimePoint now)
    {
        const Freshness& freshness = daemon.freshness;
        return { freshness.self, daemon.incarnation, freshness.revision, freshness.isProvisional,
            storeReadAge(freshness, now), freshness.hasStoreAccess, freshness.hasUnresolvedApply };
    }

    static void restart(Daemon& daemon, const std::vector<base::DaemonId>& names, TimePoint now)
    {
        Freshness freshness;
        freshness.startedAt = now;
        freshness.self = daemon.freshness.self;
        onRecordedMembers(freshness, names, true);
        daemon.freshness = freshness;
        daemon.unresolved = 0;
        ++daemon.incarnation;
    }

    static void runSchedule(std::uint64_t seed, std::map<EvidenceKind, int>& fresh)
    {
        base::Rng rng(seed);
        const std::vector<base::DaemonId> names { { "d0" }, { "d1" }, { "d2" } };
        std::vector<Daemon> daemons(3);
        for (std::size_t index = 0; index < 3; ++index) {
            daemons[index].freshness.self = names[index];
            onRecordedMembers(daemons[index].freshness, names, true);
            onRevision(daemons[index].freshness, 1);
            daemons[index].freshness.isProvisional = false;
        }
        base::Revision accepted = 1;
        TimePoint acceptedAt = at(0);
        std::vector<Answer> network;
        for (int step = 0; step < 1200; ++step) {
            const TimePoint now = at(100 + step * 0.1);
            if (base::chance(rng, 0.01)) { // an outage of the store for all, or its end
                const bool reaches = base::chance(rng, 0.4);
                for (Daemon& daemon : daemons)
                    daemon.reachesStore = reaches;
            }
            for (std::size_t index = 0; index < 3; ++index) {
                Daemon& daemon = daemons[index];
                if (base::chance(rng, 0.003))
                    daemon.reachesStore = !daemon.reachesStore;
                if (base::chance(rng, 0.002))
                    restart(daemon, names, now);
                if (base::chance(rng, 0.003))
                    daemon.pausedUntil = now + seconds(5);
                if (now < daemon.pausedUntil)
                    continue;
                act(rng, daemon, accepted, acceptedAt, now);
                const std::size_t peer = (index + 1 + base::below(rng, 2)) % 3;
                if (now >= daemons[peer].pausedUntil && base::chance(rng, 0.7)) {
                    const TimePoint arrives = now + milliseconds(static_cast<std::int64_t>(base::below(rng, 400)));
                    network.push_back({ index, daemon.incarnation, reportOf(daemons[peer], now), now, arrives });
                }
            }
            for (const Answer& answer : network) {
                Daemon& daemon = daemons[answer.to];
                if (answer.arrives > now || now < daemon.pausedUntil || answer.toIncarnation != daemon.incarnation)
                    continue;
                onPeerReport(daemon.freshness, answer.report, answer.sent);
                if (answer.report.revision > daemon.freshness.revision)
                    onRevision(daemon.freshness, answer.report.revision);
            }
            std::erase_if(network,
                [&](const Answer& answer) { return answer.arrives <= now && now >= daemons[answer.to].pausedUntil; });
            for (const Daemon& daemon : daemons) {
                const Evidence found = evidence(daemon.freshness, now);
                if (now < daemon.pausedUntil || found.kind == EvidenceKind::None)
                    continue;
                ++fresh[found.kind];
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + " step " + std::to_string(step),
                    daemon.freshness.revision == accepted || now - acceptedAt <= seconds(2));
            }
        }
    }

    // One daemon reads the store each second, and sometimes accepts a configuration; one reply in three is lost.
    static void act(base::Rng& rng, Daemon& daemon, base::Revision& accepted, TimePoint& acceptedAt, TimePoint now)
    {
        Freshness& freshness = daemon.freshness;
        if (now - daemon.lastRead >= seconds(1)) {
            daemon.lastRead = now;
            onStoreAccess(freshness, daemon.reachesStore);
            if (daemon.reachesStore) {
                onStoreRead(freshness, accepted, now);
                onRevision(freshness, accepted);
                onApply(freshness, false);
            }
        }
        if (daemon.reachesStore && freshness.revision == accepted && base::chance(rng, 0.02)) {
            ++accepted;
            acceptedAt = now;
            if (base::chance(rng, 0.33)) {
                onApply(freshness, true);
                onStoreAccess(freshness, false);
            } else {
                onRevision(freshness, accepted);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterFreshnessTest);

} // namespace
