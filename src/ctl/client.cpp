// HTTP calls to the daemons, with failover and retries.
#include "ctl/client.h"

#include "http/client.h"

#include <QEventLoop>
#include <QJsonDocument>
#include <QUrl>
#include <algorithm>

namespace lacewing::ctl {

namespace {

    constexpr int serviceUnavailable = 503;
    constexpr int retryDelayMs = 500;

    Reply replyOf(const http::ClientResult& result)
    {
        Reply reply;
        if (result.ok()) {
            reply.kind = Reply::Kind::Answered;
            reply.status = result.status;
            reply.body = result.body;
            return reply;
        }
        reply.kind = result.bytesSent == http::BytesSent::None ? Reply::Kind::NotSent : Reply::Kind::Unknown;
        reply.detail = std::string(base::nameOf(http::failureNames, result.failure));
        if (!result.detail.isEmpty())
            reply.detail += ": " + result.detail.toStdString();
        return reply;
    }

    // Result of one pass over all daemons.
    struct Round {
        Answer answer;
        bool isOutcomeUnknown = false; // an attempt may have been executed
        bool isUnavailable = false;    // the last answer is 503
    };

    Round tryDaemonsInOrder(const Client& client, const Call& request)
    {
        Round round;
        for (const std::string& address : client.addresses) {
            const Reply reply = client.transport(address, request, client.timeoutMs);
            if (reply.kind == Reply::Kind::Answered) {
                round.answer = { Answer::Kind::Answered, reply.status, QJsonDocument::fromJson(reply.body).object(),
                    address, {} };
                round.isUnavailable = reply.status == serviceUnavailable;
                // Unless a 503 has "executed": "no", the daemon may still execute the call.
                const bool mayBeExecuted = round.answer.body.value("executed").toString() != "no";
                round.isOutcomeUnknown = round.isOutcomeUnknown || (round.isUnavailable && mayBeExecuted);
                if (!round.isUnavailable || !request.isIdempotent)
                    return round;
                continue;
            }
            round.isOutcomeUnknown = round.isOutcomeUnknown || reply.kind == Reply::Kind::Unknown;
            if (round.answer.kind != Answer::Kind::Answered) {
                round.answer.detail += (round.answer.detail.empty() ? "" : "; ") + address + ": " + reply.detail;
                round.answer.kind = round.isOutcomeUnknown ? Answer::Kind::Unknown : Answer::Kind::Unreachable;
            }
            if (reply.kind == Reply::Kind::Unknown && !request.isIdempotent)
                return round;
        }
        return round;
    }

} // namespace

Transport httpTransport()
{
    return [](const std::string& address, const Call& request, int timeoutMs) {
        http::ClientRequest httpRequest;
        httpRequest.method = request.method;
        httpRequest.url = QByteArray::fromStdString("http://" + address) + request.path;
        httpRequest.body = request.body;
        httpRequest.timeoutMs = timeoutMs;
        if (!request.body.isEmpty())
            httpRequest.headers.push_back({ "Content-Type", "application/json" });
        http::Client client;
        QEventLoop loop;
        Reply reply;
        client.send(httpRequest, [&](const http::ClientResult& result) {
            reply = replyOf(result);
            loop.quit();
        });
        loop.exec();
        return reply;
    };
}

Answer call(const Client& client, const Call& request)
{
    const std::int64_t deadline = client.nowMs() + client.resultTimeoutMs;
    bool isOutcomeUnknown = false;
    for (;;) {
        Round round = tryDaemonsInOrder(client, request);
        const bool isFinal = round.answer.kind == Answer::Kind::Answered && !round.isUnavailable;
        if (isFinal)
            return round.answer;
        isOutcomeUnknown = isOutcomeUnknown || round.isOutcomeUnknown;
        const bool shouldRetry
            = request.needsResult && request.isIdempotent && (isOutcomeUnknown || round.isUnavailable);
        if (shouldRetry && client.nowMs() + retryDelayMs < deadline) {
            client.sleepMs(retryDelayMs);
            continue;
        }
        if (isOutcomeUnknown && request.needsResult) {
            round.answer.kind = Answer::Kind::Unknown;
            if (round.answer.detail.empty())
                round.answer.detail = round.answer.body.value("detail").toString().toStdString();
        }
        return round.answer;
    }
}

bool isAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const std::string host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const bool hasColon = host.find(':') != std::string::npos;
    const bool isHost = (isBracketed || !hasColon) && host.find_first_of("/?#@ ") == std::string::npos;
    const bool isNumber = !port.empty() && port.size() <= 5
        && std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
    return isHost && isNumber && std::stoi(port) >= 1 && std::stoi(port) <= 65535;
}

} // namespace lacewing::ctl
