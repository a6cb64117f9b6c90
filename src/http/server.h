// Guarded HTTP server: limits in front of QHttpServer.
//
// QHttpServer 6.4.2 has no limits, mixes up pipelined answers, ignores `Connection: close` and `Expect`, and crashes
// when an answer is written after the caller left. The guard therefore owns the accepted socket, checks the framing of
// each request, and hands QHttpServer one complete request at a time through a socket object of its own.
//
// A server belongs to one thread (the one with the event loop). Handlers run on it and must not block.
#pragma once

#include "base/names.h"
#include "base/result.h"
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
    std::vector<PathBodyLimit> pathBodyLimits { { "/svc/", 8LL * 1024 * 1024 } }; // first matching prefix counts

    // --- Times ---
    int headerTimeoutMs = 5000; // from the first byte to the end of the headers; 408
    int bodyTimeoutMs = 15000;  // from the end of the headers to the end of the body; 408
    int idleTimeoutMs = 30000;  // without a request on the connection; closed without an answer
    int writeTimeoutMs = 30000; // caller reads nothing of an answer; closed
    int lingerMs = 1000;        // reading on after the last answer, so that the caller receives it before a reset
    int drainIdleMs = 250;      // kept-alive connection without a request during a drain; closed

    // --- Counts ---
    int connections = 1000; // open at the same time; more: 503 and closed
};

// Why a request was refused before the handler saw it, or why a connection was closed.
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
};

constexpr base::EnumNames<Refusal, 15> refusalNames { {
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
} };

struct ServerCounters {
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t requests = 0;            // handed to the handler
    std::uint64_t responses = 0;           // written completely to the system
    std::uint64_t callersDisconnected = 0; // connection lost while the handler worked or the answer was being written
    std::uint64_t droppedResponses = 0;    // answers for callers that had left
    std::uint64_t pipelined = 0;           // requests that arrived before the previous answer and waited
    std::uint64_t bytesRead = 0;
    std::uint64_t bytesWritten = 0;
    std::array<std::uint64_t, refusalNames.size()> refusals {}; // by Refusal
};

struct RequestState;

// Answers one request. A cheap handle: copies refer to the same request. Every function is safe after the caller left
// and after the server was destroyed. A request whose last handle is destroyed without an answer is answered with 500.
class Responder {
public:
    Responder() = default;
    explicit Responder(std::shared_ptr<RequestState> state);

    // Sends the answer. The first call counts; returns false when the caller has left or there was an answer already.
    bool respond(const Response& response) const;
    bool isAnswered() const;
    // False after the caller closed the connection or the server was destroyed.
    bool isConnected() const;
    // Calls back once when the caller leaves before the answer; at once when it has already left. One callback for
    // each request: a second call replaces the first. Not called after respond().
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
    Server(ServerLimits limits, Handler handler);
    ~Server(); // closes every connection at once; use beginDrain() first for a graceful stop
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    // Returns the port (assigned by the system when port is 0).
    base::Result<std::uint16_t, ServerError> listen(const QHostAddress& address, std::uint16_t port);
    // The same for HOST:PORT by IP number.
    base::Result<std::uint16_t, ServerError> listen(const QString& address);
    std::uint16_t port() const;

    // Closes the listener and idle connections, lets requests in progress finish, then closes their connections.
    // A request whose first byte arrived before the drain counts as in progress.
    void beginDrain();
    bool isDraining() const;
    int openRequests() const; // being received, handled, or with an answer not yet written to the system
    int openConnections() const;
    // Called when the server is draining and the last connection has closed.
    void onDrained(std::function<void()> callback);

    const ServerCounters& counters() const;
    const ServerLimits& limits() const;

private:
    struct Context;
    std::unique_ptr<Context> m_context;
};

} // namespace lacewing::http
