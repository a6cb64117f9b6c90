// Kept connection to one address: requests go out one after the other on the same connection.
//
// A new connection to a worker costs a handshake, so a channel keeps its connection and reconnects when it is lost. A
// request that fails or times out closes the connection: its answer could otherwise be read as that of the next
// request. Nothing is sent a second time by the channel; repeating a request is the caller's decision. A request that
// times out while it waits for its turn was not sent and leaves the connection as it is.
//
// A channel belongs to one thread (the one with the event loop). Callbacks run on it, never inside send().
#pragma once

#include "http/client.h"

#include <QByteArray>
#include <QString>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewing::http {

struct ChannelLimits {
    int connectTimeoutMs = 1000;                   // ms; until the connection is made
    int queuedRequests = 256;                      // requests that wait for their turn; more fail with ConnectFailed
    qint64 responseBodyBytes = 16LL * 1024 * 1024; // bytes
    int unresponsiveMs
        = 200;             // ms without an answer after which the peer, not this process, holds up the requests behind
    int idleTimeoutMs = 0; // ms without a request until the connection is closed; 0: kept
};

struct ChannelRequest {
    QByteArray method = "GET"; // upper case
    QByteArray target;         // path and query, percent-encoded
    Headers headers;           // without Host and Content-Length
    QByteArray body;
    int timeoutMs = 1000; // ms from send(), waiting in the queue included, to the complete answer
};

struct ChannelCounters {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t bytesRead = 0;
};

class Channel {
public:
    // address: HOST:PORT by IP number. `counters` outlives the channel; several channels may share one.
    Channel(const QString& address, ChannelLimits limits, ChannelCounters* counters);
    ~Channel(); // requests in progress are dropped, their callbacks are not called

    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    void send(ChannelRequest request, ClientCallback callback);
    int pending() const; // requests queued or in progress

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lacewing::http
