// Channel: a request queue in front of one QTcpSocket, and the response parser.
#include "http/channel.h"

#include "base/time.h"
#include "http/answer.h"

#include <QNetworkProxy>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace lacewing::http {

namespace {

    struct Exchange {
        ChannelRequest request;
        ClientCallback callback;
        base::TimePoint deadline;
        base::TimePoint queuedAt;
        base::TimePoint writtenAt = {};  // when the first byte was written
        base::TimePoint receivedAt = {}; // when the last byte of the response was received; before the first: writtenAt
        qint64 bytesReceived = 0;
    };

    QByteArray encode(const ChannelRequest& request, const QByteArray& authority)
    {
        QByteArray bytes;
        bytes.reserve(256 + request.body.size());
        bytes.append(request.method).append(' ').append(request.target);
        bytes.append(" HTTP/1.1\r\nHost: ").append(authority).append("\r\n");
        for (const Header& header : request.headers)
            bytes.append(header.name).append(": ").append(header.value).append("\r\n");
        if (!request.body.isEmpty())
            bytes.append("Content-Type: application/json\r\n");
        if (!request.body.isEmpty() || request.method != "GET")
            bytes.append("Content-Length: ").append(QByteArray::number(request.body.size())).append("\r\n");
        bytes.append("\r\n");
        bytes.append(request.body);
        return bytes;
    }

} // namespace

struct Channel::State : QObject {
    State(const QString& address, ChannelLimits channelLimits, ChannelCounters* channelCounters)
        : limits(channelLimits)
        , counters(channelCounters)
        , authority(address.toUtf8())
        , target(splitAddress(address))
    {
        timer.setSingleShot(true);
        QObject::connect(&timer, &QTimer::timeout, this, [this] { onTimer(); });
        idleTimer.setSingleShot(true);
        QObject::connect(&idleTimer, &QTimer::timeout, this, [this] { dropSocket(); });
    }

    ~State() override { dropSocket(); }

    // Sends the request at the front of the queue, or connects first.
    void sendNext()
    {
        if (isBusy || queue.empty())
            return;
        if (base::monotonicNow() >= queue.front().deadline) { // expired: not sent, failed by onTimer()
            armTimer();
            return;
        }
        if (!socket) {
            openSocket();
            return;
        }
        if (socket->state() != QAbstractSocket::ConnectedState) {
            armTimer(); // the attempt may have been started for earlier requests, which have expired
            return;
        }
        isBusy = true;
        queue.front().writtenAt = queue.front().receivedAt = base::monotonicNow();
        const ChannelRequest& request = queue.front().request;
        ClientLimits parserLimits;
        parserLimits.responseBodyBytes = limits.responseBodyBytes;
        parser = makeAnswerParser(parserLimits, request.method);
        const QByteArray bytes = encode(request, authority);
        counters->bytesWritten += static_cast<std::uint64_t>(bytes.size());
        ++counters->requests;
        socket->write(bytes);
        socket->flush();
        armTimer();
    }

    void sendNextLater()
    {
        QMetaObject::invokeMethod(
            this, [this] { sendNext(); }, Qt::QueuedConnection);
    }

    void openSocket()
    {
        ++counters->connections;
        connectStarted = base::monotonicNow();
        socket = new QTcpSocket(this);
        socket->setProxy(QNetworkProxy::NoProxy);
        QObject::connect(socket, &QTcpSocket::connected, this, [this] {
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            sendNext();
        });
        QObject::connect(socket, &QTcpSocket::readyRead, this, [this] { onReadable(); });
        QObject::connect(socket, &QTcpSocket::errorOccurred, this, [this] { onError(); });
        const QPointer<State> self(this); // a refusal may arrive here already, and its callback may destroy the channel
        socket->connectToHost(target.host, target.port);
        if (self)
            armTimer();
    }

    void dropSocket()
    {
        if (!socket)
            return;
        socket->disconnect(this);
        socket->abort();
        socket->setParent(nullptr); // it may be further up the stack when the channel is destroyed
        socket->deleteLater();
        socket = nullptr;
    }

