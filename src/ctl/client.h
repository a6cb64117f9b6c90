// Blocking HTTP calls to the daemons, with time limits and failover to the next daemon.
//
// A call is retried only when it is idempotent: it reads, or it carries an operation identity or job id by which the
// daemon recognises a repeat. Any other call goes to the next daemon only when no byte of it was sent.
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::ctl {

struct Call {
    QByteArray method = "GET";
    QByteArray path = {};     // percent-encoded, with query
    QByteArray body = {};     // JSON; empty: none
    bool isIdempotent = true; // false: never sent again after a byte may have been sent
    bool needsResult = false; // retried until the time limit while the result is unknown or all daemons answer 503
};

// Outcome of one attempt at one daemon. `Answer` is the outcome of the whole call.
struct Reply {
    enum class Kind {
        Answered,
        NotSent, // no byte was sent
        Unknown, // sent, but no complete answer was received
    };

    Kind kind = Kind::NotSent;
    int status = 0; // HTTP status
    QByteArray body;
    std::string detail; // cause when not Answered
};

using Transport = std::function<Reply(const std::string& address, const Call& call, int timeoutMs)>;

// Sends by HTTP and runs the event loop until the answer has arrived. Needs a QCoreApplication.
Transport httpTransport();

// Outcome of a call over all its attempts.
struct Answer {
    enum class Kind {
        Answered,
        Unreachable, // no daemon could be reached
        Unknown,     // the call may have been executed
    };

    Kind kind = Kind::Unreachable;
    int status = 0;
    QJsonObject body;   // empty when the answer is not a JSON object
    std::string daemon; // address that answered
    std::string detail; // cause when not Answered, for each daemon
};

struct Client {
    std::vector<std::string> addresses; // HOST:PORT
    Transport transport;
    std::function<void(int)> sleepMs;
    std::function<std::int64_t()> nowMs; // monotonic
    int timeoutMs = 5000;                // of one attempt
    int resultTimeoutMs = 15000;         // of all attempts of a call with `needsResult`
};

// Tries the daemons in order until one answers with a status other than 503. When none does, the last 503 is returned,
// if there was one.
Answer call(const Client& client, const Call& request);

// True for HOST:PORT with a port in 1..65535; an IPv6 address must be in brackets.
bool isAddress(const std::string& text);

} // namespace lacewing::ctl
