// Tests of the rates and shares of client accounts, against two baselines: today's order, which knows no accounts, and
// strict round robin by account.
#include "scheduler/account_share.h"
#include "scheduler_world.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <iostream>

namespace {

using namespace lacewing;
using scheduler::Account;
using scheduler::Millis;
using test::plainStep;
using test::World;

constexpr int workers = 10; // with 8 processors each: 80 tasks of one processor
constexpr int slots = 80;
constexpr int estimateMs = 1000;
constexpr Millis stepMs = 50;
constexpr Millis loadMs = 20000;
constexpr Millis drainMs = 5000;
constexpr Millis allowedMs = 2 * estimateMs + 1000; // by policyOf

scheduler::QueuePolicy policyOf()
{
    scheduler::QueuePolicy policy;
    policy.name = "queue";
    policy.maxAttempts = 3;
    policy.goalMs = 1000;
    return policy;
}

// Jobs of one task that an account sends at a steady rate.
struct Sender {
    Account account;
    double jobsPerSecond = 0;
    double pending = 0; // fraction of the next job
    int sent = 0;
    int tasks = 1; // of each job
};

enum class Rule { Shares, Today, RoundRobin };

struct Outcome {
    int sent = 0;
    int inTime = 0;
    double share() const { return sent == 0 ? 1 : static_cast<double>(inTime) / sent; }
};

struct Arrival {
    std::string id;
    std::string account;
    Millis at = 0;
};

// Round robin submits a job only when a slot is free; the scheduler then starts it at once.
class Load {
public:
    Load(std::uint64_t seed, std::vector<Sender> senders, Rule rule)
        : m_world(seed, workers)
        , m_rng(seed)
        , m_senders(std::move(senders))
        , m_rule(rule)
    {
        std::vector<Account> accounts;
        for (const Sender& sender : m_senders)
            accounts.push_back(sender.account);
        if (rule == Rule::Shares)
            m_world.setAccounts(accounts);
        m_world.run(500);
    }

    // By account.
    std::map<std::string, Outcome> run()
    {
        for (const Millis end = m_world.now() + loadMs; m_world.now() < end;) {
            for (Sender& sender : m_senders)
                send(sender);
            advance();
        }
        for (const Millis end = m_world.now() + drainMs; m_world.now() < end;)
            advance();
        std::map<std::string, Outcome> outcomes;
        for (const Arrival& arrival : m_arrivals) {
            Outcome& outcome = outcomes[arrival.account];
            ++outcome.sent;
            const auto job = m_world.scheduler().jobs.find(arrival.id);
            outcome.inTime += job != m_world.scheduler().jobs.end()
                    && job->second->state == scheduler::JobState::Completed
                    && job->second->endedUnixMs - arrival.at <= allowedMs
                ? 1
                : 0;
        }
        return outcomes;
    }

private:
    void send(Sender& sender)
    {
        // Arrivals are uneven: the expected number of a step, half to one and a half times of it.
        sender.pending += sender.jobsPerSecond * stepMs / 1000 * (0.5 + base::uniform(m_rng));
        for (; sender.pending >= 1; sender.pending -= 1) {
            const std::string id = sender.account.name + std::to_string(sender.sent++);
            m_arrivals.push_back({ id, sender.account.name, m_world.now() });
            if (m_rule == Rule::RoundRobin)
                m_queues[sender.account.name].push_back(id);
            else
                m_world.submit(id, { plainStep(sender.tasks, 1000, estimateMs) }, policyOf(), sender.account.name);
        }
    }

    void advance()
    {
        std::erase_if(
            m_open, [&](const std::string& id) { return scheduler::isFinal(m_world.scheduler().jobs.at(id)->state); });
        for (std::size_t empty = 0; m_open.size() < slots && empty < m_senders.size();) {
            m_next = (m_next + 1) % m_senders.size();
            const Sender& sender = m_senders[m_next];
            const std::string& account = sender.account.name;
            std::deque<std::string>& queue = m_queues[account];
            if (queue.empty()) {
                ++empty;
                continue;
            }
            empty = 0;
            m_world.submit(queue.front(), { plainStep(sender.tasks, 1000, estimateMs) }, policyOf(), account);
            m_open.push_back(queue.front());
            queue.pop_front();
        }
        m_world.step(stepMs);
    }

