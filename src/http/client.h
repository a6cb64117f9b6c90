// HTTP client that uses a new connection for each request and sends each request at most once.
//
// Built on QTcpSocket, because QNetworkAccessManager (Qt 6.4.2) has faults that code around it cannot correct: it takes
// a malformed chunk for the end of a response, delivers about 1% of truncated chunked responses with an error status as
// complete, does not tell whether a byte was sent when a connection times out, and re-sends requests by itself.
//
// Each connection is closed after the response. Redirects, cookies, proxies, caches and decompression are off.
// `bytesSent` decides what may be reported about execution (design section 5, Q5).
//
// A client belongs to one thread (the one with the event loop); callbacks run on that thread, never inside send().
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
    Idempotent, // may be retried by the code that uses the client, within its retry budget; the client itself sends it
                // once
};

enum class Failure {
    None,           // complete response, of any status
    ConnectFailed,  // not connected: error, invalid request, full queue, or no connection within connectTimeoutMs
    Timeout,        // no complete response within timeoutMs
    ConnectionLost, // connection lost, or a response that is not HTTP, before the end of the response headers
    Incomplete,     // response truncated, or without a verifiable end
    TooLarge,       // response larger than the limit
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
    None, // certain: no byte of the request was written to a connection
    Some, // bytes of the request were written, or may have been
};

constexpr base::EnumNames<BytesSent, 2> bytesSentNames { { { BytesSent::None, "none" }, { BytesSent::Some, "some" } } };

struct ClientRequest {
    QByteArray method = "GET"; // upper case
    QByteArray url;            // absolute, http://ADDRESS:PORT/PATH?QUERY, percent-encoded
    Headers headers; // Host, Connection and Content-Length are set by the client; hop-by-hop headers are dropped
    QByteArray body;
    int timeoutMs = 5000; // ms from send() to the complete response
    SendMode mode = SendMode::Once;
};

struct ClientResult {
    // --- Response; valid when failure is None ---
    int status = 0;
    Headers headers;
    QByteArray body;

    // --- Outcome ---
    Failure failure = Failure::None;
    BytesSent bytesSent = BytesSent::Some;
    QByteArray detail; // for logs

    // --- Set by Channel only ---
    bool wasPeerUnresponsive = false; // not sent because the peer did not respond to the preceding request
    int waitedMs = 0;                 // ms from send() until the first byte was written or the unsent request failed
    qint64 bytesReceived = 0;         // of the response, also when it is incomplete

    bool ok() const { return failure == Failure::None; }
};

struct ClientLimits {
    qint64 responseHeaderBytes = 64LL * 1024;
    qint64 responseBodyBytes = 8LL * 1024 * 1024;
    int connectTimeoutMs = 2000; // ms; time limit of the connection attempt; timeoutMs of the request applies as well
    int closeWaitMs = 100;       // ms; for the peer to close first after a response with `Connection: close`
    int closingConnections = 16; // connections that may wait for the peer to close; more are closed at once
};

struct ClientCounters {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
    std::array<std::uint64_t, failureNames.size()> failures {}; // by Failure
};

using ClientCallback = std::function<void(ClientResult)>;
using RequestId = std::uint64_t; // unique within one client, never reused

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
