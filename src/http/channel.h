// Persistent connection to one address: queued requests are sent one at a time on the same connection.
//
// A new connection to a worker costs a handshake, so a channel keeps its connection open and reconnects when it is
// lost. If the request in progress fails or times out, the connection is closed, because a late response could be taken
// for that of the next request. The channel sends each request at most once; retries are up to the code that uses it. A
// request that times out in the queue was not sent and does not affect the connection.
//
// A channel belongs to one thread (the one with the event loop). Callbacks run on that thread, never inside send().
#pragma once

#include "http/client.h"

#include <QByteArray>
#include <QString>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewing::http {

struct ChannelLimits {
    int connectTimeoutMs = 1000;                   // ms; time limit of a connection attempt
    int queuedRequests = 256;                      // requests queued or in progress; more fail with ConnectFailed
    qint64 responseBodyBytes = 16LL * 1024 * 1024; // bytes
    int unresponsiveMs = 200; // ms without a response after which the delay of queued requests is attributed to the
                              // peer, not to this process
    int idleTimeoutMs = 0;    // ms without a request until the connection is closed; 0: kept open
};

struct ChannelRequest {
    QByteArray method = "GET"; // upper case
    QByteArray target;         // path and query, percent-encoded
    Headers headers;           // without Host and Content-Length
    QByteArray body;
    int timeoutMs = 1000; // ms from send() to the complete response, queue wait included
    // ms without a byte of the response after which a sent request fails. With it, `timeoutMs` may allow for the
    // transfer of a large response over a slow link, and an unresponsive peer is still noticed early. 0: no such limit.
    int stallTimeoutMs = 0;
    // Runs at the first byte of the response, before the callback; optional. May not destroy the channel.
    std::function<void()> onResponseBegun = {};
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
    // address: HOST:PORT, where HOST is an IP address. `counters` must outlive the channel; channels may share it.
    Channel(const QString& address, ChannelLimits limits, ChannelCounters* counters);
    ~Channel(); // drops all requests without calling their callbacks

    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    void send(ChannelRequest request, ClientCallback callback);
    // The peer's process is known to have ended: closes the connection and fails the request in progress. When there is
    // none, fails those that wait for a connection.
    void abandon();
    int pending() const; // requests queued or in progress

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lacewing::http