    World m_world;
    base::Rng m_rng;
    std::vector<Sender> m_senders;
    Rule m_rule;
    std::vector<Arrival> m_arrivals;
    std::map<std::string, std::deque<std::string>> m_queues;
    std::vector<std::string> m_open;
    std::size_t m_next = 0;
};

// Jobs in time of all accounts but those that are named, or of these.
Outcome sumOf(const std::map<std::string, Outcome>& outcomes, const std::string& prefix, bool isOf)
{
    Outcome sum;
    for (const auto& [name, outcome] : outcomes) {
        if ((name.rfind(prefix, 0) == 0) != isOf)
            continue;
        sum.sent += outcome.sent;
        sum.inTime += outcome.inTime;
    }
    return sum;
}

// Twenty accounts of equal weight that use 85% of the fleet; the first sends `factor` times its rate.
std::vector<Sender> equalSenders(double factor)
{
    std::vector<Sender> senders;
    for (int i = 0; i < 20; ++i) {
        const std::string name = i == 0 ? "flood" : "account" + std::to_string(i) + "x";
        senders.push_back({ { name, 3.4, {} }, 3.4 * (i == 0 ? factor : 1) });
    }
    return senders;
}

// Two large accounts with 15 times the weight of the 18 small ones; all at their rates, 115% of the fleet.
std::vector<Sender> unequalSenders()
{
    std::vector<Sender> senders;
    for (int i = 0; i < 20; ++i) {
        const std::string name = (i < 2 ? "large" : "small") + std::to_string(i) + "x";
        const double weight = i < 2 ? 28.75 : 1.92;
        senders.push_back({ { name, weight, {} }, weight });
    }
    return senders;
}

// Twenty accounts at their rates, of which one sends jobs of 12 tasks: it asks for 51% of the fleet, the others for
// 81%.
std::vector<Sender> wideSenders()
{
    std::vector<Sender> senders = equalSenders(1);
    senders.front().tasks = 12;
    return senders;
}

constexpr const char* ruleNames[] = { "shares", "today", "roundRobin" };

void print(const std::string& load, Rule rule, const Outcome& named, const Outcome& others)
{
    std::cout << load << ' ' << ruleNames[static_cast<int>(rule)] << ": named " << named.share() << " of " << named.sent
              << ", others " << others.share() << " of " << others.sent << '\n';
}

class AccountShareTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AccountShareTest);
    CPPUNIT_TEST(theRateAdmitsABurstAndThenTheWeight);
    CPPUNIT_TEST(anAccountAtTenTimesItsRateBearsTheDelay);
    CPPUNIT_TEST(largeAccountsGetTheirShare);
    CPPUNIT_TEST(anAccountWithWideJobsBearsTheDelay);
    CPPUNIT_TEST(accountsBelowTheirShareGoFirst);
    CPPUNIT_TEST(jobsWithoutAccountsKeepTheirPlaces);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a rate that depends on when the jobs are looked at.
    void theRateAdmitsABurstAndThenTheWeight()
    {
        scheduler::RateState state;
        std::vector<std::int64_t> waits(12);
        for (std::int64_t& wait : waits)
            wait = scheduler::entitledAt(state, 1000000, 2) - 1000000;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), waits[6]); // 3 s at 2 a second, and one
        CPPUNIT_ASSERT_EQUAL(std::int64_t(500), waits[7]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2500), waits[11]);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2000000), scheduler::entitledAt(state, 2000000, 2));
        scheduler::RateState slow;
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(std::int64_t(1000000), scheduler::entitledAt(slow, 1000000, 0.1));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1010000), scheduler::entitledAt(slow, 1000000, 0.1));
    }

    // Guards against a flood of one account that delays the others, and against a rule that costs them without one.
    void anAccountAtTenTimesItsRateBearsTheDelay()
    {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            for (const Rule rule : { Rule::Shares, Rule::Today, Rule::RoundRobin }) {
                const auto usual = Load(seed, equalSenders(1), rule).run();
                const auto flooded = Load(seed, equalSenders(10), rule).run();
                const Outcome others = sumOf(flooded, "flood", false);
                print("flood" + std::to_string(seed), rule, sumOf(flooded, "flood", true), others);
                const double loss = sumOf(usual, "flood", false).share() - others.share();
                if (rule == Rule::Shares)
                    CPPUNIT_ASSERT(loss < 0.02);
                if (rule == Rule::Today) // the load is hard enough to tell the rules apart
                    CPPUNIT_ASSERT(loss > 0.1);
            }
        }
    }

    // Guards against equal treatment of unequal accounts.
    void largeAccountsGetTheirShare()
    {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            std::map<Rule, double> inTime;
            for (const Rule rule : { Rule::Shares, Rule::Today, Rule::RoundRobin }) {
                const auto outcomes = Load(seed, unequalSenders(), rule).run();
                print("unequal" + std::to_string(seed), rule, sumOf(outcomes, "large", true),
                    sumOf(outcomes, "large", false));
                inTime[rule] = sumOf(outcomes, "", true).share();
            }
            CPPUNIT_ASSERT(inTime[Rule::Shares] > inTime[Rule::Today] - 0.02);
            CPPUNIT_ASSERT(inTime[Rule::Shares] > inTime[Rule::RoundRobin] - 0.02);
        }
    }

    // Guards against a share that is counted in jobs: an account within its rate of jobs asks for too many processors.
    void anAccountWithWideJobsBearsTheDelay()
    {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            std::map<Rule, double> inTime;
            for (const Rule rule : { Rule::Shares, Rule::Today, Rule::RoundRobin }) {
                const auto outcomes = Load(seed, wideSenders(), rule).run();
                const Outcome others = sumOf(outcomes, "flood", false);
                print("wide" + std::to_string(seed), rule, sumOf(outcomes, "flood", true), others);
                inTime[rule] = others.share();
            }
            CPPUNIT_ASSERT(inTime[Rule::Shares] >= inTime[Rule::Today]);
        }
    }

    // Guards against an order within the rates that lets the first account fill a crowded fleet: both send at once, and
    // the earlier one asks for all of it.
    void accountsBelowTheirShareGoFirst()
    {
        World world(1, workers);
        world.setAccounts({ { "a", 100, {} }, { "b", 100, {} } });
        for (int i = 0; i < 160; ++i)
            world.submit("a" + std::to_string(i), { plainStep(1, 1000, 60000) }, policyOf(), "a");
        for (int i = 0; i < 160; ++i)
            world.submit("b" + std::to_string(i), { plainStep(1, 1000, 60000) }, policyOf(), "b");
        world.step();
        world.step();
        CPPUNIT_ASSERT_EQUAL(40000, world.runningOf("a").cpuMillicores);
        CPPUNIT_ASSERT_EQUAL(40000, world.runningOf("b").cpuMillicores);
    }

    // Guards against jobs without an account that lose or gain places by the shares of others.
    void jobsWithoutAccountsKeepTheirPlaces()
    {
        std::vector<int> running;
        for (const bool hasAccounts : { false, true }) {
            World world(1, workers);
            if (hasAccounts)
                world.setAccounts({ { "a", 100, {} }, { "b", 400, {} } });
            for (int i = 0; i < 240; ++i) {
                const std::string account = i % 3 == 0 ? "" : i % 3 == 1 ? "a" : "b";
                world.submit("j" + std::to_string(1000 + i), { plainStep(1, 1000, 60000) }, policyOf(), account);
            }
            world.step();
            world.step();
            running.push_back(world.runningOf("").cpuMillicores);
        }
        CPPUNIT_ASSERT_EQUAL(running[0], running[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountShareTest);

} // namespace
