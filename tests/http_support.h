// Loopback peers for the tests of src/http: a caller that sends raw bytes and an endpoint with scripted behaviour.
#pragma once

#include "http/client.h"
#include "http/server.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>
#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <optional>

namespace lacewing::test {

// Long enough for a busy machine; a passing test does not wait this long.
constexpr int testTimeoutMs = 30000;

// Runs the event loop until the condition holds; false after the time limit.
inline bool waitUntil(const std::function<bool()>& condition, int limitMs = testTimeoutMs)
{
    const QDeadlineTimer deadline(limitMs);
    QTimer wake; // ends the wait of processEvents() when there is no other event
    wake.start(5);
    while (!condition()) {
        if (deadline.hasExpired())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents);
    }
    return true;
}

// Runs the event loop for a time, to check that something does not happen.
inline void runFor(int durationMs)
{
    const QDeadlineTimer deadline(durationMs);
    waitUntil([&] { return deadline.hasExpired(); });
}

// Caller that sends raw bytes.
struct RawCaller {
    explicit RawCaller(std::uint16_t port)
    {
        // The state alone would miss a connection that the server closes at once.
        bool wasConnected = false;
        QObject::connect(&socket, &QTcpSocket::connected, &socket, [&wasConnected] { wasConnected = true; });
        socket.connectToHost(QHostAddress::LocalHost, port);
        CPPUNIT_ASSERT(waitUntil([&] { return wasConnected; }));
        QObject::disconnect(&socket, &QTcpSocket::connected, &socket, nullptr);
    }

    void send(const QByteArray& bytes)
    {
        socket.write(bytes);
        socket.flush();
    }

    bool receive(const QByteArray& text)
    {
        return waitUntil([&] {
            received += socket.readAll();
            return received.contains(text);
        });
    }

    bool isClosedByPeer()
    {
        return waitUntil([&] {
            received += socket.readAll();
            return socket.state() == QAbstractSocket::UnconnectedState;
        });
    }

    QTcpSocket socket;
    QByteArray received;
};

// Endpoint that calls a script with each complete request head and counts connections and requests.
struct RawEndpoint {
    using Script = std::function<void(QTcpSocket&, const QByteArray&)>;

    explicit RawEndpoint(Script onRequest)
        : script(std::move(onRequest))
    {
        CPPUNIT_ASSERT(server.listen(QHostAddress::LocalHost));
        port = server.serverPort();
        QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
            while (QTcpSocket* socket = server.nextPendingConnection()) {
                ++connections;
                auto buffer = std::make_shared<QByteArray>();
                QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
                QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, buffer] {
                    *buffer += socket->readAll();
                    if (!buffer->contains("\r\n\r\n"))
                        return;
                    const QByteArray request = *buffer;
                    buffer->clear();
                    if (request.contains(" HTTP/1.1\r\n")) {
                        ++requests;
                        script(*socket, request);
                    }
                });
            }
        });
    }

    QByteArray url(const QByteArray& path = "/") const { return "http://127.0.0.1:" + QByteArray::number(port) + path; }

    QTcpServer server;
    Script script;
    std::uint16_t port = 0;
    int connections = 0;
    int requests = 0;
};

// Sends and waits for the callback; fails the test when it is not called.
inline http::ClientResult exchange(http::Client& client, const http::ClientRequest& request)
{
    std::optional<http::ClientResult> result;
    client.send(request, [&](http::ClientResult value) { result = std::move(value); });
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT(waitUntil([&] { return result.has_value(); }));
    return *result;
}

inline std::uint16_t listenOnLoopback(http::Server& server)
{
    const auto port = server.listen(QHostAddress::LocalHost, 0);
    CPPUNIT_ASSERT(port.has_value());
    return port.value();
}

inline std::uint64_t refusals(const http::Server& server, http::Refusal refusal)
{
    return server.counters().refusals[static_cast<std::size_t>(refusal)];
}

} // namespace lacewing::test
