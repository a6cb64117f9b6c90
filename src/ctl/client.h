// Calls to daemons: blocking, with time limits, and with the next daemon when one is unreachable.
//
// A call is sent again only when that is safe: it reads, or it carries an operation identity or job id by which the
// daemon recognises a repeat.
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
    QByteArray path = {}; // percent-encoded, with query
    QByteArray body = {}; // JSON; empty: none
    bool isIdempotent = true;
    bool needsResult = false; // an unknown result is resolved by repeating the call until the time limit
};

// Outcome of one attempt at one daemon.
struct Reply {
    enum class Kind {
        Answered,
        NotSent, // no byte was sent
        Unknown, // sent, and no complete answer
    };

    Kind kind = Kind::NotSent;
    int status = 0; // HTTP
    QByteArray body;
    std::string detail; // cause when not Answered
};

using Transport = std::function<Reply(const std::string& address, const Call& call, int timeoutMs)>;

// Sends by HTTP and runs the event loop until the answer has arrived. Needs a QCoreApplication.
Transport httpTransport();

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
    int timeoutMs = 5000;                // one attempt
    int resultTimeoutMs = 15000;         // all attempts of a call that needs its result
};

// Asks the daemons in order until one answers with a status other than 503. When all answer 503, the last answer is
// returned.
Answer call(const Client& client, const Call& request);

// True for HOST:PORT with a port in 1..65535; an IPv6 host stands in brackets.
bool isAddress(const std::string& text);

} // namespace lacewing::ctl
