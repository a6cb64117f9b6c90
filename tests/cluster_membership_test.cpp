// Tests of the membership of a data centre, with a virtual clock.
#include "cluster/membership.h"

#include "base/rng.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::cluster;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

TimePoint at(double second) { return TimePoint(base::Duration(static_cast<std::int64_t>(second * 1e6))); }

Membership makeMembership()
{
    Membership membership;
    membership.self = { "d0" };
    membership.dataCentre = { "east" };
    membership.selfIncarnation = 100;
    return membership;
}

HeartbeatReport heartbeat(const std::string& name, std::uint64_t incarnation = 1)
{
    HeartbeatReport report;
    report.daemon = { name };
    report.dataCentre = { "east" };
    report.incarnation = incarnation;
    report.hasStoreAccess = true;
    return report;
}

ListedDaemon listed(const std::string& name, bool isLeaving = false)
{
    return { { name }, { "east" }, "10.0.0.1:1", isLeaving };
}

std::string stateOf(const Membership& membership, const std::string& name)
{
    const auto entry = membership.members.find({ name });
    return entry == membership.members.end() ? "absent"
                                             : std::string(base::nameOf(memberStateNames, entry->second.state));
}

std::size_t countOf(const std::vector<MemberEvent>& events, MemberChange change)
{
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [change](const auto& event) { return event.change == change; }));
}

class ClusterMembershipTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterMembershipTest);
    CPPUNIT_TEST(suspectedAfterThreeMissedHeartbeats);
    CPPUNIT_TEST(listedDaemonThatNeverAnsweredIsNotUsed);
    CPPUNIT_TEST(unlistedDaemonStaysForTenSecondsOfSilence);
    CPPUNIT_TEST(listAloneRemovesNoDaemonThatAnswers);
    CPPUNIT_TEST(leavingTakesEffectAtOnce);
    CPPUNIT_TEST(lateHeartbeatDoesNotBringBackAStoppedDaemon);
    CPPUNIT_TEST(newIncarnationReplacesAStoppedOne);
    CPPUNIT_TEST(olderIncarnationIsIgnored);
    CPPUNIT_TEST(ownPauseSuspectsNobody);
    CPPUNIT_TEST(otherDataCentresAndSelfAreNoMembers);
    CPPUNIT_TEST(representativeIsTheSameForAllAndPrefersStoreAccess);
    CPPUNIT_TEST(randomLossAndReorderingKeepInvariants);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that is used after it fell silent, and against one dropped after a single loss.
    void suspectedAfterThreeMissedHeartbeats()
    {
        Membership membership = makeMembership();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, countOf(onHeartbeat(membership, heartbeat("d1"), at(0)), MemberChange::Joined));
        for (int second = 1; second <= 3; ++second)
            CPPUNIT_ASSERT(tick(membership, at(second)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(tick(membership, at(3.1)), MemberChange::Suspected));
        CPPUNIT_ASSERT(tick(membership, at(4)).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, countOf(onHeartbeat(membership, heartbeat("d1"), at(4.5)), MemberChange::Recovered));
    }

    // Guards against traffic sent to an instance that the list names too early or in error.
    void listedDaemonThatNeverAnsweredIsNotUsed()
    {
        Membership membership = makeMembership();
        CPPUNIT_ASSERT(onInstanceList(membership, { listed("d1") }, at(0)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("unverified"), stateOf(membership, "d1"));
        CPPUNIT_ASSERT(!isUsable(membership.members.at({ "d1" })));
        onInstanceList(membership, {}, at(1));
        CPPUNIT_ASSERT_EQUAL(std::string("absent"), stateOf(membership, "d1"));
    }

    // Guards against a member that is dropped because the list lags, or kept for ever after it died.
    void unlistedDaemonStaysForTenSecondsOfSilence()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1"), at(0));
        for (int second = 1; second <= 10; ++second)
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countOf(tick(membership, at(second)), MemberChange::Removed));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(tick(membership, at(10.5)), MemberChange::Removed));
        CPPUNIT_ASSERT_EQUAL(std::string("absent"), stateOf(membership, "d1"));
    }

    // Guards against an empty or wrong instance list that removes a working data centre.
    void listAloneRemovesNoDaemonThatAnswers()
    {
        Membership membership = makeMembership();
        onInstanceList(membership, { listed("d1") }, at(0));
        for (int second = 0; second < 60; ++second) {
            onHeartbeat(membership, heartbeat("d1"), at(second));
            onInstanceList(membership, {}, at(second + 0.5));
            tick(membership, at(second + 0.6));
            CPPUNIT_ASSERT_EQUAL(std::string("alive"), stateOf(membership, "d1"));
        }
    }

    // Guards against new work for a daemon that stops (I8).
    void leavingTakesEffectAtOnce()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1"), at(0));
        onHeartbeat(membership, heartbeat("d2"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 },
            countOf(onInstanceList(membership, { listed("d1", true), listed("d2") }, at(0.1)), MemberChange::Leaving));
        HeartbeatReport draining = heartbeat("d2");
        draining.isLeaving = true;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, countOf(onHeartbeat(membership, draining, at(0.2)), MemberChange::Leaving));
        // A heartbeat that was overtaken by the draining one does not undo it.
        onHeartbeat(membership, heartbeat("d2"), at(0.3));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), stateOf(membership, "d1"));
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), stateOf(membership, "d2"));
        onInstanceList(membership, { listed("d1") }, at(0.4));
        CPPUNIT_ASSERT_EQUAL(std::string("alive"), stateOf(membership, "d1"));
    }

    // Guards against slots counted for a daemon that has given them back.
    void lateHeartbeatDoesNotBringBackAStoppedDaemon()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1", 5), at(0));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t { 1 }, countOf(onGoodbye(membership, { "d1" }, 5, at(1)), MemberChange::Stopped));
        CPPUNIT_ASSERT(onHeartbeat(membership, heartbeat("d1", 5), at(2)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), stateOf(membership, "d1"));
        // The goodbye can also arrive first.
        onGoodbye(membership, { "d2" }, 7, at(2));
        onHeartbeat(membership, heartbeat("d2", 7), at(3));
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), stateOf(membership, "d2"));
        tick(membership, at(60));
        onHeartbeat(membership, heartbeat("d2", 7), at(61));
        CPPUNIT_ASSERT_EQUAL(std::string("stopped"), stateOf(membership, "d2"));
    }

    // Guards against a daemon that cannot come back under its name, and against a late goodbye of its predecessor.
    void newIncarnationReplacesAStoppedOne()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1", 5), at(0));
        onGoodbye(membership, { "d1" }, 5, at(1));
        const auto events = onHeartbeat(membership, heartbeat("d1", 6), at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(events, MemberChange::Restarted));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 6 }, events[0].incarnation);
        CPPUNIT_ASSERT(onGoodbye(membership, { "d1" }, 5, at(3)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("alive"), stateOf(membership, "d1"));
    }

    // Guards against a duplicate of an old message that makes a dead process look alive.
    void olderIncarnationIsIgnored()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1", 6), at(0));
        CPPUNIT_ASSERT(onHeartbeat(membership, heartbeat("d1", 5), at(3)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(tick(membership, at(3.5)), MemberChange::Suspected));
    }

    // Guards against a paused daemon that suspects all others when it wakes and takes over their shards.
    void ownPauseSuspectsNobody()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1"), at(0));
        tick(membership, at(1));
        CPPUNIT_ASSERT(tick(membership, at(100)).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("alive"), stateOf(membership, "d1"));
        for (int second = 101; second <= 103; ++second)
            CPPUNIT_ASSERT(tick(membership, at(second)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countOf(tick(membership, at(104)), MemberChange::Suspected));
        // The rule for isolation needs the real time of the last contact.
        CPPUNIT_ASSERT(membership.lastContact == at(0));
    }

    // Guards against slots of an endpoint shared with daemons of another data centre.
    void otherDataCentresAndSelfAreNoMembers()
    {
        Membership membership = makeMembership();
        HeartbeatReport other = heartbeat("d1");
        other.dataCentre = { "west" };
        onHeartbeat(membership, other, at(0));
        onHeartbeat(membership, heartbeat("d0"), at(0));
        onInstanceList(membership, { { { "d2" }, { "west" }, "x", false }, listed("d0") }, at(0));
        CPPUNIT_ASSERT(membership.members.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, view(membership, {}).size());
    }

    // Guards against two watches at the store for one data centre, or one held by a daemon that cannot reach it.
    void representativeIsTheSameForAllAndPrefersStoreAccess()
    {
        Membership membership = makeMembership();
        onHeartbeat(membership, heartbeat("d1"), at(0));
        onHeartbeat(membership, heartbeat("a"), at(0));
        SelfReport self;
        self.hasStoreAccess = true;
        CPPUNIT_ASSERT(representative(view(membership, self)) == base::DaemonId { "a" });
        HeartbeatReport cutOff = heartbeat("a");
        cutOff.hasStoreAccess = false;
        onHeartbeat(membership, cutOff, at(1));
        CPPUNIT_ASSERT(representative(view(membership, self)) == base::DaemonId { "d0" });
        self.isLeaving = true;
        CPPUNIT_ASSERT(representative(view(membership, self)) == base::DaemonId { "d1" });
        onGoodbye(membership, { "a" }, 1, at(2));
        onGoodbye(membership, { "d1" }, 1, at(2));
        CPPUNIT_ASSERT(!representative(view(membership, self)).has_value());
    }

    // Guards against states that depend on the order of messages: 100 schedules with losses, duplicates, delays of up
    // to 5 s, restarts, stops and pauses of the observer. Incarnations never fall, a stopped incarnation is never
    // usable, and in the end the view equals the daemons that run: 15 s without disturbance cover the longest pause (8
    // s), the period of grace after it and the suspicion.
    void randomLossAndReorderingKeepInvariants()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            base::Rng rng(seed);
            Membership membership = makeMembership();
            struct Process {
                std::uint64_t incarnation = 1;
                bool runs = true;
            };
            std::map<std::string, Process> processes { { "a", {} }, { "b", {} }, { "c", {} } };
            struct Sent {
                TimePoint arrives;
                HeartbeatReport report;
                bool isGoodbye = false;
            };
            std::vector<Sent> network;
            std::map<std::string, std::uint64_t> highest;
            std::map<std::string, std::uint64_t> stopped;
            TimePoint pausedUntil {};
            for (int step = 0; step < 750; ++step) {
                const TimePoint now = at(step * 0.1);
                const bool isCalm = step >= 600;
                for (auto& [name, process] : processes) {
                    if (process.runs && step % 10 == 0) {
                        const int copies = isCalm ? 1 : static_cast<int>(base::below(rng, 3));
                        for (int copy = 0; copy < copies; ++copy) {
                            const auto delay = isCalm ? 0 : static_cast<std::int64_t>(base::below(rng, 5000));
                            network.push_back(
                                { now + milliseconds(delay), heartbeat(name, process.incarnation), false });
                        }
                    }
                    if (!isCalm && process.runs && base::chance(rng, 0.005)) {
                        process.runs = false;
                        if (base::chance(rng, 0.5))
                            network.push_back({ now, heartbeat(name, process.incarnation), true });
                    } else if (!isCalm && !process.runs && base::chance(rng, 0.05)) {
                        process.runs = true;
                        ++process.incarnation;
                    }
                }
                if (!isCalm && base::chance(rng, 0.005))
                    pausedUntil = now + seconds(8);
                if (now < pausedUntil)
                    continue;
                for (std::size_t index = 0; index < network.size();) {
                    if (network[index].arrives > now) {
                        ++index;
                        continue;
                    }
                    const Sent sent = network[index];
                    network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
                    const std::string name = sent.report.daemon.value;
                    if (sent.isGoodbye) {
                        onGoodbye(membership, sent.report.daemon, sent.report.incarnation, now);
                        stopped[name] = std::max(stopped[name], sent.report.incarnation);
                    } else {
                        onHeartbeat(membership, sent.report, now);
                    }
                }
                if (step % 10 == 0)
                    tick(membership, now);
                for (const auto& [daemon, member] : membership.members) {
                    CPPUNIT_ASSERT(!isUsable(member) || member.incarnation > stopped[daemon.value]);
                    if (member.incarnation < highest[daemon.value])
                        CPPUNIT_ASSERT(member.incarnation == highest[daemon.value]);
                    highest[daemon.value] = member.incarnation;
                }
                // A member that was removed may come back with an older message; it starts anew.
                for (auto& [name, incarnation] : highest) {
                    if (!membership.members.contains({ name }))
                        incarnation = 0;
                }
            }
            for (const auto& [name, process] : processes) {
                const auto entry = membership.members.find({ name });
                const bool isUsed = entry != membership.members.end() && isUsable(entry->second);
                CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), process.runs, isUsed);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClusterMembershipTest);

} // namespace
