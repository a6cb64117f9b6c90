// Tests of the decisions on access keys and on jobs of accounts.
#include "base/rng.h"
#include "daemon/access.h"
#include "daemon/watch_calls.h"
#include "platform/client_accounts.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using scheduler::Millis;

const QByteArray longKey(8192, 'x');
constexpr AccessBasis recent { true, true };

scheduler::Configuration withKeys(const std::vector<std::pair<QByteArray, std::string>>& keys)
{
    scheduler::Configuration configuration;
    configuration.hasAccounts = true;
    for (const auto& [key, account] : keys) {
        configuration.accounts[account].name = account;
        configuration.accountByKey[platform::digestOf(key)] = account;
    }
    return configuration;
}

http::Headers bearer(const QByteArray& key) { return { { "Authorization", "Bearer " + key } }; }

// What a daemon answered during a random course of events.
struct Tally {
    int served = 0;
    int unavailable = 0;
    int withdrawnServed = 0; // later than the revocation time after the withdrawal
    int addedRefused = 0;    // with 401, later than the time within which a key has to work
};

// One key is withdrawn and another one added while answers of the store are slow or lost and the daemon is paused.
Tally play(std::uint64_t seed, bool checksAge)
{
    base::Rng rng(seed);
    PlatformBounds bounds;
    bounds.configurationMs = 3000;
    bounds.revocationMs = base::chance(rng, 0.5) ? 5000 : 2000;
    const WatchTimes times = watchTimesWithin(static_cast<int>(keyedMaxAgeMs(bounds)));
    const scheduler::Configuration versions[] = { withKeys({ { "old", "a" } }), withKeys({ { "new", "a" } }) };
    const Millis changedAt = 8000 + static_cast<Millis>(base::below(rng, 12000));
    struct Answer {
        WatchCall call;
        Millis readAt = 0; // when the store carried the call out
        Millis arrivesAt = 0;
        bool isLost = false;
    };
    std::vector<Answer> answers;
    std::vector<Millis> requests; // times at which they were sent
    WatchCalls calls;
    bool knowsChange = false;
    Millis pausedUntil = 0;
    Millis cutUntil = 0;
    Tally tally;
    for (Millis now = 1000; now < 40000; now += 20) {
        if (base::chance(rng, 0.3))
            requests.push_back(now);
        if (now < pausedUntil)
            continue;
        if (base::chance(rng, 0.002))
            pausedUntil = now + static_cast<Millis>(base::below(rng, 9000));
        if (base::chance(rng, 0.002))
            cutUntil = now + static_cast<Millis>(base::below(rng, 12000));
        std::erase_if(answers, [&](const Answer& answer) {
            if (answer.arrivesAt > now)
                return false;
            if (answer.isLost)
                applyFailure(calls, times, answer.call, false, now);
            else if (applyAnswer(calls, times, answer.call, answer.readAt >= changedAt ? 6 : 5, false, now))
                knowsChange = knowsChange || answer.readAt >= changedAt;
            return true;
        });
        if (isCallDue(calls, now)) {
            const Millis delay = static_cast<Millis>(base::below(rng, base::chance(rng, 0.2) ? 4000 : 100));
            const Millis readAt = now + static_cast<Millis>(base::below(rng, static_cast<std::uint64_t>(delay) + 1));
            const bool isLost = now < cutUntil;
            answers.push_back({ beginCall(calls, times, now), readAt, now + (isLost ? 1500 : delay), isLost });
        }
        const Millis ageMs = calls.askedAt > 0 ? now - calls.askedAt : -1;
        const AccessBasis basis = checksAge ? basisFor(ageMs, bounds) : recent;
        for (const Millis sentAt : requests) {
            const auto statusOf = [&](const QByteArray& key) {
                return decideAccess(bearer(key), {}, versions[knowsChange ? 1 : 0], basis).status;
            };
            const int status = statusOf("old");
            tally.served += status == 200 ? 1 : 0;
            tally.unavailable += status == 503 ? 1 : 0;
            tally.withdrawnServed += status == 200 && sentAt - changedAt > bounds.revocationMs ? 1 : 0;
            tally.addedRefused += statusOf("new") == 401 && sentAt - changedAt > bounds.configurationMs ? 1 : 0;
        }
        requests.clear();
    }
    return tally;
}

class DaemonAccessTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonAccessTest);
    CPPUNIT_TEST(headersAreJudged);
    CPPUNIT_TEST(publicQueuesAndOtherDeploymentsNeedNoKey);
    CPPUNIT_TEST(outdatedConfigurationsRefuseNothingForGood);
    CPPUNIT_TEST(withdrawnKeysEndWithinTheirTime);
    CPPUNIT_TEST(jobsAreOpenToTheirAccount);
    CPPUNIT_TEST(gangsAboveTheCapAreFound);
    CPPUNIT_TEST(countedAccountsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is served without exactly one header with a valid key.
    void headersAreJudged()
    {
        const scheduler::Configuration configuration
            = withKeys({ { "k1", "a" }, { longKey, "b" }, { "\xc3\xa4", "c" }, { "k 2", "d" } });
        const struct {
            http::Headers headers;
            RefusalCause cause;
            std::string account;
        } cases[] = {
            { {}, RefusalCause::NoKey, "" },
            { bearer("k1"), RefusalCause::None, "a" },
            { { { "authorization", "bEARER   k1 " } }, RefusalCause::None, "a" },
            { bearer(longKey), RefusalCause::None, "b" },
            { bearer("\xc3\xa4"), RefusalCause::None, "c" },
            { bearer("k 2"), RefusalCause::None, "d" },
            { bearer("\xe4"), RefusalCause::UnknownKey, "" },
            { bearer(QByteArray("k1\0", 3)), RefusalCause::UnknownKey, "" },
            { bearer("\xff\xfe\x80"), RefusalCause::UnknownKey, "" },
            { bearer(longKey + 'x'), RefusalCause::UnknownKey, "" },
            { bearer("K1"), RefusalCause::UnknownKey, "" },
            { bearer("k1, Bearer k1"), RefusalCause::UnknownKey, "" },
            { bearer("k1 k1"), RefusalCause::UnknownKey, "" },
            { { { "Authorization", "Bearer k1" }, { "AUTHORIZATION", "Bearer k1" } }, RefusalCause::SeveralHeaders,
                "" },
            { { { "Authorization", "Basic k1" } }, RefusalCause::OtherScheme, "" },
            { { { "Authorization", "Bearerk1" } }, RefusalCause::OtherScheme, "" },
            { { { "Authorization", "k1" } }, RefusalCause::OtherScheme, "" },
            { { { "Authorization", "Bearer" } }, RefusalCause::NoToken, "" },
            { { { "Authorization", "" } }, RefusalCause::NoKey, "" },
            { { { "Proxy-Authorization", "Bearer k1" } }, RefusalCause::NoKey, "" },
        };
        for (const auto& entry : cases) {
            const Access access = decideAccess(entry.headers, {}, configuration, recent);
            CPPUNIT_ASSERT_EQUAL(std::string(base::nameOf(refusalCauseNames, entry.cause)),
                std::string(base::nameOf(refusalCauseNames, access.cause)));
            CPPUNIT_ASSERT_EQUAL(entry.cause == RefusalCause::None ? 200 : 401, access.status);
            CPPUNIT_ASSERT_EQUAL(entry.account, access.account);
        }
    }

    void publicQueuesAndOtherDeploymentsNeedNoKey()
    {
        scheduler::Queue open;
        open.isPublic = true;
        for (const http::Headers& headers : { http::Headers {}, bearer("k1"), bearer("no") }) {
            for (const AccessBasis& basis : { recent, AccessBasis {} }) {
                const Access onPublic = decideAccess(headers, open, withKeys({ { "k1", "a" } }), basis);
                CPPUNIT_ASSERT(onPublic.status == 200 && onPublic.account.empty());
                CPPUNIT_ASSERT_EQUAL(200, decideAccess(headers, {}, {}, basis).status);
            }
        }
    }

    // Guards against a 401 that a newer version would not give, and, with revocation, against any answer by an
    // outdated one.
    void outdatedConfigurationsRefuseNothingForGood()
    {
        const scheduler::Configuration configuration = withKeys({ { "k1", "a" } });
        const struct {
            Millis ageMs;
            int revocationMs;
            int statusOfKnown;
            int statusOfUnknown;
        } cases[] = { { 3000, 0, 200, 401 }, { 3001, 0, 200, 503 }, { -1, 0, 200, 503 }, { 3000, 5000, 200, 401 },
            { 3001, 5000, 503, 503 }, { -1, 5000, 503, 503 }, { 1000, 1000, 200, 401 }, { 1001, 1000, 503, 503 } };
        for (const auto& entry : cases) {
            PlatformBounds bounds;
            bounds.configurationMs = 3000;
            bounds.revocationMs = entry.revocationMs;
            const AccessBasis basis = basisFor(entry.ageMs, bounds);
            CPPUNIT_ASSERT_EQUAL(entry.statusOfKnown, decideAccess(bearer("k1"), {}, configuration, basis).status);
            for (const http::Headers& headers : { bearer("k2"), http::Headers {} })
                CPPUNIT_ASSERT_EQUAL(entry.statusOfUnknown, decideAccess(headers, {}, configuration, basis).status);
        }
    }

    // Guards against a withdrawn key that is served beyond its time, and an added one that is refused beyond its, by a
    // daemon that is cut from the store, gets its answers late or is paused. Without the check of the age both occur.
    void withdrawnKeysEndWithinTheirTime()
    {
        constexpr int schedules = 300;
        Tally checked;
        Tally unchecked;
        for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
            for (const bool checksAge : { true, false }) {
                const Tally tally = play(seed, checksAge);
                Tally& sum = checksAge ? checked : unchecked;
                sum.served += tally.served;
                sum.unavailable += tally.unavailable;
                sum.withdrawnServed += tally.withdrawnServed;
                sum.addedRefused += tally.addedRefused;
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, checked.withdrawnServed);
        CPPUNIT_ASSERT_EQUAL(0, checked.addedRefused);
        CPPUNIT_ASSERT(checked.served > 50 * schedules && checked.unavailable > schedules);
        CPPUNIT_ASSERT(unchecked.withdrawnServed > schedules && unchecked.addedRefused > schedules);
    }

    void jobsAreOpenToTheirAccount()
    {
        CPPUNIT_ASSERT(mayUseJob("a", "a") && mayUseJob("a", "") && mayUseJob("", ""));
        CPPUNIT_ASSERT(!mayUseJob("a", "b") && !mayUseJob("", "b"));
    }

    // Guards against a gang that waits for ever, and against the refusal of tasks that run one after the other.
    void gangsAboveTheCapAreFound()
    {
        scheduler::JobRequest job;
        scheduler::Step step;
        step.count = 4;
        step.cpuMillicores = 2000;
        step.memoryMb = 100;
        step.gpus = 1;
        job.steps = { step, step };
        const scheduler::Capacity tight { 7999, 0, 0 };
        CPPUNIT_ASSERT(gangOverCap(job, tight).empty()); // runs in waves
        job.steps[1].isGang = true;
        CPPUNIT_ASSERT(gangOverCap(job, tight).starts_with("step 1 "));
        CPPUNIT_ASSERT(gangOverCap(job, { 8000, 400, 4 }).empty() && gangOverCap(job, {}).empty());
        CPPUNIT_ASSERT(!gangOverCap(job, { 0, 399, 0 }).empty() && !gangOverCap(job, { 0, 0, 3 }).empty());
        job.steps[1].count = 10000;
        job.steps[1].cpuMillicores = 2'000'000'000; // the sum does not fit into 32 bits
        CPPUNIT_ASSERT(!gangOverCap(job, { 2'000'000'000, 0, 0 }).empty());
        job.steps[1].count = 1; // may run alone
        CPPUNIT_ASSERT(gangOverCap(job, tight).empty());
    }

    // Guards against metrics that grow with the accounts of all versions of the configuration.
    void countedAccountsAreBounded()
    {
        AccountRefusals refusals;
        for (int i = 0; i < 1000; ++i)
            countRefusal(refusals, "account-" + std::to_string(i), RefusalCause::TooMany);
        CPPUNIT_ASSERT_EQUAL(std::string("account-5"), countRefusal(refusals, "account-5", RefusalCause::OverCap));
        CPPUNIT_ASSERT_EQUAL(otherAccounts, countRefusal(refusals, "account-900", RefusalCause::TooMany));
        CPPUNIT_ASSERT_EQUAL(maxCountedAccounts + 1, refusals.byAccount.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(901), refusals.byAccount.at(otherAccounts).at(RefusalCause::TooMany));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonAccessTest);

} // namespace
