// HTTP server: QHttpServer behind a guard that enforces limits.
//
// QHttpServer 6.4.2 has no limits, mixes up pipelined responses, ignores `Connection: close` and `Expect`, and crashes
// when a response is written after the caller has disconnected. The guard (guard.h) therefore owns the accepted socket,
// checks the framing of each request, and passes one complete request at a time to QHttpServer through an in-memory
// socket.
//
// A server belongs to one thread (the one with the event loop). Handlers run on that thread and must not block.
#pragma once

#include "base/names.h"
#include "base/result.h"
#include "http/budget.h"
#include "http/message.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

class QHostAddress;

namespace lacewing::http {

// Body limit for paths that start with a prefix.
struct PathBodyLimit {
    QByteArray prefix;
    qint64 bytes = 0;
};

struct ServerLimits {
    // --- Sizes ---
    qint64 headerBytes = 16LL * 1024;                                             // request line and headers; more: 431
    int headerCount = 100;                                                        // header fields; more: 431
    qint64 bodyBytes = 1024LL * 1024;                                             // body; more: 413
    std::vector<PathBodyLimit> pathBodyLimits { { "/svc/", 8LL * 1024 * 1024 } }; // first matching prefix applies

    // --- Times ---
    int headerTimeoutMs = 5000; // ms from the first byte to the end of the headers; 408
    int bodyTimeoutMs = 15000;  // ms from the end of the headers to the end of the body; 408
    int idleTimeoutMs = 30000;  // ms without a request on the connection; closed without a response
    int writeTimeoutMs = 30000; // ms in which the caller reads nothing of a response; closed
    int lingerMs = 1000;   // ms of lingering close after the last response, so that a reset does not destroy it before
                           // the caller has read it
    int drainIdleMs = 250; // ms without a request on a keep-alive connection during a drain; closed

    // --- Counts ---
    int connections = 1000; // open at the same time; more: 503 and closed
};

// Why a request was refused before it reached the handler, or why a connection was closed.
enum class Refusal {
    BadRequest,
    BadLength,
    LengthRequired,
    HeaderTooLarge,
    BodyTooLarge,
    HeaderTimeout,
    BodyTimeout,
    IdleTimeout,
    WriteTimeout,
    MethodNotAllowed,
    MethodUnknown,
    VersionUnsupported,
    ExpectationFailed,
    TooManyConnections,
    EncodingUnknown,
    OverBudget,      // refused with a response to free memory or descriptors for others
    ClosedForBudget, // the same for a connection without a request or with an unread response: closed without one
};

constexpr base::EnumNames<Refusal, 17> refusalNames { {
    { Refusal::BadRequest, "badRequest" },
    { Refusal::BadLength, "badLength" },
    { Refusal::LengthRequired, "lengthRequired" },
    { Refusal::HeaderTooLarge, "headerTooLarge" },
    { Refusal::BodyTooLarge, "bodyTooLarge" },
    { Refusal::HeaderTimeout, "headerTimeout" },
    { Refusal::BodyTimeout, "bodyTimeout" },
    { Refusal::IdleTimeout, "idleTimeout" },
    { Refusal::WriteTimeout, "writeTimeout" },
    { Refusal::MethodNotAllowed, "methodNotAllowed" },
    { Refusal::MethodUnknown, "methodUnknown" },
    { Refusal::VersionUnsupported, "versionUnsupported" },
    { Refusal::ExpectationFailed, "expectationFailed" },
    { Refusal::TooManyConnections, "tooManyConnections" },
    { Refusal::EncodingUnknown, "encodingUnknown" },
    { Refusal::OverBudget, "overBudget" },
    { Refusal::ClosedForBudget, "closedForBudget" },
} };

struct ServerCounters {
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t requests = 0;            // handed to the handler
    std::uint64_t responses = 0;           // passed completely to the operating system
    std::uint64_t callersDisconnected = 0; // connection lost while the handler worked or the response was being written
    std::uint64_t droppedResponses = 0;    // responses for callers that had already disconnected
    std::uint64_t pipelined = 0; // requests that waited because they arrived before the previous response was written
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
    std::array<std::uint64_t, refusalNames.size()> refusals {}; // by Refusal
};

struct RequestState;

// Handle to respond to one request. Cheap to copy: copies refer to the same request. Every function is safe after the
// caller has disconnected and after the server was destroyed. A request whose last handle is destroyed without a
// response gets status 500.
class Responder {
public:
    Responder() = default;
    explicit Responder(std::shared_ptr<RequestState> state);

    // Sends the response. Only the first call has an effect; returns false when the caller has disconnected or a
    // response was already given.
    bool respond(const Response& response) const;
    bool isAnswered() const;
    // False after the caller closed the connection or the server was destroyed.
    bool isConnected() const;
    // The callback is called once when the caller disconnects before the response; at once when it has already
    // disconnected. One callback for each request: a second call replaces the first. Not called after respond().
    void onDisconnect(std::function<void()> callback) const;

private:
    std::shared_ptr<RequestState> m_state;
};

using Handler = std::function<void(const Request&, Responder)>;

enum class ServerErrorCode { ListenFailed };

constexpr base::EnumNames<ServerErrorCode, 1> serverErrorNames {
    { { ServerErrorCode::ListenFailed, "listenFailed" } }
};

struct ServerError {
    ServerErrorCode code = ServerErrorCode::ListenFailed;
    std::string detail;
};

class Server {
public:
    // budget: shared with the other servers of the process; without one, only the limits apply.
    Server(ServerLimits limits, Handler handler, std::shared_ptr<Budget> budget = nullptr);
    ~Server(); // closes every connection at once; use beginDrain() first for a graceful stop
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Returns the port (assigned by the system when port is 0).
    base::Result<std::uint16_t, ServerError> listen(const QHostAddress& address, std::uint16_t port);
    // The same for HOST:PORT, where HOST is an IP address.
    base::Result<std::uint16_t, ServerError> listen(const QString& address);
    std::uint16_t port() const;

    // Closes the listener and idle connections, lets requests in progress finish, then closes their connections.
    // A request whose first byte arrived before the drain counts as in progress.
    void beginDrain();
    bool isDraining() const;
    int openRequests() const; // being received or handled, or with a response not yet passed to the operating system
    int openConnections() const;
    // The callback is called when the server is draining and the last connection has closed.
    void onDrained(std::function<void()> callback);

    const ServerCounters& counters() const;
    const ServerLimits& limits() const;

private:
    struct Context;
    std::unique_ptr<Context> m_context;
};

} // namespace lacewing::http
