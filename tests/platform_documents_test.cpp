// Tests of the platform's document decoders (every field is decoded, invalid bytes are rejected) and of stored records.
#include "base/rng.h"
#include "platform/documents.h"
#include "platform/worker_entry.h"
#include "scheduler/record.h"

#include <QJsonDocument>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::platform;

QByteArray workerText(
    const QByteArray& address, qint64 sequence, const QByteArray& state = "ready", const QByteArray& machine = "m")
{
    return R"({"address":")" + address + R"(","backend":"pool","born":99,"capacity":{"cpu":16000,"mem_mb":32768},)"
        + R"("clock_ms":)" + QByteArray::number(1000 * sequence + 7) + R"(,"labels":["a","r1"],"machine":")" + machine
        + R"(",)" + R"("remaining_ms":0,"seq":)" + QByteArray::number(sequence) + R"(,"state":")" + state
        + R"(","zone":"z"})";
}

using DecodedEntry = base::Result<scheduler::WorkerEntry, std::string>;

bool isEqual(const DecodedEntry& decodedA, const DecodedEntry& decodedB)
{
    if (decodedA.has_error() || decodedB.has_error())
        return decodedA.has_error() && decodedB.has_error() && decodedA.error() == decodedB.error();
    const scheduler::WorkerEntry& a = decodedA.value();
    const scheduler::WorkerEntry& b = decodedB.value();
    return a.id == b.id && a.service == b.service && a.address == b.address && a.dataCentre == b.dataCentre
        && a.machine == b.machine && a.labels == b.labels && a.capacity.cpuMillicores == b.capacity.cpuMillicores
        && a.capacity.memoryMb == b.capacity.memoryMb && a.capacity.gpus == b.capacity.gpus
        && a.incarnationUnixMs == b.incarnationUnixMs && a.isDraining == b.isDraining && a.remainingMs == b.remainingMs;
}

class PlatformDocumentsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformDocumentsTest);
    CPPUNIT_TEST(configurationIsDecoded);
    CPPUNIT_TEST(invalidWorkerEntriesAreRejected);
    CPPUNIT_TEST(changedEntriesAreDecodedAgain);
    CPPUNIT_TEST(cachedEntriesEqualDecodedOnesForAnyBytes);
    CPPUNIT_TEST(everyFieldOfAJobIsDecodedAndStored);
    CPPUNIT_TEST(badJobsAreRefusedWithAReason);
    CPPUNIT_TEST(jobsTooLargeForTheMemoryAreRefused);
    CPPUNIT_TEST(jobIdsAreSixteenHexadecimalDigits);
    CPPUNIT_TEST(progressSurvivesTheRecord);
    CPPUNIT_TEST(progressRecordsKeepTheirFormat);
    CPPUNIT_TEST(recordedWorkersSurviveTheRecord);
    CPPUNIT_TEST(anyProgressSurvivesTheRecord);
    CPPUNIT_TEST_SUITE_END();

