// One daemon's configuration and gateway, and a store that leaves calls unanswered when a test says so.
#pragma once

#include "daemon/configuration_service.h"
#include "daemon/gateway_service.h"
#include "daemon/job_table.h"
#include "http_support.h"

#include <QPointer>
#include <QUrlQuery>

namespace lacewing::test {

using namespace lacewing::daemon;

constexpr int configurationMs = 2000; // platform's bound: time within which an accepted version is in force
const std::string knownJob = "00000000000000aa";
const std::string recordedJob = "00000000000000cc";

inline QByteArray text(int status, const QByteArray& body)
{
    return "HTTP/1.1 " + QByteArray::number(status) + " Text\r\nContent-Type: application/json\r\nContent-Length: "
        + QByteArray::number(body.size()) + "\r\n\r\n" + body;
}

// Store that holds the operator's configuration. Calls that arrive while it is silent are never answered.
struct OperatorStore {
    struct Waiting {
        QPointer<QTcpSocket> socket;
        int after = 0;
    };

    explicit OperatorStore(QByteArray configurationMembers)
        : members(std::move(configurationMembers))
        , endpoint([this](QTcpSocket& socket, const QByteArray& request) { answer(socket, request); })
    {
    }

    void answer(QTcpSocket& socket, const QByteArray& request)
    {
        if (isSilent) {
            ++unanswered;
            return;
        }
        const QByteArray target = request.split(' ').at(1);
        const QUrlQuery query(QString::fromUtf8(target.mid(target.indexOf('?') + 1)));
        if (target.startsWith("/kv-range")) {
            socket.write(text(200, "{\"items\":[" + item() + "],\"has_more\":false,\"at\":" + at() + "}"));
        } else if (target.startsWith("/kv-watch")) {
            watches.push_back({ &socket, query.queryItemValue("after").toInt() });
            QTimer::singleShot(query.queryItemValue("wait_ms").toInt(), &socket,
                [this, &socket] { answerWatches([&](const Waiting& w) { return w.socket == &socket; }); });
            answerChanged();
        } else if (target.startsWith("/kv-txn") && !record.isEmpty() && !request.contains("\"expected_rev\":[]")) {
            socket.write(text(412, "{\"items\":[" + recordItem() + "],\"at\":" + at() + "}"));
        } else if (target.startsWith("/kv-key") && target.contains("/in/") && !record.isEmpty()) {
            socket.write(text(200, recordItem()));
        } else if (target.startsWith("/kv-txn")) {
            ++commits;
            socket.write(text(200, "{\"revision\":" + at() + "}"));
        } else {
            socket.write(text(404, "{\"at\":" + at() + "}"));
        }
    }

    template <typename Predicate> void answerWatches(Predicate isSelected)
    {
        std::erase_if(watches, [&](const Waiting& watch) {
            if (watch.socket && !isSelected(watch))
                return false;
            const bool hasChange = revision > watch.after;
            if (watch.socket)
                watch.socket->write(
                    text(200, "{\"events\":[" + (hasChange ? item() : QByteArray()) + "],\"at\":" + at() + "}"));
            return true;
        });
    }

    void answerChanged()
    {
        answerWatches([this](const Waiting& watch) { return revision > watch.after; });
    }

    void accept(int newVersion, const QByteArray& queuePrefix)
    {
        version = newVersion;
        prefix = queuePrefix;
        ++revision;
        answerChanged();
    }

    // Drops the calls in progress as an outage does: their connections stay open.
    void fallSilent()
    {
        isSilent = true;
        watches.clear();
    }

    QByteArray at() const { return QByteArray::number(revision); }

    QByteArray recordItem() const
    {
        return R"({"key":"lacewing/in/)" + QByteArray::fromStdString(recordedJob) + R"(","value":")" + record.toBase64()
            + R"(","revision":3,"created":3})";
    }

    QByteArray item() const
    {
        const QByteArray value = "{\"version\":" + QByteArray::number(version)
            + R"(,"routes":[{"name":"q","hostname":"h","prefix":")" + prefix
            + R"(","backend":"pool"},{"name":"open","hostname":"h","prefix":"/open/","backend":"pool","public":true}],)"
            + R"("services":[])" + members + '}';
        return R"({"key":"op/config","value":")" + value.toBase64() + R"(","revision":)" + at() + R"(,"created":4})";
    }

    int version = 1;
    QByteArray prefix = "/old/";
    QByteArray members; // further ones of the configuration, each after a comma
    QByteArray record;  // accepted record of `recordedJob`; empty: the store has none
    int revision = 5;
    bool isSilent = false;
    int unanswered = 0;
    int commits = 0;
    std::vector<Waiting> watches;
    RawEndpoint endpoint;
};

inline std::uint16_t freePort()
{
    QTcpServer server;
    CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
    return server.serverPort();
}

// Configuration and gateway of one daemon.
struct Entry {
    explicit Entry(const QByteArray& members = {}, int revocationMs = 0)
        : store(members)
        , port(freePort())
        , runtime(settings(store.endpoint.port, port, revocationMs))
        , configuration(runtime)
        , gateway(runtime)
    {
        table.jobs[knownJob] = { scheduler::JobState::Completed, nowMs() };
        kernel::publish(runtime.kernel, serviceNames::configuration, &configuration);
        kernel::publish(runtime.kernel, serviceNames::jobTable, &table);
        configuration.start();
        CPPUNIT_ASSERT_EQUAL(std::string(), gateway.start());
        CPPUNIT_ASSERT(waitUntil([this] { return configuration.isLoaded() && !store.watches.empty(); }));
    }

    static Settings settings(std::uint16_t storePort, std::uint16_t callerPort, int revocationMs)
    {
        Settings values;
        values.daemon = "d1";
        values.bounds.revocationMs = revocationMs;
        values.storeAddress = "127.0.0.1:" + std::to_string(storePort);
        values.callerAddress = "127.0.0.1:" + std::to_string(callerPort);
        return values;
    }

    // `headers`: further ones, each with its line end.
    QByteArray ask(const QByteArray& method, const QByteArray& path, const QByteArray& headers = {})
    {
        // The answer of the scheduling daemon, which is not part of these tests.
        table.pendingAsOf = table.syncedAt = nowMs();
        RawCaller caller(port);
        const QByteArray content = method == "POST" ? body : QByteArray();
        caller.send(method + ' ' + path + " HTTP/1.1\r\nHost: h\r\n" + headers
            + "Content-Length: " + QByteArray::number(content.size()) + "\r\n\r\n" + content);
        CPPUNIT_ASSERT(caller.receive("\r\n\r\n"));
        return caller.received;
    }

    // Lets the knowledge of the configuration become older than its bound, with a version accepted at its begin.
    void becomeOutdated()
    {
        store.fallSilent();
        store.accept(2, "/new/");
        runFor(configurationMs + 100);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), configuration.current().version);
    }

    QByteArray body = R"({"spec":"s","steps":[{"count":1,"cpu":100}]})"; // of submissions
    OperatorStore store;
    std::uint16_t port;
    Runtime runtime;
    JobTable table;
    ConfigurationService configuration;
    GatewayService gateway;
};

inline bool hasStatus(const QByteArray& answer, int status)
{
    return answer.startsWith("HTTP/1.1 " + QByteArray::number(status));
}

} // namespace lacewing::test
