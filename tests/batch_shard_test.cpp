// Tests of the shard: attempts, transfers, events, and its JSON form.
#include "batch/shard.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing::batch;
using lacewing::base::JobId;
using lacewing::base::WorkerId;

const ShardLimits limits;

JobSpec spec(const std::string& id, JobClass jobClass = JobClass::Batch)
{
    return { { id }, { "team" }, jobClass, { "service" }, { 1000, 2000, 0 }, 60'000, {} };
}

Shard shardWith(const std::string& id, JobClass jobClass = JobClass::Batch)
{
    Shard shard;
    shard.key = "shards/a/0";
    CPPUNIT_ASSERT(submit(shard, spec(id, jobClass), limits).value());
    return shard;
}

// A shard after a random sequence of calls, legal or not.
Shard randomShard()
{
    Shard shard;
    shard.key = "shards/a/0";
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps) {
        const JobId id { "job" + std::to_string(step % 7) };
        const auto found = shard.jobs.find(id);
        const std::uint32_t attempt = found == shard.jobs.end() ? 0 : found->second.attempt;
        const WorkerId worker { "w" + std::to_string(step % 3) };
        switch (step / 7 % 10) {
        case 0:
        case 1:
            static_cast<void>(submit(shard, spec(id.value, step % 2 ? JobClass::Watch : JobClass::Batch), limits));
            break;
        case 2:
            static_cast<void>(cancel(shard, id, limits));
            break;
        case 3:
        case 4:
            static_cast<void>(plan(shard, id, worker, { 1000, 2000, 0 }));
            break;
        case 5:
            static_cast<void>(onStarted(shard, id, attempt));
            break;
        case 6:
            static_cast<void>(onEnded(shard, id, attempt, step, limits));
            break;
        case 7:
            static_cast<void>(onFailed(shard, id, attempt, "exit \"1\"\n", limits));
            break;
        case 8:
            static_cast<void>(beginTransfer(shard, id, "shards/b/0"));
            break;
        default:
            static_cast<void>(onFinished(shard, id, attempt, limits));
            break;
        }
    }
    return shard;
}

class BatchShardTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BatchShardTest);
    CPPUNIT_TEST(jsonKeepsEverything);
    CPPUNIT_TEST(countsStayRight);
    CPPUNIT_TEST(brokenValuesAreRefused);
    CPPUNIT_TEST(repeatIsTheSameJob);
    CPPUNIT_TEST(attemptsNeverRepeat);
    CPPUNIT_TEST(lateReportOfAnOlderAttemptIsIgnored);
    CPPUNIT_TEST(jobFailsAfterThreeWorkers);
    CPPUNIT_TEST(cancelOfARunningJobWaitsForItsEnd);
    CPPUNIT_TEST(transferIsAcceptedOnce);
    CPPUNIT_TEST(returningJobReplacesItsOpenTransfer);
    CPPUNIT_TEST(valueStaysBelowItsLimit);
    CPPUNIT_TEST(eventsReportGaps);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields that a new owner reads differently from what the old one wrote.
    void jsonKeepsEverything()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Shard shard = randomShard();
            const std::string text = encode(shard, limits).value();
            ShardResult<Shard> read = decode(text, limits);
            RC_ASSERT(read.has_value());
            RC_ASSERT(encode(read.value(), limits).value() == text);
            RC_ASSERT(read.value().active == shard.active);
            RC_ASSERT(read.value().finished == shard.finished);
        }));
    }

    // Guards against a drift of the count that bounds the number of jobs.
    void countsStayRight()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const Shard shard = randomShard();
            std::size_t active = 0;
            for (const auto& [id, job] : shard.jobs) {
                active += isTerminal(job.state) ? 0 : 1;
                RC_ASSERT(isPlaced(job.state) == !job.worker.empty());
            }
            RC_ASSERT(shard.active == active);
            RC_ASSERT(shard.finished.size() == shard.jobs.size() - active);
        }));
    }

    // Guards against a crash or a half-read shard on a damaged value.
    void brokenValuesAreRefused()
    {
        Shard shard = shardWith("a");
        static_cast<void>(plan(shard, { "a" }, { "w" }, { 1, 1, 0 }));
        const std::string text = encode(shard, limits).value();
        for (std::size_t length = 0; length < text.size(); ++length)
            CPPUNIT_ASSERT(!decode(text.substr(0, length), limits));
        CPPUNIT_ASSERT(!decode(R"({"jobs":[{"id":"a","class":"batch","state":"running"}]})", limits));
        CPPUNIT_ASSERT(!decode(R"({"epoch":-1,"jobs":[]})", limits));
        CPPUNIT_ASSERT(!decode(R"({"jobs":[{"id":"a","class":"batch","state":"none"}]})", limits));
        CPPUNIT_ASSERT(!decode(std::string(limits.maxValueBytes + 1, ' '), limits));
    }

    // Guards against a second job for a repeated submission.
    void repeatIsTheSameJob()
    {
        Shard shard = shardWith("a");
        CPPUNIT_ASSERT(!submit(shard, spec("a"), limits).value());
        JobSpec other = spec("a");
        other.durationMs = 1;
        CPPUNIT_ASSERT(submit(shard, other, limits).error().code == ShardError::Code::ContentDiffers);
        CPPUNIT_ASSERT(submit(shard, spec("has space"), limits).error().code == ShardError::Code::InvalidJob);
    }

    // Guards against two starts that a worker cannot tell apart.
    void attemptsNeverRepeat()
    {
        Shard shard = shardWith("a");
        CPPUNIT_ASSERT_EQUAL(1U, plan(shard, { "a" }, { "w1" }, {}).value());
        CPPUNIT_ASSERT(!plan(shard, { "a" }, { "w2" }, {}));
        CPPUNIT_ASSERT(withdrawPlan(shard, { "a" }, 1, limits).value() == JobState::Queued);
        CPPUNIT_ASSERT_EQUAL(2U, plan(shard, { "a" }, { "w2" }, {}).value());
    }

    // Guards against a late report that ends the wrong attempt (I3).
    void lateReportOfAnOlderAttemptIsIgnored()
    {
        Shard shard = shardWith("a");
        static_cast<void>(plan(shard, { "a" }, { "w1" }, {}));
        CPPUNIT_ASSERT(onStarted(shard, { "a" }, 1));
        CPPUNIT_ASSERT(onEnded(shard, { "a" }, 1, 500, limits).value() == JobState::Queued);
        static_cast<void>(plan(shard, { "a" }, { "w2" }, {}));
        CPPUNIT_ASSERT(!onEnded(shard, { "a" }, 1, 500, limits));
        CPPUNIT_ASSERT(!onFinished(shard, { "a" }, 1, limits));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(500), shard.jobs.at({ "a" }).checkpointMs);
    }

    // Guards against a failing job that is tried for ever.
    void jobFailsAfterThreeWorkers()
    {
        Shard shard = shardWith("a");
        JobState state = JobState::Queued;
        for (const char* worker : { "w1", "w1", "w2", "w3" }) {
            CPPUNIT_ASSERT(state == JobState::Queued);
            const std::uint32_t attempt = plan(shard, { "a" }, { worker }, {}).value();
            state = onFailed(shard, { "a" }, attempt, "exit 1", limits).value();
        }
        CPPUNIT_ASSERT(state == JobState::Failed);
        CPPUNIT_ASSERT_EQUAL(std::string("exit 1"), shard.jobs.at({ "a" }).reason);
    }

    // Guards against a cancelled task that goes on while its job is reported as ended.
    void cancelOfARunningJobWaitsForItsEnd()
    {
        Shard shard = shardWith("a");
        static_cast<void>(plan(shard, { "a" }, { "w1" }, {}));
        CPPUNIT_ASSERT(!cancel(shard, { "a" }, limits).value());
        CPPUNIT_ASSERT(onEnded(shard, { "a" }, 1, 0, limits).value() == JobState::Cancelled);
    }

    // Guards against a delayed offer that brings back a job which has since left the target (I2).
    void transferIsAcceptedOnce()
    {
        Shard source = shardWith("a");
        Shard target;
        target.key = "shards/b/0";
        const std::uint64_t number = beginTransfer(source, { "a" }, target.key).value();
        const Job offered = source.jobs.at({ "a" });
        CPPUNIT_ASSERT(acceptTransfer(target, source.key, number, 1, offered, limits).value());
        CPPUNIT_ASSERT(!acceptTransfer(target, source.key, number, 1, offered, limits).value());
        CPPUNIT_ASSERT(endTransfer(source, { "a" }, number, limits));
        CPPUNIT_ASSERT(!endTransfer(source, { "a" }, number, limits));
        static_cast<void>(beginTransfer(target, { "a" }, "shards/c/0"));
        CPPUNIT_ASSERT(endTransfer(target, { "a" }, 1, limits));
        CPPUNIT_ASSERT(!acceptTransfer(target, source.key, number, 1, offered, limits).value());
        // A later offer settles the number; the window stays small.
        CPPUNIT_ASSERT(acceptTransfer(target, source.key, number + 1, number + 1, source.jobs.at({ "a" }), limits));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), target.transfersFrom.at(source.key).accepted.size());
    }

    // Guards against the loss of a job that returns before its first acceptance is heard (fault schedule, seed 22).
    void returningJobReplacesItsOpenTransfer()
    {
        Shard source = shardWith("a");
        Shard target;
        target.key = "shards/b/0";
        const std::uint64_t out = beginTransfer(source, { "a" }, target.key).value();
        static_cast<void>(acceptTransfer(target, source.key, out, 1, source.jobs.at({ "a" }), limits));
        const std::uint64_t back = beginTransfer(target, { "a" }, source.key).value();
        CPPUNIT_ASSERT(acceptTransfer(source, target.key, back, 1, target.jobs.at({ "a" }), limits).value());
        CPPUNIT_ASSERT(source.jobs.at({ "a" }).state == JobState::Queued);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), source.active);
        CPPUNIT_ASSERT(!endTransfer(source, { "a" }, out, limits));
    }

    // Guards against a value that the store refuses: terminal jobs make room, active ones never.
    void valueStaysBelowItsLimit()
    {
        ShardLimits small;
        small.maxValueBytes = 20'000;
        Shard shard;
        shard.key = "shards/a/0";
        for (int index = 0; index < 400; ++index) {
            const std::string id = "job" + std::to_string(index);
            CPPUNIT_ASSERT(submit(shard, spec(id), small));
            if (index % 10 != 0)
                CPPUNIT_ASSERT(cancel(shard, { id }, small).value());
        }
        CPPUNIT_ASSERT(encode(shard, small).value().size() < small.maxValueBytes);
        CPPUNIT_ASSERT_EQUAL(std::size_t(40), shard.active);
        for (int index = 400; index < 800; ++index)
            CPPUNIT_ASSERT(submit(shard, spec("job" + std::to_string(index)), small));
        CPPUNIT_ASSERT(encode(shard, small).error().code == ShardError::Code::TooLarge);
    }

    // Guards against a poll that silently misses events.
    void eventsReportGaps()
    {
        Shard shard = shardWith("a", JobClass::Watch);
        Job& job = shard.jobs.at({ "a" });
        for (int index = 0; index < 100; ++index)
            appendEvent(job, "event " + std::to_string(index), limits);
        const EventPage all = eventsAfter(shard, { "a" }, 0).value();
        CPPUNIT_ASSERT(all.hasGap);
        CPPUNIT_ASSERT_EQUAL(limits.maxEventsPerJob, all.events.size());
        const EventPage last = eventsAfter(shard, { "a" }, all.nextCursor - 1).value();
        CPPUNIT_ASSERT(!last.hasGap);
        CPPUNIT_ASSERT_EQUAL(std::string("event 99"), last.events.at(0).text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BatchShardTest);

} // namespace
