// Tests of what another writer may leave in the store or answer in a worker's place: entries, items and reports that
// are malformed or out of range.
#include "base/time.h"
#include "daemon/worker_list.h"
#include "http_support.h"
#include "platform/documents.h"
#include "platform/store.h"
#include "platform/worker_entry.h"
#include "scheduler/record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace {

using namespace lacewing;
using namespace lacewing::platform;
using namespace lacewing::test;

QByteArray text(const QJsonObject& json) { return QJsonDocument(json).toJson(QJsonDocument::Compact); }

QJsonObject validEntry()
{
    return { { "backend", "pool" }, { "address", "10.0.0.1:80" }, { "zone", "z" }, { "version", "v1" }, { "slots", 8 },
        { "state", "ready" }, { "cold_remaining_ms", 0 }, { "seq", 4 }, { "clock_ms", 5 },
        { "capacity", QJsonObject { { "cpu", 16000 }, { "mem_mb", 32768 }, { "gpu", 1 } } },
        { "labels", QJsonArray { "a", "r1" } }, { "born", qint64(1764857165123) }, { "machine", "m" },
        { "remaining_ms", 1500 } };
}

bool isAccepted(const QJsonObject& json, const std::string& id = "i-1")
{
    return static_cast<bool>(decodeWorker(id, text(json)));
}

// The valid entry with one field replaced; `capacity.X` names a field of the capacity.
bool isAcceptedWith(const QString& field, const QJsonValue& value)
{
    QJsonObject json = validEntry();
    if (field.startsWith("capacity.")) {
        QJsonObject capacity = json["capacity"].toObject();
        capacity[field.mid(9)] = value;
        json["capacity"] = capacity;
    } else {
        json[field] = value;
    }
    return isAccepted(json);
}

std::string describe(const char* field, const QJsonValue& value)
{
    return field + (": " + QJsonDocument(QJsonArray { value }).toJson(QJsonDocument::Compact)).toStdString();
}

QByteArray answer(const QByteArray& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

// Rows of a list or watch of `servers/`: `servers/a` and `servers/b` around items that cannot be read.
const QByteArray oddRows = R"({"key":"servers/a","value":"YQ==","revision":5,"created":5,"lease":0},
         {"value":"YQ==","revision":6}, {"key":7,"value":"YQ==","revision":6}, {"key":"","value":"YQ==","revision":6},
         {"key":"s","value":"YQ==","revision":6}, {"key":"status/x","value":"YQ==","revision":6},
         {"key":"servers/c","value":"@@@@","revision":6}, {"key":"servers/d","value":"YQ=","revision":6},
         {"key":"servers/e","value":7,"revision":6}, {"key":"servers/f","value":null,"revision":6},
         {"key":"servers/g","value":"YQ==","revision":"6"}, {"key":"servers/h","value":"YQ==","revision":1e300},
         {"key":"servers/i","value":"YQ==","revision":-6}, {"key":"servers/j","value":"YQ=="},
         {"key":"servers/k","value":"YQ==","revision":6.5}, 7, [], null, "servers/l",
         {"key":"servers/b","value":"Yg==","revision":7,"created":7,"lease":0})";
constexpr std::uint64_t oddRowCount = 18;

struct ListAnswer {
    std::optional<base::Result<ItemList, StoreError>> result;

    StoreCallback<ItemList> callback()
    {
        return [this](base::Result<ItemList, StoreError> value) { result.emplace(std::move(value)); };
    }
    std::string keys() const
    {
        std::string text;
        for (const Item& item : result->value().items)
            text += item.key + (item.isDeleted ? "- " : " ");
        return text;
    }
};

StoreSettings settingsFor(const RawEndpoint& endpoint)
{
    StoreSettings settings;
    settings.address = "127.0.0.1:" + QString::number(endpoint.port);
    return settings;
}

class OddEntriesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OddEntriesTest);
    CPPUNIT_TEST(addressesThatNoWorkerCanHaveAreRefused);
    CPPUNIT_TEST(idsThatBreakAHeaderOrARecordAreRefused);
    CPPUNIT_TEST(numbersOutOfRangeAreRefused);
    CPPUNIT_TEST(textsOfAnotherTypeOrLengthAreRefused);
    CPPUNIT_TEST(deeplyNestedEntriesAreDecodedInTime);
    CPPUNIT_TEST(listsSkipItemsThatCannotBeRead);
    CPPUNIT_TEST(listsWithInvalidCharactersAreRead);
    CPPUNIT_TEST(listsWhosePagesDoNotAdvanceEnd);
    CPPUNIT_TEST(watchesSkipItemsThatCannotBeRead);
    CPPUNIT_TEST(storedWorkersWithoutIdOrAddressAreSkipped);
    CPPUNIT_TEST(refusedEntriesAreReportedOnce);
    CPPUNIT_TEST(entriesOfUnnamedServicesAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calling an address that no worker announces, and against header lines smuggled into the calls.
    void addressesThatNoWorkerCanHaveAreRefused()
    {
        for (const char* address : { "10.0.0.1:1", "10.255.0.254:65535", "127.0.0.1:21420" })
            CPPUNIT_ASSERT_MESSAGE(address, isAcceptedWith("address", address));
        for (const char* address : { "", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
                 "10.0.0.1:70000", "10.0.0.1:-80", "10.0.0.1:+80", "10.0.0.1: 80", " 10.0.0.1:80", "10.0.0.1:80 ",
                 "10.0.0.1:0080", "10.0.0.1:8e1", "10.0.0.1:99999999999999999999", "10.0.0.1:80:80", "10.0.1:80",
                 "10.0.0.256:80", "010.0.0.1:80", "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "[::1]:80",
                 "::1:80", "localhost:80", "http://10.0.0.1:80", "10.0.0.1:80/x", "10.0.0.1\r\nX: 1:80" })
            CPPUNIT_ASSERT_MESSAGE(address, !isAcceptedWith("address", address));
        for (const QJsonValue& address : { QJsonValue(80), QJsonValue(), QJsonValue(QJsonArray { "10.0.0.1:80" }) })
            CPPUNIT_ASSERT_MESSAGE(describe("address", address), !isAcceptedWith("address", address));
        CPPUNIT_ASSERT(!isAcceptedWith("address", QString("10.0.0.1:80") + QChar(0)));
    }

    // Guards against ids that add header lines to a worker's calls, merge in a stored record, or are read as a marker.
    void idsThatBreakAHeaderOrARecordAreRefused()
    {
        for (const char* id : { "w0", "i-c934716457", "A.b_c:d-9" })
            CPPUNIT_ASSERT_MESSAGE(id, isAccepted(validEntry(), id));
        const std::string zero("a\0b", 3);
        for (const std::string& id : { std::string(), std::string("*"), std::string("a*"), std::string("a b"),
                 std::string("a/b"), std::string("a\r\nContent-Length: 0"), std::string("\xff\xfe"),
                 std::string("\xc3\xa4"), std::string("a\x7f"), zero, std::string(201, 'a') })
            CPPUNIT_ASSERT_MESSAGE(id, !isAccepted(validEntry(), id));
    }

    // Guards against capacities that overflow or attract all tasks, and times that overflow when they are added.
    void numbersOutOfRangeAreRefused()
    {
        for (const char* field : { "capacity.cpu", "capacity.mem_mb", "capacity.gpu", "born", "remaining_ms" }) {
            CPPUNIT_ASSERT_MESSAGE(field, isAcceptedWith(field, 1000));
            for (const QJsonValue& value : { QJsonValue(-1), QJsonValue(-1e300), QJsonValue(1e300), QJsonValue(9.3e18),
                     QJsonValue(std::numeric_limits<qint64>::max()), QJsonValue(std::numeric_limits<qint64>::min()),
                     QJsonValue("1000"), QJsonValue(true), QJsonValue(QJsonArray { 1000 }),
                     QJsonValue(QJsonValue::Null) })
                CPPUNIT_ASSERT_MESSAGE(describe(field, value), !isAcceptedWith(field, value));
        }
        for (const char* field : { "capacity.cpu", "capacity.mem_mb", "capacity.gpu" })
            CPPUNIT_ASSERT_MESSAGE(field, !isAcceptedWith(field, 2e9) && !isAcceptedWith(field, 0.5));
        CPPUNIT_ASSERT(!isAcceptedWith("capacity.cpu", 0) && !isAcceptedWith("capacity.mem_mb", 0));
        CPPUNIT_ASSERT(!isAcceptedWith("born", 1764857165123.5));
        QByteArray huge = text(validEntry());
        huge.replace("16000", "1e999");
        CPPUNIT_ASSERT(!decodeWorker("i-1", huge));
        // Absent fields: 0 and empty fields may be left out, but no worker is without processor and memory.
        for (const char* field : { "born", "machine", "remaining_ms", "seq" }) {
            QJsonObject json = validEntry();
            json.remove(QLatin1String(field));
            CPPUNIT_ASSERT_MESSAGE(field, isAccepted(json));
        }
    }

    // Guards against texts that are read as empty, and against entries that fill the memory with labels.
    void textsOfAnotherTypeOrLengthAreRefused()
    {
        const QString longText(300, QLatin1Char('x'));
        for (const char* field : { "backend", "zone", "machine" }) {
            CPPUNIT_ASSERT_MESSAGE(field, isAcceptedWith(field, "other"));
            for (const QJsonValue& value : { QJsonValue(7), QJsonValue(QJsonObject()), QJsonValue(QJsonValue::Null),
                     QJsonValue(longText), QJsonValue(QString("a") + QChar(0) + "b"), QJsonValue("a\nb") })
                CPPUNIT_ASSERT_MESSAGE(describe(field, value), !isAcceptedWith(field, value));
        }
        CPPUNIT_ASSERT(!isAcceptedWith("backend", "") && !isAcceptedWith("zone", ""));
        QJsonArray many;
        for (int i = 0; i < 5000; ++i)
            many.append(QString::number(i));
        for (const QJsonArray& labels : { QJsonArray { "a", 7 }, QJsonArray { "a", QJsonArray { "r1" } },
                 QJsonArray { QJsonValue() }, QJsonArray { longText }, QJsonArray { "a\nb" }, many })
            CPPUNIT_ASSERT_MESSAGE(describe("labels", labels), !isAcceptedWith("labels", labels));
        for (const char* state : { "", "READY", "stopped", "ready " })
            CPPUNIT_ASSERT_MESSAGE(state, !isAcceptedWith("state", state));
    }

    // Guards against a parser that ends the process, or holds up the event loop, on deep nesting.
    void deeplyNestedEntriesAreDecodedInTime()
    {
        constexpr int depths[] = { 1000, 1023, 1024, 1025, 100000, 1000000 };
        for (const int depth : depths) {
            const QByteArray arrays = QByteArray(depth, '[') + QByteArray(depth, ']');
            QByteArray objects;
            for (int i = 0; i < depth; ++i)
                objects += "{\"a\":";
            objects += "1" + QByteArray(depth, '}');
            QByteArray inEntry = text(validEntry());
            inEntry.replace("\"version\":\"v1\"", "\"version\":" + arrays);
            constexpr int parsedDepth = 1024; // deepest nesting that QJsonDocument reads
            const std::vector<std::pair<QByteArray, bool>> entries { { arrays, false }, { objects, false },
                { QByteArray(depth, '['), false }, { QByteArray(depth, '{'), false },
                { inEntry, depth < parsedDepth } };
            for (const auto& [bytes, isUsable] : entries) {
                const base::TimePoint begun = base::monotonicNow();
                CPPUNIT_ASSERT_MESSAGE(std::to_string(depth), decodeWorker("i-1", bytes).has_value() == isUsable);
                CPPUNIT_ASSERT_MESSAGE(
                    std::to_string(depth), base::toMilliseconds(base::monotonicNow() - begun) < 1000);
            }
        }
    }

    // Guards against a list that fails, or a daemon that ends, because of one item; the caller cuts the prefix off
    // keys.
    void listsSkipItemsThatCannotBeRead()
    {
        RawEndpoint endpoint([](QTcpSocket& socket, const QByteArray&) {
            socket.write(answer("{\"items\":[" + oddRows + "],\"has_more\":false,\"at\":9}"));
        });
        Store store(settingsFor(endpoint));
        ListAnswer list;
        store.list(workersPrefix, Freshness::Linearizable, list.callback());
        CPPUNIT_ASSERT(waitUntil([&] { return list.result.has_value(); }));
        CPPUNIT_ASSERT(list.result->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("servers/a servers/b "), list.keys());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), list.result->value().revision);
        CPPUNIT_ASSERT(list.result->value().items.at(1).value == "b");
        CPPUNIT_ASSERT_EQUAL(oddRowCount, store.counters().malformedItems);
    }

    // Guards against a list that is lost because one key holds bytes that are no text.
    void listsWithInvalidCharactersAreRead()
    {
        RawEndpoint endpoint([](QTcpSocket& socket, const QByteArray&) {
            socket.write(answer("{\"items\":[{\"key\":\"servers/a\",\"value\":\"YQ==\",\"revision\":5},"
                                "{\"key\":\"servers/\xff\xfe\",\"value\":\"YQ==\",\"revision\":6},"
                                "{\"key\":\"servers/b\",\"value\":\"YQ==\",\"revision\":7}],\"at\":9}"));
        });
        Store store(settingsFor(endpoint));
        ListAnswer list;
        store.list(workersPrefix, Freshness::Linearizable, list.callback());
        CPPUNIT_ASSERT(waitUntil([&] { return list.result.has_value(); }));
        CPPUNIT_ASSERT(list.result->has_value());
        const std::vector<Item>& items = list.result->value().items;
        CPPUNIT_ASSERT(items.front().key == "servers/a" && items.back().key == "servers/b");
    }

    // Guards against reading the first page again and again, with memory that grows by each page.
    void listsWhosePagesDoNotAdvanceEnd()
    {
        for (const QByteArray& row : { QByteArray(R"({"key":"servers/a","value":"YQ==","revision":5})"),
                 QByteArray(R"({"key":"servers/a","value":"YQ==","revision":5},{"value":"YQ==","revision":6})") }) {
            RawEndpoint endpoint([&row](QTcpSocket& socket, const QByteArray&) {
                socket.write(answer("{\"items\":[" + row + "],\"has_more\":true,\"at\":9}"));
            });
            Store store(settingsFor(endpoint));
            ListAnswer list;
            store.list(workersPrefix, Freshness::Linearizable, list.callback());
            CPPUNIT_ASSERT(waitUntil([&] { return list.result.has_value() || endpoint.requests > 50; }));
            CPPUNIT_ASSERT(list.result.has_value() && list.result->has_error());
            CPPUNIT_ASSERT(list.result->error().code == StoreCode::Malformed);
            CPPUNIT_ASSERT_EQUAL(2, endpoint.requests);
        }
    }

    // Guards against a watch that stops at one event or asks for it for ever.
    void watchesSkipItemsThatCannotBeRead()
    {
        QByteArray body
            = "{\"events\":[" + oddRows + ",{\"key\":\"servers/a\",\"revision\":8,\"tombstone\":true}],\"at\":9}";
        RawEndpoint endpoint([&body](QTcpSocket& socket, const QByteArray&) { socket.write(answer(body)); });
        Store store(settingsFor(endpoint));
        const auto watch = [&] {
            ListAnswer list;
            store.watch("test", workersPrefix, 4, 100, list.callback());
            CPPUNIT_ASSERT(waitUntil([&] { return list.result.has_value(); }));
            return list;
        };
        const ListAnswer list = watch();
        CPPUNIT_ASSERT(list.result->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("servers/a servers/b servers/a- "), list.keys());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), list.result->value().revision);
        for (const char* odd : { "{}", R"({"events":[]})", R"({"events":[],"at":"9"})", R"({"events":[],"at":1e300})",
                 R"({"events":[],"at":-9})", R"({"events":7,"at":9})" }) {
            body = odd;
            CPPUNIT_ASSERT_MESSAGE(odd, watch().result->has_error());
        }
    }

    // Guards against a new term that calls, and waits for, a remembered worker that no call can reach.
    void storedWorkersWithoutIdOrAddressAreSkipped()
    {
        const QByteArray record = "["
            + QByteArray(R"({"id":"i-1","address":"10.0.0.1:80"},7,null,[],{},{"id":"i-2"},)"
                         R"({"address":"10.0.0.2:80"},{"id":7,"address":"10.0.0.2:80"},)"
                         R"({"id":"i-3","address":""},{"id":"i-4","address":"10.0.0.4:80"})")
            + "]";
        const auto workers = scheduler::decodeWorkers(record);
        CPPUNIT_ASSERT(workers && workers->size() == 2);
        CPPUNIT_ASSERT(workers->at(0).id == "i-1" && workers->at(1).id == "i-4");
    }

    // Guards against a log that fills with the same refusals at each list.
    void refusedEntriesAreReportedOnce()
    {
        ItemList list;
        const auto put = [&list](const std::string& id, const QByteArray& value) {
            list.items.push_back(
                { workersPrefix + id, value, static_cast<std::int64_t>(list.items.size()) + 1, 1, false });
        };
        put("w1", text(validEntry()));
        put("odd", "{");
        daemon::WorkerListReader reader;
        const auto first = reader.read(list, std::nullopt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.newlyRefused.size());
        CPPUNIT_ASSERT(first.newlyRefused[0].id == "odd" && first.newlyRefused[0].revision == 2);
        CPPUNIT_ASSERT(!first.newlyRefused[0].reason.empty());
        for (int i = 0; i < 5; ++i) {
            list.items[1].value = "{" + QByteArray::number(i); // written again and again
            const auto next = reader.read(list, std::nullopt);
            CPPUNIT_ASSERT(next.newlyRefused.empty() && next.refused == 1 && next.entries.size() == 1);
        }
        QJsonObject stopped = validEntry();
        stopped["state"] = "stopped";
        list.items[1].value = text(stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reader.read(list, std::nullopt).newlyRefused.size());
        list.items[1].value = text(validEntry());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reader.read(list, std::nullopt).entries.size());
        list.items[1].value = text(stopped);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reader.read(list, std::nullopt).newlyRefused.size());
        for (int i = 0; i < 50; ++i)
            put("more" + std::to_string(i), "7");
        std::size_t reported = 0;
        for (int i = 0; i < 4; ++i) {
            const auto next = reader.read(list, std::nullopt);
            CPPUNIT_ASSERT_EQUAL(std::size_t(51), next.refused);
            CPPUNIT_ASSERT(next.newlyRefused.size() <= daemon::WorkerListReader::maxReports);
            reported += next.newlyRefused.size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(50), reported);
    }

    // Guards against calling, and waiting for, workers that no queue can use.
    void entriesOfUnnamedServicesAreRefused()
    {
        ItemList list;
        list.items.push_back({ workersPrefix + "w1", text(validEntry()), 1, 1, false });
        daemon::WorkerListReader reader;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), reader.read(list, std::nullopt).entries.size());
        const auto other = reader.read(list, std::set<std::string> { "other" });
        CPPUNIT_ASSERT(other.entries.empty() && other.refused == 1 && other.newlyRefused.size() == 1);
        CPPUNIT_ASSERT(reader.read(list, std::set<std::string> { "other" }).newlyRefused.empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(1), reader.read(list, std::set<std::string> { "other", "pool" }).entries.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

} // namespace
