// Tests of the daemon's platform adapters against the stand-in over loopback, and of the stand-in's faults.
#include "http_support.h"

#include "daemon/platform_instances.h"
#include "daemon/platform_store.h"
#include "daemon/platform_worker.h"
#include "standin/standin.h"

#include <QJsonArray>

namespace {

using namespace lacewing;
using namespace lacewing::test;
using Code = store::Error::Code;

// Stand-in in this process, with adapters.
struct Platform {
    explicit Platform(const http::ClientLimits& limits = {})
        : client(limits)
        , standin([] {
            standin::StandinSettings settings;
            settings.dataCentres = { "dc1", "dc2" };
            settings.workers = 2;
            settings.endpoints = 2;
            settings.storeDelayMs = 0;
            settings.reportLagMs = 0;
            settings.entries = { { "d1", "dc1", "127.0.0.1", 99 } };
            return settings;
        }())
    {
        CPPUNIT_ASSERT_EQUAL(std::string(), standin.listen());
        store = std::make_unique<daemon::PlatformStore>(client, base(standin.storePort()), 500);
        instances = std::make_unique<daemon::PlatformInstances>(client, base(standin.adminPort()));
    }

    static std::string base(std::uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

    void fault(const QJsonObject& faults) { CPPUNIT_ASSERT_EQUAL(std::string(), standin.applyFaults(faults)); }

    daemon::WorkerAddress worker(std::size_t index) const { return { "127.0.0.1", standin.workerPort(index) }; }

    QJsonObject endpointCounts(const char* id)
    {
        return standin.counts()["endpoints"].toObject()[QLatin1String(id)].toObject();
    }

    http::ClientResult callEndpoint(const QByteArray& requestId, int timeoutMs = patienceMs)
    {
        http::ClientRequest request;
        request.method = "POST";
        request.url = QByteArray::fromStdString(base(standin.endpointPort(0))) + "/x";
        request.headers = { { "Lacewing-Request-Id", requestId } };
        request.body = "body";
        request.timeoutMs = timeoutMs;
        return exchange(client, request);
    }

    http::Client client;
    standin::Standin standin;
    std::unique_ptr<daemon::PlatformStore> store;
    std::unique_ptr<daemon::PlatformInstances> instances;
};

// Waits for the answer of an asynchronous call.
template <typename T, typename Call> T await(Call call)
{
    std::optional<T> result;
    call([&](T value) { result.emplace(std::move(value)); });
    CPPUNIT_ASSERT(waitUntil([&] { return result.has_value(); }));
    return *result;
}

class PlatformAdapterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformAdapterTest);
    CPPUNIT_TEST(storeRoundTrip);
    CPPUNIT_TEST(lostReplyIsReadBack);
    CPPUNIT_TEST(storeFaultsBecomeErrors);
    CPPUNIT_TEST(watchSeesWritesAndExpires);
    CPPUNIT_TEST(workerLifeCycle);
    CPPUNIT_TEST(workerRefusals);
    CPPUNIT_TEST(pausedAndLostWorkers);
    CPPUNIT_TEST(instanceListLagsAndLies);
    CPPUNIT_TEST(foreignAnswersAreChecked);
    CPPUNIT_TEST(endpointFaults);
    CPPUNIT_TEST(wrongFaultsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    using PutResult = store::Result<store::Version>;
    using GetResult = store::Result<store::Entry>;
    using WatchResult = store::Result<store::WatchAnswer>;
    using Started = base::Result<daemon::WorkerStarted, daemon::WorkerError>;
    using Done = base::Result<daemon::WorkerDone, daemon::WorkerError>;
    using Content = base::Result<daemon::WorkerContent, daemon::WorkerError>;
    using Usage = base::Result<std::vector<daemon::WorkerUsage>, daemon::WorkerError>;
    using Instances = base::Result<std::vector<daemon::InstanceEntry>, daemon::InstancesError>;

    static PutResult put(Platform& platform, const std::string& key, const std::string& value, store::Version expected,
        const std::string& operation)
    {
        return await<PutResult>([&](auto done) { platform.store->put(key, value, expected, operation, done); });
    }

    static GetResult get(Platform& platform, const std::string& key)
    {
        return await<GetResult>([&](auto done) { platform.store->get(key, done); });
    }

    static daemon::WorkerStart startOf(const std::string& task, std::uint64_t attempt, base::Epoch epoch)
    {
        return { task, attempt, epoch, { 1000, 100, 0 }, 60'000, 0, 60'000 };
    }

    static Started start(Platform& platform, std::size_t worker, const daemon::WorkerStart& request)
    {
        daemon::PlatformWorker adapter(platform.client, { 500, 500 });
        return await<Started>([&](auto done) { adapter.start(platform.worker(worker), request, done); });
    }

public:
    // Guards against keys and values that change on their way.
    void storeRoundTrip()
    {
        Platform platform;
        const std::string key = "shards/dc1/ä &?#%1";
        const std::string value = "{\"a\":\"\\u0000 ü \\\" \n\"}";
        CPPUNIT_ASSERT_EQUAL(store::Version(1), put(platform, key, value, 0, "op-1 &").value());
        const GetResult entry = get(platform, key);
        CPPUNIT_ASSERT_EQUAL(value, entry.value().value);
        CPPUNIT_ASSERT_EQUAL(key, entry.value().key);
        CPPUNIT_ASSERT_EQUAL(std::string("op-1 &"), entry.value().operation);
        const std::string large(1'000'000, '\n'); // every byte is escaped in JSON
        CPPUNIT_ASSERT_EQUAL(store::Version(2), put(platform, key, large, 1, "op-2").value());
        CPPUNIT_ASSERT(get(platform, key).value().value == large);
        CPPUNIT_ASSERT(put(platform, key, large + "x", 2, "op-3").error().code == Code::TooLarge);
        CPPUNIT_ASSERT(put(platform, "shards/dc2/1", "x", 0, "op-4").has_value());
        using ListResult = store::Result<store::Listing>;
        const auto listing = await<ListResult>([&](auto done) { platform.store->list("shards/dc1/", done); });
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), listing.value().entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), listing.value().revision);
        using RemoveResult = store::Result<void>;
        const auto remove = [&](store::Version expected) {
            return await<RemoveResult>([&](auto done) { platform.store->remove(key, expected, "op-5", done); });
        };
        CPPUNIT_ASSERT(remove(1).error().code == Code::Conflict);
        CPPUNIT_ASSERT(remove(2).has_value());
        CPPUNIT_ASSERT(get(platform, key).error().code == Code::NotFound);
    }

    // Guards against a write that took effect and is taken for failed, or for another writer's.
    void lostReplyIsReadBack()
    {
        Platform platform;
        platform.fault({ { "store", QJsonObject { { "loseReplies", 1 } } } });
        CPPUNIT_ASSERT(put(platform, "k", "v", 0, "op-1").error().code == Code::Unavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("op-1"), get(platform, "k").value().operation);
        const PutResult repeated = put(platform, "k", "v", 0, "op-1");
        CPPUNIT_ASSERT(repeated.error().code == Code::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("op-1"), repeated.error().operation);
        CPPUNIT_ASSERT_EQUAL(store::Version(1), repeated.error().version);
    }

    // Guards against an outage that looks like an absent key.
    void storeFaultsBecomeErrors()
    {
        Platform platform;
        CPPUNIT_ASSERT(put(platform, "k", "v", 0, "op-1").has_value());
        platform.fault({ { "store", QJsonObject { { "refuses", true } } } });
        CPPUNIT_ASSERT(get(platform, "k").error().code == Code::Unavailable);
        platform.fault({ { "store", QJsonObject { { "refuses", false }, { "away", true } } } });
        CPPUNIT_ASSERT(get(platform, "k").error().code == Code::Unavailable);
        platform.fault({ { "store", QJsonObject { { "away", false }, { "delayMs", 60'000 } } } });
        CPPUNIT_ASSERT(get(platform, "k").error().code == Code::Unavailable);
        platform.fault({ { "store", QJsonObject { { "delayMs", 0 } } } });
        CPPUNIT_ASSERT_EQUAL(std::string("v"), get(platform, "k").value().value);
    }

    // Guards against a watch that misses a write, or that waits for ever after the store forgot events.
    void watchSeesWritesAndExpires()
    {
        Platform platform;
        CPPUNIT_ASSERT(put(platform, "config/current", "1", 0, "op-1").has_value());
        const auto watch = [&](std::uint64_t after, int waitMs) {
            return await<WatchResult>(
                [&](auto done) { platform.store->watch("config/", after, base::milliseconds(waitMs), done); });
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), watch(0, 0).value().events.size());
        const WatchResult idle = watch(1, 50);
        CPPUNIT_ASSERT(idle.value().events.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), idle.value().revision);
        std::optional<WatchResult> waiting;
        platform.store->watch(
            "config/", 1, base::seconds(30), [&](WatchResult result) { waiting.emplace(std::move(result)); });
        CPPUNIT_ASSERT(waitUntil([&] { return platform.standin.store.calls["watch"] == 3; }));
        CPPUNIT_ASSERT(put(platform, "other", "1", 0, "op-2").has_value());
        CPPUNIT_ASSERT(!waiting);
        CPPUNIT_ASSERT(put(platform, "config/current", "2", 1, "op-3").has_value());
        CPPUNIT_ASSERT(waitUntil([&] { return waiting.has_value(); }));
        CPPUNIT_ASSERT_EQUAL(std::string("2"), waiting->value().events.at(0).value.value());
        platform.fault({ { "store", QJsonObject { { "breakWatches", true } } } });
        CPPUNIT_ASSERT(watch(3, 1000).error().code == Code::WatchExpired);
    }

    // Guards against an adapter and a worker that understand a field differently.
    void workerLifeCycle()
    {
        Platform platform;
        daemon::PlatformWorker adapter(platform.client);
        const daemon::WorkerAddress worker = platform.worker(0);
        const auto fenced = await<Content>([&](auto done) { adapter.fence(worker, 3, "d1", done); });
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), fenced.value().worker.value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(16000), fenced.value().capacity.cpuMilli);
        daemon::WorkerStart request = startOf("t1", 1, 3);
        request.checkpointMs = 500;
        CPPUNIT_ASSERT(!start(platform, 0, request).value().already);
        CPPUNIT_ASSERT(start(platform, 0, request).value().already);
        const auto content = await<Content>([&](auto done) { adapter.read(worker, done); });
        const daemon::WorkerTask task = content.value().tasks.at(0);
        CPPUNIT_ASSERT(task.state == daemon::WorkerTaskState::Running);
        CPPUNIT_ASSERT(task.progressMs >= 500 && task.checkpointMs == 500 && task.resources.memoryMb == 100);
        CPPUNIT_ASSERT(await<Done>([&](auto done) { adapter.renew(worker, 3, 1000, done); }).has_value());
        CPPUNIT_ASSERT(await<Done>([&](auto done) { adapter.throttle(worker, "t1", 1, 3, 500, done); }).has_value());
        CPPUNIT_ASSERT(await<Done>([&](auto done) { adapter.checkpoint(worker, "t1", 1, 3, done); }).has_value());
        CPPUNIT_ASSERT(waitUntil([&] {
            const auto reports = await<Usage>([&](auto done) { adapter.reports(worker, done); });
            return reports.value().size() == 1 && reports.value()[0].task == "t1" && reports.value()[0].cpuMilli == 500;
        }));
        CPPUNIT_ASSERT(await<Done>([&](auto done) { adapter.stop(worker, "t1", 1, 3, done); }).has_value());
        const auto stopped = await<Content>([&](auto done) { adapter.read(worker, done); });
        CPPUNIT_ASSERT(stopped.value().tasks.at(0).state == daemon::WorkerTaskState::Stopped);
        CPPUNIT_ASSERT(stopped.value().tasks.at(0).checkpointMs > 500);
        CPPUNIT_ASSERT(await<Done>([&](auto done) { adapter.acknowledge(worker, "t1", 1, 3, done); }).has_value());
        CPPUNIT_ASSERT(await<Content>([&](auto done) { adapter.read(worker, done); }).value().tasks.empty());
    }

    // Guards against a refusal whose reason is lost.
    void workerRefusals()
    {
        using Reason = daemon::WorkerErrorCode;
        Platform platform;
        daemon::PlatformWorker adapter(platform.client);
        CPPUNIT_ASSERT(start(platform, 0, startOf("t1", 2, 5)).has_value());
        const Started stale = start(platform, 0, startOf("t2", 1, 4));
        CPPUNIT_ASSERT(stale.error().code == Reason::StaleEpoch);
        CPPUNIT_ASSERT_EQUAL(base::Epoch(5), stale.error().epoch);
        CPPUNIT_ASSERT(start(platform, 0, startOf("t1", 1, 5)).error().code == Reason::OlderAttempt);
        daemon::WorkerStart huge = startOf("t3", 1, 5);
        huge.resources.memoryMb = 60'000;
        CPPUNIT_ASSERT(start(platform, 0, huge).error().code == Reason::Capacity);
        const auto missing = await<Done>([&](auto done) { adapter.stop(platform.worker(0), "t9", 1, 5, done); });
        CPPUNIT_ASSERT(missing.error().code == Reason::NotFound);
    }

    // Guards against a start that is reported as not done although a paused worker runs it later (I2).
    void pausedAndLostWorkers()
    {
        using Reason = daemon::WorkerErrorCode;
        Platform platform;
        platform.fault({ { "workers", QJsonArray { QJsonObject { { "id", "w1" }, { "paused", true } } } } });
        CPPUNIT_ASSERT(start(platform, 0, startOf("t1", 1, 1)).error().code == Reason::Unknown);
        CPPUNIT_ASSERT(platform.standin.ledger.tasks.empty());
        platform.fault({ { "workers", QJsonArray { QJsonObject { { "id", "w1" }, { "paused", false } } } } });
        CPPUNIT_ASSERT_EQUAL(1, platform.standin.ledger.tasks["t1"].running);
        platform.fault({ { "workers", QJsonArray { QJsonObject { { "id", "w1" }, { "away", true } } } } });
        CPPUNIT_ASSERT(start(platform, 0, startOf("t2", 1, 1)).error().code == Reason::NotSent);
        CPPUNIT_ASSERT_EQUAL(1, platform.standin.ledger.tasks["t1"].running);
        platform.fault(
            { { "workers", QJsonArray { QJsonObject { { "id", "*" }, { "lost", true }, { "away", false } } } } });
        CPPUNIT_ASSERT_EQUAL(0, platform.standin.ledger.tasks["t1"].running);
        platform.fault({ { "workers", QJsonArray { QJsonObject { { "id", "w1" }, { "failEverything", true } } } } });
        CPPUNIT_ASSERT(start(platform, 0, startOf("t3", 1, 1)).has_value());
        CPPUNIT_ASSERT_EQUAL(1, platform.standin.ledger.tasks["t3"].failed);
    }

    // Guards against a stand-in whose list is always right.
    void instanceListLagsAndLies()
    {
        Platform platform;
        const auto read = [&] { return await<Instances>([&](auto done) { platform.instances->read(done); }).value(); };
        const auto find = [&](const std::string& id) -> std::optional<daemon::InstanceEntry> {
            for (const daemon::InstanceEntry& entry : read()) {
                if (entry.id.value == id)
                    return entry;
            }
            return std::nullopt;
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), read().size());
        CPPUNIT_ASSERT(find("w2")->kind == daemon::InstanceKind::Worker && find("w2")->dataCentre.value == "dc2");
        CPPUNIT_ASSERT(find("e1")->slots == 8 && find("e1")->connections == 64);
        CPPUNIT_ASSERT(find("d1")->kind == daemon::InstanceKind::Entry);
        const QJsonObject ghost { { "id", "e9" }, { "kind", "endpoint" }, { "dataCentre", "dc1" }, { "rack", "" },
            { "address", "127.0.0.1" }, { "port", 1 }, { "state", "live" } };
        platform.fault({ { "instances",
            QJsonObject { { "hidden", QJsonArray { "w1" } }, { "leaving", QJsonArray { "e1" } },
                { "ghosts", QJsonArray { ghost } } } } });
        CPPUNIT_ASSERT(!find("w1") && find("e9") && find("e1")->state == daemon::InstanceState::Leaving);
        platform.fault({ { "instances", QJsonObject { { "lagMs", 600'000 }, { "live", QJsonArray { "w1" } } } } });
        CPPUNIT_ASSERT(find("e1")->state == daemon::InstanceState::Live); // the oldest known list
    }

    // Guards against a foreign answer that is used without a check.
    void foreignAnswersAreChecked()
    {
        const QByteArray entry = R"({"key":"k","version":1,"value":"v","operation":"o"})";
        for (const QByteArray& body : { QByteArray(), QByteArray("[]"), QByteArray("{"), QByteArray("{}"),
                 QByteArray(R"({"key":"k","version":-1,"value":"v","operation":"o"})"),
                 QByteArray(R"({"key":"k","version":1.5,"value":"v","operation":"o"})"),
                 QByteArray(R"({"key":"k","version":"1","value":"v","operation":"o"})"),
                 QByteArray(R"({"key":"k","version":1,"value":5,"operation":"o"})"), QByteArray("[").repeated(100'000),
                 QByteArray("{\"a\":").repeated(100'000) }) {
            RawEndpoint endpoint([&](QTcpSocket& socket, const QByteArray&) {
                socket.write(
                    "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
                socket.disconnectFromHost();
            });
            http::Client client;
            daemon::PlatformStore store(client, Platform::base(endpoint.port), patienceMs);
            daemon::PlatformInstances instances(client, Platform::base(endpoint.port), patienceMs);
            daemon::PlatformWorker worker(client, { patienceMs, patienceMs });
            const auto read = await<GetResult>([&](auto done) { store.get("k", done); });
            CPPUNIT_ASSERT_MESSAGE(body.left(60).toStdString(), !read && read.error().code == Code::Unavailable);
            CPPUNIT_ASSERT(!await<Instances>([&](auto done) { instances.read(done); }));
            CPPUNIT_ASSERT(!await<Content>([&](auto done) { worker.read({ "127.0.0.1", endpoint.port }, done); }));
        }
        RawEndpoint endpoint([&](QTcpSocket& socket, const QByteArray&) {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(entry.size()) + "\r\n\r\n" + entry);
            socket.disconnectFromHost();
        });
        http::Client client;
        daemon::PlatformStore store(client, Platform::base(endpoint.port), patienceMs);
        CPPUNIT_ASSERT_EQUAL(
            store::Version(1), await<GetResult>([&](auto done) { store.get("k", done); }).value().version);
    }

    // Guards against faults of the stand-in that do nothing, and against a client that hides them.
    void endpointFaults()
    {
        Platform platform;
        const auto setMode = [&](const char* mode) {
            platform.fault({ { "endpoints", QJsonArray { QJsonObject { { "id", "e1" }, { "mode", mode } } } } });
        };
        CPPUNIT_ASSERT_EQUAL(200, platform.callEndpoint("r1").status);
        setMode("fail");
        CPPUNIT_ASSERT_EQUAL(500, platform.callEndpoint("r2").status);
        setMode("refuse");
        const http::ClientResult refused = platform.callEndpoint("r3");
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(http::headerValue(refused.headers, "Lacewing-Executed") == "no");
        setMode("closeAfterReading");
        CPPUNIT_ASSERT(platform.callEndpoint("r4").failure == http::Failure::ConnectionLost);
        setMode("truncate");
        CPPUNIT_ASSERT(platform.callEndpoint("r5").failure == http::Failure::Incomplete);
        setMode("stall");
        CPPUNIT_ASSERT(platform.callEndpoint("r6", 200).failure == http::Failure::Timeout);
        setMode("normal");
        platform.callEndpoint("r1");
        const QJsonObject counts = platform.endpointCounts("e1");
        CPPUNIT_ASSERT_EQUAL(7, counts["requests"].toInt());
        CPPUNIT_ASSERT_EQUAL(6, counts["executed"].toInt());
        CPPUNIT_ASSERT_EQUAL(1, counts["executedTwice"].toInt());
        CPPUNIT_ASSERT_EQUAL(2, counts["repeated"].toObject()["r1"].toInt());
        CPPUNIT_ASSERT(waitUntil([&] { return platform.endpointCounts("e1")["connections"].toInt() == 0; }));
        CPPUNIT_ASSERT_EQUAL(0, platform.endpointCounts("e1")["inProgress"].toInt());
        platform.fault({ { "endpoints", QJsonArray { QJsonObject { { "id", "e1" }, { "away", true } } } } });
        CPPUNIT_ASSERT(platform.callEndpoint("r7").failure == http::Failure::ConnectFailed);
        platform.fault({ { "endpoints", QJsonArray { QJsonObject { { "id", "e1" }, { "away", false } } } } });
        CPPUNIT_ASSERT_EQUAL(200, platform.callEndpoint("r8").status);
    }

    // Guards against a misspelt fault: the test that asks for it would pass without it.
    void wrongFaultsAreRefused()
    {
        Platform platform;
        for (const char* text : { R"({"stores":{}})", R"({"store":5})", R"({"store":{"delayMs":"x"}})",
                 R"({"workers":[{"id":"w99","paused":true}]})", R"({"endpoints":[{"id":"e1","mode":"odd"}]})",
                 R"({"instances":{"lagMs":-1}})", R"({"store":{"delay":5}})",
                 R"({"workers":[{"id":"w1","pause":true}]})", R"({"endpoints":[{"id":"e1","slow":5}]})",
                 R"({"instances":{"lag":5}})" }) {
            const QJsonObject faults = *standin::parseForeignObject(text, 1000);
            CPPUNIT_ASSERT_MESSAGE(text, !platform.standin.applyFaults(faults).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAdapterTest);

} // namespace
