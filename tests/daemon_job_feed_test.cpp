// Tests of JobFeed: a follower learns every state once, over terms, in replies that the link carries.
#include "daemon/job_feed.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <random>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;
using scheduler::JobState;

class JobFeedTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobFeedTest);
    CPPUNIT_TEST(newTermSendsOnlyWhatWasStoredSince);
    CPPUNIT_TEST(cutAmongEqualRevisionsLosesNothing);
    CPPUNIT_TEST(followerKnowsAllStatesOverTerms);
    CPPUNIT_TEST(repliesLeaveTheLinkToOrders);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a new leader that sends the states of all jobs to all daemons at once: 200 KB in the first second
    // over a link of 2 Mbit/s, beside which no worker's first report arrived in time (day trouble-3 of the large
    // deployment, small).
    void newTermSendsOnlyWhatWasStoredSince()
    {
        JobFeed feed;
        for (int i = 0; i < 300; ++i)
            feed.append({ "job" + std::to_string(i), JobState::Completed }, 1000 - i);
        feed.sort();
        const FeedPart since = feed.part(std::nullopt, 997, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), since.changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("job2"), since.changes[0].id);
        CPPUNIT_ASSERT(since.isLast);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1000), since.knownRevision);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(300), since.next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), feed.part(std::nullopt, 0, 500).changes.size());
        CPPUNIT_ASSERT(feed.part(std::nullopt, 2000, 500).changes.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2000), feed.part(std::nullopt, 2000, 500).knownRevision);
    }

    void cutAmongEqualRevisionsLosesNothing()
    {
        JobFeed feed;
        for (int i = 0; i < 10; ++i)
            feed.append({ "job" + std::to_string(i), JobState::Running }, 50);
        const FeedPart first = feed.part(std::nullopt, 0, 4);
        CPPUNIT_ASSERT(!first.isLast);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(49), first.knownRevision);
        // The next leader has the same states; the follower has seen some of them.
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), feed.part(std::nullopt, first.knownRevision, 500).changes.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), feed.part(first.next, first.knownRevision, 500).changes.size());
    }

    void followerKnowsAllStatesOverTerms()
    {
        std::mt19937 random(3);
        const auto below = [&](int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random); };
        std::map<std::string, std::pair<JobState, std::int64_t>> stored; // with the revision of the record
        std::map<std::string, JobState> known;
        std::int64_t revision = 0;
        std::int64_t knownRevision = 0;
        for (int term = 0; term < 60; ++term) {
            JobFeed feed;
            for (const auto& [id, record] : stored)
                feed.append({ id, record.first }, record.second);
            feed.sort();
            std::optional<std::int64_t> position;
            for (int message = below(12); message >= 0; --message) {
                ++revision;
                for (int i = below(6); i > 0; --i) {
                    const std::string id = "job" + std::to_string(below(200));
                    stored[id] = { below(2) == 0 ? JobState::Running : JobState::Completed, revision };
                    feed.append({ id, stored[id].first }, revision);
                }
                if (below(4) == 0) // the message is lost
                    continue;
                const FeedPart part = feed.part(position, knownRevision, 9);
                for (const scheduler::JobChange& change : part.changes)
                    known[change.id] = change.state;
                position = part.next;
                knownRevision = part.knownRevision;
                for (const auto& [id, record] : stored) {
                    if (part.isLast || record.second <= knownRevision)
                        CPPUNIT_ASSERT_MESSAGE(id, known.count(id) > 0 && known.at(id) == record.first);
                }
            }
        }
    }

    void repliesLeaveTheLinkToOrders()
    {
        constexpr int syncMs = 200;
        CPPUNIT_ASSERT_EQUAL(std::size_t(500), changesPerReply(0, 96, syncMs));
        for (const double linkMbps : { 2.0, 20.0, 200.0 }) {
            for (const std::size_t followers : { 6, 21, 96 }) {
                const double changes = static_cast<double>(changesPerReply(linkMbps, followers, syncMs) * followers);
                const double bytesPerSecond = changes * 34 * 1000 / syncMs;
                if (changesPerReply(linkMbps, followers, syncMs) > 8)
                    CPPUNIT_ASSERT(bytesPerSecond < 0.25 * linkMbps * 125000);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobFeedTest);

} // namespace