    // Starts the timer for the earliest deadline: of any request, or of the connection attempt.
    void armTimer()
    {
        if (queue.empty()) {
            timer.stop();
            return;
        }
        const auto first = std::min_element(
            queue.begin(), queue.end(), [](const Exchange& a, const Exchange& b) { return a.deadline < b.deadline; });
        base::TimePoint due = first->deadline;
        if (socket && socket->state() != QAbstractSocket::ConnectedState)
            due = std::min(due, connectStarted + base::milliseconds(limits.connectTimeoutMs));
        if (const auto stallsAt = stallDeadline())
            due = std::min(due, *stallsAt);
        const auto left = base::toMilliseconds(due - base::monotonicNow()) + 1;
        timer.start(static_cast<int>(std::max<std::int64_t>(0, left)));
    }

    // When the request in progress fails unless a byte arrives before; not brought forward for each byte by armTimer().
    std::optional<base::TimePoint> stallDeadline() const
    {
        if (!isBusy || queue.front().request.stallTimeoutMs <= 0)
            return std::nullopt;
        return queue.front().receivedAt + base::milliseconds(queue.front().request.stallTimeoutMs);
    }

    void onTimer()
    {
        if (queue.empty())
            return;
        const base::TimePoint now = base::monotonicNow();
        const auto stallsAt = stallDeadline();
        if (isBusy && (now >= queue.front().deadline || (stallsAt && now >= *stallsAt))) {
            lastUnresponsiveAt = now;
            fail(Failure::Timeout,
                queue.front().bytesReceived > 0 ? "answer is incomplete" : "no complete answer in time");
            return;
        }
        const bool isConnecting = socket && socket->state() != QAbstractSocket::ConnectedState;
        if (isConnecting && now >= connectStarted + base::milliseconds(limits.connectTimeoutMs)) {
            failConnection("no connection in time");
            return;
        }
        failQueued(isConnecting ? Failure::ConnectFailed : Failure::Timeout, "its turn did not come in time",
            [now](const Exchange& exchange) { return now >= exchange.deadline; });
    }

    // Fails the queued requests that the predicate selects. No byte of them was sent, so the connection stays usable.
    template <typename Predicate> void failQueued(Failure failure, const QByteArray& detail, Predicate isSelected)
    {
        const base::TimePoint now = base::monotonicNow();
        if (isBusy && now - queue.front().writtenAt >= base::milliseconds(limits.unresponsiveMs))
            lastUnresponsiveAt = now;
        std::vector<Exchange> failed;
        const auto kept = std::stable_partition(queue.begin() + (isBusy ? 1 : 0), queue.end(),
            [&](const Exchange& exchange) { return !isSelected(exchange); });
        std::move(kept, queue.end(), std::back_inserter(failed));
        queue.erase(kept, queue.end());
        armTimer();
        if (!isBusy && !queue.empty())
            sendNextLater();
        const QPointer<State> self(this); // a callback may destroy the channel
        for (const Exchange& exchange : failed) {
            if (!self)
                return;
            ++counters->failures;
            ClientResult result;
            result.failure = failure;
            result.bytesSent = BytesSent::None;
            result.detail = detail;
            result.wasPeerUnresponsive = exchange.queuedAt <= lastUnresponsiveAt;
            result.waitedMs = static_cast<int>(base::toMilliseconds(now - exchange.queuedAt));
            exchange.callback(std::move(result));
        }
    }

    void failConnection(const QByteArray& detail)
    {
        dropSocket();
        failQueued(Failure::ConnectFailed, detail, [](const Exchange&) { return true; });
    }

    void onReadable()
    {
        const QByteArray bytes = socket->readAll();
        counters->bytesRead += static_cast<std::uint64_t>(bytes.size());
        if (!isBusy) { // unsolicited bytes: responses could no longer be matched to requests
            dropSocket();
            return;
        }
        const bool isBegin = queue.front().bytesReceived == 0;
        queue.front().receivedAt = base::monotonicNow();
        queue.front().bytesReceived += bytes.size();
        if (isBegin && queue.front().request.onResponseBegun)
            queue.front().request.onResponseBegun();
        feedAnswer(parser, bytes);
        if (parser.state == AnswerParser::State::Failed)
            fail(parser.failure, parser.detail);
        else if (parser.state == AnswerParser::State::Done)
            succeed();
    }