public:
    void configurationIsDecoded()
    {
        const auto configuration = decodeConfiguration(
            R"({"version":7,"routes":[{"name":"r1","hostname":"h","prefix":"/p/","timeout_ms":3000,"goal_ms":250,
                "priority":0,"backend":"pool","max_attempts":3,"stretch":1.5}],
                "services":[{"name":"pool","rejects_overload":true}],"limits":{"max_body_bytes":1000}})");
        CPPUNIT_ASSERT(configuration.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), configuration->version);
        const scheduler::Queue& queue = configuration->queues.at(0);
        CPPUNIT_ASSERT(queue.host == "h" && queue.prefix == "/p/" && queue.policy.service == "pool");
        CPPUNIT_ASSERT(queue.policy.maxAttempts == 3 && queue.policy.stretch == 1.5 && queue.policy.goalMs == 250);
        CPPUNIT_ASSERT(configuration->services.at("pool").rejectsOverload);
        CPPUNIT_ASSERT_EQUAL(1000, configuration->maxBodyBytes);
        CPPUNIT_ASSERT(!decodeConfiguration("{\"version\":\"7\",\"routes\":[]}"));
        CPPUNIT_ASSERT(!decodeConfiguration("no json"));
    }

    // Guards against placing work on an invalid entry that another writer stored under the workers' prefix.
    void invalidWorkerEntriesAreRejected()
    {
        const QByteArray valid
            = R"({"backend":"pool","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"draining",
                "capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1"],"clock_ms":5,"seq":4,"born":99,
                "remaining_ms":1500})";
        const auto decoded = decodeWorker("i-1", valid);
        CPPUNIT_ASSERT(decoded.has_value());
        const scheduler::WorkerEntry& entry = decoded.value();
        CPPUNIT_ASSERT(entry.isDraining && entry.remainingMs == 1500 && entry.incarnationUnixMs == 99);
        CPPUNIT_ASSERT(entry.capacity.cpuMillicores == 16000 && entry.capacity.gpus == 1);
        for (const char* field : { "backend", "address", "zone", "state", "capacity", "labels" }) {
            QByteArray broken = valid;
            broken.replace('"' + QByteArray(field) + '"', "\"other\"");
            CPPUNIT_ASSERT_MESSAGE(field, !decodeWorker("i-1", broken));
        }
        QByteArray strange = valid;
        strange.replace("draining", "asleep");
        CPPUNIT_ASSERT(!decodeWorker("i-1", strange));
        CPPUNIT_ASSERT(!decodeWorker("i-1", "\xff\xfe"));
    }

    // Guards against a field of a step that is lost between the caller's request and the record that the next term
    // loads.
    void everyFieldOfAJobIsDecodedAndStored()
    {
        const auto job = decodeJob("0123456789abcdef",
            R"({"spec":"text","steps":[{"count":4,"cpu":500},{"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,
                "estimate_ms":7000,"after":[0],"checkpoint":true,"gang":true,"same_rack":true,"requirements":"ssd",
                "affinity":"r1-3","anti_affinity":2,"speculative":true,"long_running":true,"max_unavailable":1,
                "image":"im","target_ms":20,"fills":true}],"repeat_count":3,"start_at_ms":1700000000000,
                "interval_ms":5000})");
        CPPUNIT_ASSERT(job.has_value());
        const auto stored = scheduler::decodeAccepted(scheduler::encodeAccepted({ job.value(), {}, 12 }));
        CPPUNIT_ASSERT(stored.has_value());
        const scheduler::Step& step = stored->request.steps.at(1);
        CPPUNIT_ASSERT(step.count == 2 && step.cpuMillicores == 2000 && step.memoryMb == 1024 && step.gpus == 1);
        CPPUNIT_ASSERT(step.estimateMs == 7000 && step.after == std::vector<int> { 0 } && step.hasCheckpoints);
        CPPUNIT_ASSERT(step.isGang && step.isSameRack && step.isSpeculative && step.isLasting && step.isFilling);
        CPPUNIT_ASSERT(step.requiredLabel == "ssd" && step.dataRack == "r1-3" && step.image == "im");
        CPPUNIT_ASSERT(step.maxPerWorker == 2 && step.maxUnavailable == 1 && step.latencyTargetMs == 20);
        CPPUNIT_ASSERT(stored->request.repeatCount == 3 && stored->request.intervalMs == 5000);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1700000000000), stored->request.firstStartUnixMs);
    }

    void badJobsAreRefusedWithAReason()
    {
        const char* bodies[] = { "", "[]", "{\"steps\":[{\"count\":1}]}", "{\"spec\":\"s\",\"steps\":[]}",
            "{\"spec\":\"s\",\"steps\":[{\"count\":0}]}", "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":-5}]}",
            "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":\"5\"}]}",
            "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
            "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"gang\":1}]}" };
        for (const char* body : bodies) {
            const auto job = decodeJob("0123456789abcdef", body);
            CPPUNIT_ASSERT_MESSAGE(body, job.has_error() && !job.error().empty());
        }
        const QByteArray longSpec = "{\"spec\":\"" + QByteArray(4001, 'x') + "\",\"steps\":[{\"count\":1}]}";
        CPPUNIT_ASSERT(decodeJob("0123456789abcdef", longSpec).has_error());
    }

    // Guards against one job that ends every daemon that takes the term, because its tasks need more memory than there
    // is.
    void jobsTooLargeForTheMemoryAreRefused()
    {
        const auto isAccepted = [](const QByteArray& steps, const QByteArray& rest = {}) {
            return decodeJob("0123456789abcdef", R"({"spec":"s","steps":[)" + steps + "]" + rest + "}").has_value();
        };
        const QByteArray step = R"({"count":10000,"cpu":1})";
        QByteArray many = step;
        for (int i = 1; i < 10; ++i)
            many += "," + step;
        CPPUNIT_ASSERT(isAccepted(many));
        CPPUNIT_ASSERT(!isAccepted(many + R"(,{"count":1})"));
        CPPUNIT_ASSERT(!isAccepted(many, R"(,"repeat_count":2)"));
        CPPUNIT_ASSERT(isAccepted(R"({"count":1})", R"(,"repeat_count":10000)"));
        CPPUNIT_ASSERT(!isAccepted(R"({"count":1})", R"(,"repeat_count":10001)"));
        CPPUNIT_ASSERT(!isAccepted(R"({"count":1})", R"(,"repeat_count":2000000000)"));
        CPPUNIT_ASSERT(
            !scheduler::decodeAccepted(R"({"id":"0123456789abcdef","steps":[{"count":1}],"repeatCount":2000000000})"));
        for (const char* time : { "9223372036854775807", "-1", "1e300", "0.5", "\"5\"" }) {
            for (const char* field : { "start_at_ms", "interval_ms" })
                CPPUNIT_ASSERT_MESSAGE(
                    time, !isAccepted(R"({"count":1})", R"(,"repeat_count":2,")" + QByteArray(field) + "\":" + time));
        }
    }

    // Guards against placing work by a stale cached entry after it was changed, removed, added again or overwritten.
    void changedEntriesAreDecodedAgain()
    {
        WorkerEntryCache cache;
        const auto check = [&cache](const std::string& id, const QByteArray& bytes) {
            const DecodedEntry plain = decodeWorker(id, bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes.toStdString(), isEqual(plain, cache.decode(id, bytes)));
            return plain.has_value();
        };
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:1", 9)));
        CPPUNIT_ASSERT(check("i-2", workerText("10.0.0.1:2", 9)));
        cache.evictUnlisted();
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:1", 10)));
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:2", 10)));
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:2", 11, "draining")));
        cache.evictUnlisted();
        CPPUNIT_ASSERT(check("i-2", workerText("10.0.0.1:3", 11))); // was missing from one list
        CPPUNIT_ASSERT(!check("i-1", "garbage"));
        CPPUNIT_ASSERT(!check("i-1", ""));
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:2", 12)));
        QByteArray other = workerText("10.0.0.1:2", 12);
        other.replace("\"seq\":12", "\"seq\":012"); // not valid JSON
        CPPUNIT_ASSERT(!check("i-1", other));
        CPPUNIT_ASSERT(!check("i-1", other));
        CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:2", 12)));
        other = workerText("10.0.0.1:2", 12);
        other.replace("\"seq\":12", "\"seq\":\"12\"");
        CPPUNIT_ASSERT(check("i-1", other));
        for (const char* machine : { "h\\\",\\\"seq\\\":1,", "h\\\",\\\"seq\\\":2,", "h\\\\", "\\\"seq\\\":3" })
            CPPUNIT_ASSERT(check("i-1", workerText("10.0.0.1:2", 13, "ready", machine)));
        QByteArray capacity = workerText("10.0.0.1:2", 13);
        capacity.replace("\"cpu\":16000", "\"cpu\":8000");
        CPPUNIT_ASSERT(check("i-1", capacity));
    }

    // Guards against a stale cached entry: the cache compares bytes, and the comparison must never treat entries as
    // equal that the JSON parser reads differently.
    void cachedEntriesEqualDecodedOnesForAnyBytes()
    {
        const std::vector<QByteArray> pieces { "\"", "\\", "\"seq\":", "\"clock_ms\":", "1", "0", "-", ".5", "e9", ",",
            "}", "{", "[", "]", " ", "\n", "99999999999999999999", "\"seq\"", "seq", "\"cpu\":", QByteArray(1, '\0'),
            "\xff" };
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            base::Rng rng(seed);
            WorkerEntryCache cache;
            QByteArray bytes = workerText("10.0.0.1:1", 1);
            for (int i = 0; i < 100; ++i) {
                const auto at = static_cast<qsizetype>(base::below(rng, static_cast<std::uint64_t>(bytes.size()) + 1));
                const QByteArray& piece = pieces[base::below(rng, pieces.size())];
                switch (base::below(rng, 4)) {
                case 0:
                    bytes = workerText("10.0.0.1:1", static_cast<qint64>(base::below(rng, 3000)));
                    break;
                case 1:
                    bytes.insert(at, piece);
                    break;
                case 2:
                    bytes.remove(at, 1);
                    break;
                default: {
                    const qsizetype number = bytes.indexOf("\"seq\":", at);
                    if (number >= 0)
                        bytes.insert(number + 6, piece);
                }
                }
                CPPUNIT_ASSERT_MESSAGE(
                    bytes.toStdString(), isEqual(decodeWorker("i-1", bytes), cache.decode("i-1", bytes)));
            }
        }
    }

    void jobIdsAreSixteenHexadecimalDigits()
    {
        CPPUNIT_ASSERT(isJobId("0123456789abcdef"));
        CPPUNIT_ASSERT(!isJobId("0123456789abcde"));
        CPPUNIT_ASSERT(!isJobId("0123456789abcdeg"));
        CPPUNIT_ASSERT(!isJobId("0123456789abcdef/"));
    }

    // Guards against a new term that restarts finished tasks or loses failed runs and checkpoints.
    void progressSurvivesTheRecord()
    {
        scheduler::Scheduler state;
        scheduler::JobRequest request;
        request.id = "0123456789abcdef";
        request.steps.resize(1);
        request.steps[0].count = 3;
        scheduler::Job& job = scheduler::addJob(state, request, {}, 0, 0, 0);
        auto& tasks = job.occurrences.at(0).steps.at(0).tasks;
        tasks[0].phase = scheduler::TaskPhase::Done;
        job.occurrences.at(0).steps.at(0).done = 1;
        tasks[1].endedRun = 4;
        tasks[1].failedRuns = { 2, 4 };
        tasks[2].checkpoint = "saved";
        job.version = 9;
        scheduler::Scheduler next;
        scheduler::Job& copy = scheduler::addJob(next, request, {}, 0, 0, 0);
        CPPUNIT_ASSERT(scheduler::restoreProgress(copy, scheduler::encodeProgress(job, 0)));
        const auto& restored = copy.occurrences.at(0).steps.at(0);
        CPPUNIT_ASSERT(restored.done == 1 && restored.tasks[0].phase == scheduler::TaskPhase::Done);
        CPPUNIT_ASSERT(restored.tasks[1].endedRun == 4
            && restored.tasks[1].failedRuns == std::vector<scheduler::RunNumber>({ 2, 4 }));
        CPPUNIT_ASSERT(restored.tasks[2].checkpoint == "saved");
        CPPUNIT_ASSERT(!scheduler::restoreProgress(copy, "{\"state\":\"asleep\"}"));
        CPPUNIT_ASSERT(!scheduler::decodeAccepted("{\"id\":\"j\",\"steps\":[{\"count\":-1}]}"));
        CPPUNIT_ASSERT(!scheduler::decodeAccepted("{\"id\":\"j\",\"steps\":[{\"count\":1,\"after\":[0]}]}"));
    }

    // Guards against a changed record format that daemons of another version cannot read.
    void progressRecordsKeepTheirFormat()
    {
        scheduler::Scheduler state;
        scheduler::JobRequest request;
        request.id = "0123456789abcdef";
        request.steps.resize(2);
        request.steps[0].count = 4;
        request.steps[1].count = 1;
        scheduler::Job& job = scheduler::addJob(state, request, {}, 0, 0, 0);
        auto& tasks = job.occurrences.at(0).steps.at(0).tasks;
        tasks[0].phase = scheduler::TaskPhase::Done;
        tasks[0].endedRun = 1;
        tasks[1].phase = scheduler::TaskPhase::Failed;
        tasks[1].endedRun = 4;
        tasks[1].failedRuns = { 2, 4 };
        tasks[2].failedRuns = { 1 };
        tasks[2].checkpoint = "a\"b\\\n\xc3\xa4";
        tasks[3].endedRun = 12;
        tasks[3].checkpoint = "00000bb87a21d94b";
        job.version = 9;
        job.hasStarted = true;
        const auto parsed = [](const QByteArray& bytes) { return QJsonDocument::fromJson(bytes); };
        const QByteArray expected = R"({"state":")" + QByteArray(nameOf(scheduler::jobStateNames, job.state).data())
            + R"(","version":9,"hasStarted":true,"endedUnixMs":0,"occurrences":{"0":[{"tasks":"df..",)"
            + R"("endedRuns":{"1":4,"3":12},"failedRuns":{"1":[2,4],"2":[1]},)"
            + "\"checkpoints\":{\"2\":\"a\\\"b\\\\\\n\xc3\xa4\",\"3\":\"00000bb87a21d94b\"}},{\"tasks\":\".\"}]}}";
        CPPUNIT_ASSERT(parsed(expected).isObject());
        CPPUNIT_ASSERT_EQUAL(
            parsed(expected).toJson().toStdString(), parsed(scheduler::encodeProgress(job, 0)).toJson().toStdString());
        job.state = scheduler::JobState::Completed;
        job.endedUnixMs = 1764857165123;
        CPPUNIT_ASSERT_EQUAL(
            parsed(R"({"state":"completed","version":9,"hasStarted":true,"endedUnixMs":1764857165123})")
                .toJson()
                .toStdString(),
            parsed(scheduler::encodeProgress(job, 0)).toJson().toStdString());
    }

    // Guards against a new term that relies on another worker than the recorded one, or on half of a record.
    void recordedWorkersSurviveTheRecord()
    {
        scheduler::Scheduler state;
        scheduler::JobRequest request;
        request.id = "0123456789abcdef";
        request.steps.resize(1);
        request.steps[0].count = 4;
        request.steps[0].isLasting = true;
        scheduler::Job& job = scheduler::addJob(state, request, {}, 0, 0, 0);
        std::vector<scheduler::Task>& tasks = job.occurrences.at(0).steps[0].tasks;
        tasks[0].recordedWorker = tasks[3].recordedWorker = "w1";
        tasks[1].recordedWorker = "w2";
        const QByteArray record = scheduler::encodeProgress(job, 77);
        scheduler::Scheduler next;
        scheduler::Job& copy = scheduler::addJob(next, request, {}, 0, 0, 0);
        CPPUNIT_ASSERT(scheduler::restoreProgress(copy, record));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), copy.storedRunsRecordedSince);
        const std::vector<std::string> expected { "w1", "w2", "", "w1" };
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(expected[i], copy.occurrences.at(0).steps[0].tasks[i].storedWorker);
        for (const char* index : { "4", "-1", "0.5", "\"0\"", "null" }) {
            QByteArray malformed = record;
            malformed.replace("[1]", QByteArray("[") + index + "]");
            CPPUNIT_ASSERT_MESSAGE(index, malformed != record);
            CPPUNIT_ASSERT_MESSAGE(index, !scheduler::restoreProgress(copy, malformed));
        }
    }

    // Guards against checkpoints and run numbers that change between encoding and decoding, such as by a missing
    // escape.
    void anyProgressSurvivesTheRecord()
    {
        constexpr std::uint64_t maxRun = 9'007'199'254'740'991; // largest exact whole number in JSON
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            base::Rng rng(seed);
            scheduler::Scheduler state;
            scheduler::JobRequest request;
            request.id = "0123456789abcdef";
            request.steps.resize(1 + base::below(rng, 3));
            for (scheduler::Step& step : request.steps)
                step.count = 1 + static_cast<int>(base::below(rng, 25));
            scheduler::Job& job = scheduler::addJob(state, request, {}, 0, 0, 0);
            for (scheduler::StepProgress& step : job.occurrences.at(0).steps) {
                for (scheduler::Task& task : step.tasks) {
                    task.phase = base::chance(rng, 0.2) ? scheduler::TaskPhase::Failed : scheduler::TaskPhase::Waiting;
                    task.endedRun
                        = base::chance(rng, 0.5) ? static_cast<scheduler::RunNumber>(base::below(rng, maxRun)) : 0;
                    for (std::uint64_t i = base::below(rng, 3); i > 0; --i)
                        task.failedRuns.push_back(static_cast<scheduler::RunNumber>(base::below(rng, maxRun)));
                    for (std::uint64_t i = base::below(rng, 8); i > 0; --i)
                        task.checkpoint += static_cast<char>(base::below(rng, 128)); // control characters included
                }
            }
            scheduler::Scheduler next;
            scheduler::Job& copy = scheduler::addJob(next, request, {}, 0, 0, 0);
            CPPUNIT_ASSERT(scheduler::restoreProgress(copy, scheduler::encodeProgress(job, 0)));
            for (std::size_t i = 0; i < request.steps.size(); ++i) {
                const auto& tasks = job.occurrences.at(0).steps[i].tasks;
                const auto& restored = copy.occurrences.at(0).steps[i].tasks;
                for (std::size_t k = 0; k < tasks.size(); ++k) {
                    CPPUNIT_ASSERT(restored[k].phase == tasks[k].phase && restored[k].endedRun == tasks[k].endedRun);
                    CPPUNIT_ASSERT(restored[k].failedRuns == tasks[k].failedRuns);
                    CPPUNIT_ASSERT(restored[k].checkpoint == tasks[k].checkpoint);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDocumentsTest);

} // namespace
