// Request and reply between daemons over nng (req0/rep0).
//
// nng runs its callbacks on its own threads. Both classes pass every message to the thread that created them, in one
// place, so that handlers run on the event loop and need no locks.
//
// nng's req0 protocol sends a request again when its connection is lost before the reply. Every message between daemons
// must therefore be idempotent or carry an identity by which the receiver detects duplicates.
//
// Destroying a client or a server returns at once. Its socket is closed on another thread, because nng may block there;
// the address of a server is free only after that.
#pragma once

#include "base/names.h"
#include "base/result.h"

#include <QByteArray>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lacewing::peer {

// --- Errors ---

enum class PeerCode { BadAddress, AddressInUse, Timeout, Closed, TooLarge, Busy, Transport };

constexpr base::EnumNames<PeerCode, 7> peerCodeNames { {
    { PeerCode::BadAddress, "badAddress" },
    { PeerCode::AddressInUse, "addressInUse" },
    { PeerCode::Timeout, "timeout" },
    { PeerCode::Closed, "closed" },
    { PeerCode::TooLarge, "tooLarge" },
    { PeerCode::Busy, "busy" },
    { PeerCode::Transport, "transport" },
} };

struct PeerError {
    PeerCode code;
    std::string detail;
};

// --- Limits ---

struct PeerLimits {
    std::size_t maxMessageBytes = 2097152; // bytes (2 MiB) of any message; nng has no receive limit by default
    // Bytes of a request. nng allocates a message when its length arrives, and keeps unfinished ones without a time
    // limit. Requests between daemons have up to 3 KB (32 cancels and a name).
    std::size_t maxRequestBytes = 65536;
    int requestTimeoutMs = 1000; // ms; from send to reply
    int serverContexts = 8;      // requests that one daemon handles at the same time
    int clientRequests = 32;     // requests in flight to one peer; more are refused with Busy
};

// --- Traffic ---

struct PeerTraffic {
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0; // bytes of messages, without TCP and nng framing
    std::uint64_t bytesReceived = 0;
};

// --- Closing ---

// Destroyed clients and servers whose sockets are not closed yet. Call it on the event loop's thread.
std::size_t pendingCloses();

// --- Server ---

using ReplyFunction = std::function<void(const QByteArray&)>;
using RequestHandler = std::function<void(const QByteArray& request, ReplyFunction reply)>;

// Listens on one address. The handler must call reply exactly once, now or later, on the event loop's thread.
class Server {
    friend std::size_t pendingCloses();

public:
    // address: HOST:PORT with a numeric IP address. Errors: BadAddress, AddressInUse, Transport.
    static base::Result<std::unique_ptr<Server>, PeerError> listen(
        const std::string& address, PeerLimits limits, RequestHandler handler);
    ~Server();

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    const PeerTraffic& traffic() const;

private:
    struct State;
    explicit Server(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

// --- Client ---

using ReplyCallback = std::function<void(base::Result<QByteArray, PeerError>)>;

// Sends requests to one peer; connects in the background and reconnects automatically. Each callback is called exactly
// once, unless the client is destroyed first.
class Client {
    friend std::size_t pendingCloses();

public:
    static base::Result<std::unique_ptr<Client>, PeerError> dial(const std::string& address, PeerLimits limits);
    ~Client();

    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // Errors: Timeout (the peer may have handled the request), Closed, TooLarge, Busy, Transport.
    void request(const QByteArray& message, ReplyCallback callback);

    const PeerTraffic& traffic() const;

private:
    struct State;
    explicit Client(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace lacewing::peer