    void onError()
    {
        if (isBusy) {
            feedAnswer(parser, socket->readAll());
            if (parser.state == AnswerParser::State::Done) {
                succeed();
                return;
            }
            fail(Failure::ConnectionLost, socket->errorString().toUtf8());
            return;
        }
        const bool wasConnecting = socket->state() != QAbstractSocket::ConnectedState;
        if (wasConnecting && !queue.empty()) {
            failConnection(socket->errorString().toUtf8());
            return;
        }
        dropSocket();
        sendNext();
    }

    void succeed()
    {
        ClientResult result;
        result.status = parser.status;
        result.headers = std::move(parser.headers);
        result.body = std::move(parser.body);
        const bool isClosing = hasToken(result.headers, "Connection", "close");
        finish(std::move(result), isClosing);
    }

    void fail(Failure failure, const QByteArray& detail)
    {
        ++counters->failures;
        ClientResult result;
        result.failure = failure;
        result.detail = detail;
        result.bytesSent = isBusy ? BytesSent::Some : BytesSent::None;
        finish(std::move(result), true);
    }

    void finish(ClientResult result, bool close)
    {
        if (close)
            dropSocket();
        const base::TimePoint waitedUntil = isBusy ? queue.front().writtenAt : base::monotonicNow();
        result.waitedMs = static_cast<int>(base::toMilliseconds(waitedUntil - queue.front().queuedAt));
        result.bytesReceived = queue.front().bytesReceived;
        isBusy = false;
        const ClientCallback callback = std::move(queue.front().callback);
        queue.pop_front();
        if (queue.empty()) {
            timer.stop();
            if (limits.idleTimeoutMs > 0)
                idleTimer.start(limits.idleTimeoutMs);
        }
        // The callback may destroy the channel, so the next request is sent from the event loop.
        if (!queue.empty())
            sendNextLater();
        callback(std::move(result));
    }

    ChannelLimits limits;
    ChannelCounters* counters;
    QByteArray authority;
    HostAndPort target;
    QTcpSocket* socket = nullptr;
    std::deque<Exchange> queue; // the front is in progress when isBusy; the others have not been sent
    bool isBusy = false;
    AnswerParser parser;
    base::TimePoint connectStarted;
    base::TimePoint lastUnresponsiveAt {}; // last time at which a sent request was past its deadline or without a
                                           // response for unresponsiveMs
    QTimer timer;                          // see armTimer()
    QTimer idleTimer;
};

Channel::Channel(const QString& address, ChannelLimits limits, ChannelCounters* counters)
    : m_state(std::make_unique<State>(address, limits, counters))
{
}

Channel::~Channel() = default;

void Channel::abandon()
{
    State* state = m_state.get();
    QMetaObject::invokeMethod(
        state,
        [state] {
            if (state->isBusy)
                state->fail(Failure::ConnectionLost, "abandoned");
            else if (!state->queue.empty())
                state->failConnection("abandoned");
        },
        Qt::QueuedConnection);
}

void Channel::send(ChannelRequest request, ClientCallback callback)
{
    State* state = m_state.get();
    state->idleTimer.stop();
    if (static_cast<int>(state->queue.size()) >= state->limits.queuedRequests) {
        QMetaObject::invokeMethod(
            state,
            [callback = std::move(callback)] {
                ClientResult result;
                result.failure = Failure::ConnectFailed;
                result.bytesSent = BytesSent::None;
                result.detail = "queue of the connection is full";
                callback(std::move(result));
            },
            Qt::QueuedConnection);
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    const base::TimePoint deadline = now + base::milliseconds(request.timeoutMs);
    state->queue.push_back({ std::move(request), std::move(callback), deadline, now });
    if (state->queue.size() > 1)
        state->armTimer();
    else
        state->sendNextLater();
}

int Channel::pending() const { return static_cast<int>(m_state->queue.size()); }

} // namespace lacewing::http
