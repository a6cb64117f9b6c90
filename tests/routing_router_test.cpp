// Tests of endpoint choice, ejection and slow start.
#include "routing/router.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace {

using namespace lacewing;
using namespace lacewing::routing;

base::TimePoint at(std::int64_t ms) { return base::TimePoint(base::milliseconds(ms)); }

base::EndpointId name(int index) { return { "endpoint" + std::to_string(index) }; }

std::vector<EndpointInfo> makeList(int count)
{
    std::vector<EndpointInfo> list(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        list[static_cast<std::size_t>(index)].id = name(index);
    return list;
}

struct Fixture {
    explicit Fixture(int count, PolicyName policy = PolicyName::LatencyAware)
        : list(makeList(count))
    {
        router.policy = policy;
        router.counters = &counters;
        onEndpointList(router, list, at(0));
    }

    void fail(int index, int times, base::TimePoint now)
    {
        for (int time = 0; time < times; ++time) {
            onSent(router, name(index), now);
            onOutcome(router, name(index), now, OutcomeKind::Failure, now);
        }
    }

    void succeed(int index, int times, std::int64_t lengthMs, base::TimePoint now)
    {
        for (int time = 0; time < times; ++time) {
            onSent(router, name(index), now);
            onOutcome(router, name(index), now, OutcomeKind::Success, now + base::milliseconds(lengthMs));
        }
    }

    std::map<std::string, int> choices(int count, base::TimePoint now)
    {
        std::map<std::string, int> result;
        for (int choice = 0; choice < count; ++choice) {
            if (const auto chosen = chooseEndpoint(router, {}, now, rng))
                ++result[chosen->value];
        }
        return result;
    }

    std::vector<EndpointInfo> list;
    Router router;
    Counters counters;
    base::Rng rng { 7 };
};

class RouterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(leavingEndpointGetsNothing);
    CPPUNIT_TEST(failingEndpointIsEjectedAndReturnsSlowly);
    CPPUNIT_TEST(slowEndpointIsEjected);
    CPPUNIT_TEST(ejectionIsCapped);
    CPPUNIT_TEST(panicRuleIgnoresEjection);
    CPPUNIT_TEST(everyPolicyUsesEveryEndpoint);
    CPPUNIT_TEST(slowAttemptInFlightRaisesTheEstimate);
    CPPUNIT_TEST(triedEndpointIsAvoided);
    CPPUNIT_TEST(droppedEndpointKeepsItsAttempts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against new work on a leaving endpoint (I8), also when no other endpoint is left.
    void leavingEndpointGetsNothing()
    {
        for (const auto& [policy, text] : policyNames) {
            Fixture fixture(3, policy);
            fixture.list[0].status = EndpointStatus::Leaving;
            fixture.list[1].status = EndpointStatus::Leaving;
            onEndpointList(fixture.router, fixture.list, at(1));
            const std::map<std::string, int> chosen = fixture.choices(50, at(2));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(text), 50, chosen.at(name(2).value));
            fixture.list[2].status = EndpointStatus::Leaving;
            onEndpointList(fixture.router, fixture.list, at(3));
            CPPUNIT_ASSERT(fixture.choices(10, at(3)).empty());
        }
    }

    // Guards against an endpoint that fails every request and is used on, or gets full load at once on its return.
    void failingEndpointIsEjectedAndReturnsSlowly()
    {
        Fixture fixture(10);
        fixture.fail(3, fixture.router.limits.failuresToEject, at(0));
        CPPUNIT_ASSERT(!fixture.choices(500, at(1)).contains(name(3).value));
        const base::TimePoint back = at(fixture.router.limits.ejectionMs);
        for (int index = 0; index < 10; ++index) {
            if (index != 3)
                fixture.succeed(index, 20, 5, back);
        }
        const int early = fixture.choices(1000, back)[name(3).value];
        CPPUNIT_ASSERT(!findEndpoint(fixture.router, name(3))->isEjected);
        const int late
            = fixture.choices(1000, back + base::milliseconds(fixture.router.limits.slowStartMs))[name(3).value];
        CPPUNIT_ASSERT(early < late);
    }

    // Guards against an endpoint that answers ten times slower than the others and stays in use.
    void slowEndpointIsEjected()
    {
        Fixture fixture(10);
        for (int index = 0; index < 10; ++index)
            fixture.succeed(index, 20, index == 4 ? 50 : 5, at(0));
        // The median is computed at most every 100 ms.
        for (int index = 0; index < 10; ++index)
            fixture.succeed(index, 1, index == 4 ? 50 : 5, at(200));
        CPPUNIT_ASSERT(findEndpoint(fixture.router, name(4))->isEjected);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fixture.counters.ejections);
    }

    // Guards against ejecting most of a pool when all endpoints have a common problem.
    void ejectionIsCapped()
    {
        Fixture fixture(10);
        for (int index = 0; index < 10; ++index)
            fixture.fail(index, 10, at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, fixture.router.ejectedCount);
        CPPUNIT_ASSERT(fixture.counters.ejectionsCapped > 0);
    }

    // Guards against concentrating the load on few endpoints when fewer than half are eligible.
    void panicRuleIgnoresEjection()
    {
        Fixture fixture(10, PolicyName::Random); // latencyAware would still prefer the endpoints without failures
        for (int index = 0; index < 3; ++index)
            fixture.fail(index, 10, at(0));
        CPPUNIT_ASSERT(!fixture.choices(2000, at(0)).contains(name(0).value));
        for (std::size_t index = 3; index < 6; ++index)
            fixture.list[index].status = EndpointStatus::Leaving;
        onEndpointList(fixture.router, fixture.list, at(1));
        const std::map<std::string, int> chosen = fixture.choices(2000, at(1));
        CPPUNIT_ASSERT(chosen.contains(name(0).value));
        CPPUNIT_ASSERT(!chosen.contains(name(4).value));
        CPPUNIT_ASSERT(fixture.counters.panicChoices > 0);
    }

    // Guards against a policy that leaves endpoints unused.
    void everyPolicyUsesEveryEndpoint()
    {
        for (const auto& [policy, text] : policyNames) {
            Fixture fixture(7, policy);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(text), std::size_t { 7 }, fixture.choices(700, at(0)).size());
        }
    }

    // Guards against sending more work to an endpoint that has stopped answering but has good old estimates.
    void slowAttemptInFlightRaisesTheEstimate()
    {
        Fixture fixture(2);
        fixture.succeed(0, 20, 5, at(0));
        fixture.succeed(1, 20, 5, at(0));
        onSent(fixture.router, name(0), at(10));
        onSent(fixture.router, name(1), at(500));
        onSent(fixture.router, name(1), at(500));
        const std::map<std::string, int> chosen = fixture.choices(100, at(510));
        CPPUNIT_ASSERT(!chosen.contains(name(0).value));
    }

    // Guards against a retry on the endpoint that has just failed while others are free.
    void triedEndpointIsAvoided()
    {
        Fixture fixture(2);
        const std::vector<base::EndpointId> tried { name(0) };
        RequestView view;
        view.excluded = tried;
        for (int choice = 0; choice < 50; ++choice)
            CPPUNIT_ASSERT(chooseEndpoint(fixture.router, view, at(0), fixture.rng) == name(1));
    }

    // Guards against losing the account of attempts when the instance list drops an endpoint for a moment.
    void droppedEndpointKeepsItsAttempts()
    {
        Fixture fixture(2);
        onSent(fixture.router, name(0), at(0));
        const std::vector<EndpointInfo> shorter { fixture.list[1] };
        onEndpointList(fixture.router, shorter, at(1));
        CPPUNIT_ASSERT_EQUAL(1, findEndpoint(fixture.router, name(0))->inFlight);
        CPPUNIT_ASSERT(!fixture.choices(50, at(1)).contains(name(0).value));
        onOutcome(fixture.router, name(0), at(0), OutcomeKind::Success, at(2));
        onEndpointList(fixture.router, shorter, at(3));
        CPPUNIT_ASSERT(!findEndpoint(fixture.router, name(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

} // namespace
