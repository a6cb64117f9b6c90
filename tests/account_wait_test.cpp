// Tests of the reports on tasks that wait for their client account.
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using test::plainStep;
using test::World;

constexpr int workers = 10; // with 8 processors each

scheduler::QueuePolicy policyOf()
{
    scheduler::QueuePolicy policy;
    policy.name = "queue";
    policy.goalMs = 1000;
    return policy;
}

class AccountWaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AccountWaitTest);
    CPPUNIT_TEST(waitCausesNameTheAccount);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reports that blame the fleet for what an account's cap or rate decides.
    void waitCausesNameTheAccount()
    {
        World world(1, workers);
        world.setAccounts({ { "a", 1, { 2000, 0, 0 } }, { "b", 1, {} }, { "c", 100, {} } });
        world.submit("capped", { plainStep(1, 2000, 60000) }, policyOf(), "a");
        world.submit("capped2", { plainStep(1, 2000, 60000) }, policyOf(), "a");
        world.submit("full", { plainStep(78, 1000, 60000) }, policyOf(), "c");
        world.run(200);
        for (int i = 0; i < 20; ++i)
            world.submit("rate" + std::to_string(i), { plainStep(1, 1000, 60000) }, policyOf(), "b");
        std::map<std::string, std::string> reasons; // by job
        for (int i = 0; i < 80; ++i) {
            world.step();
            for (const scheduler::Decision& decision : world.decisions()) {
                if (decision.event == "jobWaiting")
                    reasons[decision.job] = decision.outcome;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string("accountCap"), reasons["capped2"]);
        const auto byShare = std::count_if(reasons.begin(), reasons.end(),
            [](const auto& entry) { return entry.first.rfind("rate", 0) == 0 && entry.second == "accountShare"; });
        CPPUNIT_ASSERT(byShare > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), reasons.count("full"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountWaitTest);

} // namespace
