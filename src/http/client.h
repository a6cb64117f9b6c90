// HTTP client for one request on one connection, with at-most-once sending.
//
// Built on QTcpSocket, not on QNetworkAccessManager, whose faults no guard around it can remove (measured with Qt
// 6.4.2): it takes a malformed chunk for the end of an answer, delivers about 1% of cut chunked answers with an error
// status as complete, hides whether a byte was sent when a connection times out, and re-sends by itself.
//
// Each request uses a new connection that is closed after it. Redirects, cookies, proxies, caches and decompression are
// off. `bytesSent` decides what may be reported about execution (design section 5, Q5).
//
// A client belongs to one thread (the one with the event loop); callbacks run on it, never inside send().
#pragma once

#include "base/names.h"
#include "http/message.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

class QUrl;

namespace lacewing::http {

enum class SendMode {
    Once,       // must never be sent a second time
    Idempotent, // may be sent again, by the caller and within its retry budget; the client sends it once as well
};

enum class Failure {
    None,           // complete answer, of any status
    ConnectFailed,  // no connection was made, also not within connectTimeoutMs
    Timeout,        // no complete answer within timeoutMs
    ConnectionLost, // connection lost, or an answer that is not HTTP, before the end of the answer's headers
    Incomplete,     // answer cut off, or without a verifiable end
    TooLarge,       // answer larger than the limit
    Cancelled,      // cancel() or destruction of the client
};

constexpr base::EnumNames<SendMode, 2> sendModeNames { {
    { SendMode::Once, "once" },
    { SendMode::Idempotent, "idempotent" },
} };

constexpr base::EnumNames<Failure, 7> failureNames { {
    { Failure::None, "none" },
    { Failure::ConnectFailed, "connectFailed" },
    { Failure::Timeout, "timeout" },
    { Failure::ConnectionLost, "connectionLost" },
    { Failure::Incomplete, "incomplete" },
    { Failure::TooLarge, "tooLarge" },
    { Failure::Cancelled, "cancelled" },
} };

enum class BytesSent {
    None, // certain: no byte of the request was handed to a connection
    Some, // everything else
};

constexpr base::EnumNames<BytesSent, 2> bytesSentNames { { { BytesSent::None, "none" }, { BytesSent::Some, "some" } } };

struct ClientRequest {
    QByteArray method = "GET"; // upper case
    QByteArray url;            // absolute, http://ADDRESS:PORT/PATH?QUERY, percent-encoded
    Headers headers;           // Host, Connection, Content-Length and headers of the connection are set by the client
    QByteArray body;
    int timeoutMs = 5000; // from send() to the complete answer
    SendMode mode = SendMode::Once;
};

struct ClientResult {
    // --- Answer; valid when failure is None ---
    int status = 0;
    Headers headers;
    QByteArray body;

    // --- Outcome ---
    Failure failure = Failure::None;
    BytesSent bytesSent = BytesSent::Some;
    QByteArray detail; // for logs
    bool wasPeerUnresponsive
        = false;      // not sent because the peer did not answer the request before it; kept connections only
    int waitedMs = 0; // ms from send() until the first byte was written; of a kept connection only

    bool ok() const { return failure == Failure::None; }
};

struct ClientLimits {
    qint64 responseHeaderBytes = 64LL * 1024;
    qint64 responseBodyBytes = 8LL * 1024 * 1024;
    int connectTimeoutMs = 2000; // of the connection; timeoutMs of the request applies as well
    int closeWaitMs = 100;       // for the peer to close first after an answer with `Connection: close`
    int closingConnections = 16; // connections that may wait for that; more are closed at once
};

struct ClientCounters {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
    std::array<std::uint64_t, failureNames.size()> failures {}; // by Failure
};

using ClientCallback = std::function<void(ClientResult)>;
using RequestId = std::uint64_t; // of a request of one client, never reused

class Client {
public:
    explicit Client(ClientLimits limits = {});
    ~Client(); // cancels open requests; their callbacks are not called
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // The callback is called exactly once, from the event loop, unless the client is destroyed first.
    RequestId send(const ClientRequest& request, ClientCallback callback);
    // Closes the connection; the callback gets Failure::Cancelled. No effect on a finished request.
    void cancel(RequestId request);

    int inFlight() const;
    const ClientCounters& counters() const;

    struct Context; // internal

private:
    std::unique_ptr<Context> m_context;
};

} // namespace lacewing::http
