// Client: one Exchange object for each request.
//
// The request is written once, after the connection was made. BytesSent::None is certain until then, and a request
// cannot be sent twice.
#include "http/client.h"

#include "http/answer.h"

#include <QDeadlineTimer>
#include <QNetworkProxy>
#include <QTcpSocket>
#include <QTimer>
#include <QUrl>
#include <unordered_map>

namespace lacewing::http {

namespace {

    // Received bytes of a response that the socket buffers before they are parsed.
    constexpr qint64 readBufferBytes = 256LL * 1024;

    bool isLineSafe(const QByteArray& text)
    {
        return !text.contains('\r') && !text.contains('\n') && !text.contains('\0');
    }

    bool isSetByClient(const QByteArray& name)
    {
        return isHopByHop(name) || name.compare("Host", Qt::CaseInsensitive) == 0
            || name.compare("Content-Length", Qt::CaseInsensitive) == 0;
    }

    struct Target {
        QString host;
        std::uint16_t port = 80;
        QByteArray authority; // for the Host header
        QByteArray path;      // with query
    };

    // Path and query are copied unchanged, because QUrl would decode and normalise them.
    std::optional<Target> parseTarget(const QByteArray& url)
    {
        if (!url.startsWith("http://"))
            return std::nullopt;
        const qsizetype start = 7;
        qsizetype end = start;
        while (end < url.size() && url[end] != '/' && url[end] != '?')
            ++end;
        Target target;
        target.authority = url.mid(start, end - start);
        target.path = url.mid(end);
        if (!target.path.startsWith('/'))
            target.path.prepend('/');
        const QUrl parsed = QUrl::fromEncoded("http://" + target.authority + "/", QUrl::StrictMode);
        if (!parsed.isValid() || parsed.host().isEmpty() || !parsed.userInfo().isEmpty() || parsed.port(80) < 1)
            return std::nullopt;
        for (const char c : target.path) {
            const auto byte = static_cast<unsigned char>(c);
            if (byte <= 0x20 || byte >= 0x7f || byte == '#')
                return std::nullopt;
        }
        target.host = parsed.host();
        target.port = static_cast<std::uint16_t>(parsed.port(80));
        return target;
    }

    std::optional<QByteArray> encodeRequest(const ClientRequest& request, const Target& target)
    {
        QByteArray bytes;
        bytes.reserve(512 + request.body.size());
        bytes += request.method + ' ' + target.path + " HTTP/1.1\r\nHost: " + target.authority + "\r\n";
        for (const Header& header : request.headers) {
            if (isSetByClient(header.name))
                continue;
            if (header.name.isEmpty() || !isLineSafe(header.name) || !isLineSafe(header.value))
                return std::nullopt;
            bytes += header.name + ": " + header.value + "\r\n";
        }
        const bool isSafeMethod = request.method == "GET" || request.method == "HEAD";
        if (!request.body.isEmpty() || !isSafeMethod)
            bytes += "Content-Length: " + QByteArray::number(request.body.size()) + "\r\n";
        bytes += "Connection: close\r\n\r\n";
        bytes += request.body;
        return bytes;
    }

} // namespace

class Exchange;

struct Client::Context {
    ClientLimits limits;
    RequestId lastId = 0;
    std::unordered_map<RequestId, Exchange*> exchanges;
    // Number of sockets that wait for the peer to close. Shared with them, because they outlive the client.
    std::shared_ptr<int> closingSockets = std::make_shared<int>(0);
    ClientCounters counters;
};

// One request: connects, sends it and receives the response. Deletes itself after the callback.
class Exchange : public QObject {
public:
    Exchange(Client::Context& context, RequestId id, ClientCallback callback)
        : m_context(context)
        , m_id(id)
        , m_callback(std::move(callback))
        , m_socket(new QTcpSocket(this))
    {
        m_timer.setSingleShot(true);
        m_timer.setTimerType(Qt::PreciseTimer);
        connect(&m_timer, &QTimer::timeout, this, &Exchange::onTimeout);
    }

    // Everything is started from the event loop, so that no callback runs inside send().
    void begin(const ClientRequest& request)
    {
        const std::optional<Target> target = parseTarget(request.url);
        std::optional<QByteArray> bytes = target ? encodeRequest(request, *target) : std::nullopt;
        if (!bytes) {
            QMetaObject::invokeMethod(
                this, [this] { finish(Failure::ConnectFailed, "invalid URL or header"); }, Qt::QueuedConnection);
            return;
        }
        m_request = std::move(*bytes);
        m_parser = makeAnswerParser(m_context.limits, request.method);
        const int timeoutMs = std::max(0, request.timeoutMs);
        m_deadline = QDeadlineTimer(timeoutMs, Qt::PreciseTimer);
        m_timer.start(std::min(timeoutMs, m_context.limits.connectTimeoutMs));
        QMetaObject::invokeMethod(
            this, [this, host = target->host, port = target->port] { connectTo(host, port); }, Qt::QueuedConnection);
    }

    void finish(Failure failure, const QByteArray& detail)
    {
        ClientResult result;
        result.failure = failure;
        result.detail = detail;
        result.bytesSent = m_bytesSent;
        result.status = m_parser.status;
        deliver(std::move(result));
    }

private:
    void connectTo(const QString& host, std::uint16_t port)
    {
        m_socket->setProxy(QNetworkProxy::NoProxy);
        m_socket->setReadBufferSize(readBufferBytes);
        connect(m_socket, &QTcpSocket::connected, this, &Exchange::onConnected);
        connect(m_socket, &QTcpSocket::readyRead, this, &Exchange::onReadable);
        connect(m_socket, &QTcpSocket::errorOccurred, this, &Exchange::onError);
        m_socket->connectToHost(host, port);
    }

    void onConnected()
    {
        m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        m_timer.start(static_cast<int>(m_deadline.remainingTime()));
        m_bytesSent = BytesSent::Some;
        m_context.counters.bytesWritten += static_cast<std::uint64_t>(m_request.size());
        m_socket->write(m_request);
        m_request.clear();
        m_socket->flush();
    }

    void onReadable()
    {
        if (m_isFinished)
            return;
        const QByteArray bytes = m_socket->readAll();
        m_context.counters.bytesRead += static_cast<std::uint64_t>(bytes.size());
        feedAnswer(m_parser, bytes);
        evaluate();
    }

    // Also called when the peer closes (RemoteHostClosedError).
    void onError()
    {
        if (m_isFinished)
            return;
        if (m_bytesSent == BytesSent::None)
            return finish(Failure::ConnectFailed, m_socket->errorString().toUtf8());
        feedAnswer(m_parser, m_socket->readAll());
        endAnswer(m_parser);
        evaluate();
    }

    void onTimeout()
    {
        if (m_bytesSent == BytesSent::None && !m_deadline.hasExpired())
            return finish(Failure::ConnectFailed, "no connection in time");
        finish(Failure::Timeout, "no complete answer in time");
    }

    void evaluate()
    {
        if (m_parser.state == AnswerParser::State::Failed)
            return finish(m_parser.failure, m_parser.detail);
        if (m_parser.state != AnswerParser::State::Done)
            return;
        ClientResult result;
        result.status = m_parser.status;
        result.headers = std::move(m_parser.headers);
        result.body = std::move(m_parser.body);
        deliver(std::move(result));
    }

    void deliver(ClientResult result)
    {
        if (m_isFinished)
            return;
        m_isFinished = true;
        m_timer.stop();
        m_context.exchanges.erase(m_id);
        ++m_context.counters.failures[static_cast<std::size_t>(result.failure)];
        m_context.counters.answered += result.ok() ? 1 : 0;
        closeSocket(result.ok() && hasToken(result.headers, "Connection", "close"));
        deleteLater();
        // Last: the callback may destroy the client.
        const ClientCallback callback = std::move(m_callback);
        callback(std::move(result));
    }

    // The side that closes first keeps the pair of ports in TIME_WAIT for a minute, so that about 470 requests per
    // second to one endpoint would use up the local ports. A peer that announced `Connection: close` therefore gets
    // closeWaitMs to close first.
    void closeSocket(bool isPeerClosing)
    {
        m_socket->disconnect(this);
        const bool isOpen = m_socket->state() == QAbstractSocket::ConnectedState;
        if (!isOpen || !isPeerClosing || m_socket->bytesToWrite() > 0
            || *m_context.closingSockets >= m_context.limits.closingConnections) {
            m_socket->abort();
            return;
        }
        QTcpSocket* socket = m_socket;
        socket->setParent(nullptr);
        ++*m_context.closingSockets;
        connect(socket, &QTcpSocket::disconnected, socket, [socket, closingSockets = m_context.closingSockets] {
            --*closingSockets;
            socket->deleteLater();
        });
        QTimer::singleShot(m_context.limits.closeWaitMs, socket, [socket] { socket->abort(); });
    }

    Client::Context& m_context;
    RequestId m_id;
    ClientCallback m_callback;
    QTcpSocket* m_socket;
    QTimer m_timer; // time limit of the connection attempt, then of the request
    QDeadlineTimer m_deadline;
    QByteArray m_request; // cleared once it is written
    AnswerParser m_parser;
    BytesSent m_bytesSent = BytesSent::None;
    bool m_isFinished = false;
};

Client::Client(ClientLimits limits)
    : m_context(std::make_unique<Context>())
{
    m_context->limits = limits;
}

Client::~Client()
{
    for (const auto& [id, exchange] : m_context->exchanges)
        delete exchange;
}

RequestId Client::send(const ClientRequest& request, ClientCallback callback)
{
    const RequestId id = ++m_context->lastId;
    ++m_context->counters.sent;
    auto* exchange = new Exchange(*m_context, id, std::move(callback)); // deletes itself
    m_context->exchanges.emplace(id, exchange);
    exchange->begin(request);
    return id;
}

void Client::cancel(RequestId request)
{
    const auto found = m_context->exchanges.find(request);
    if (found == m_context->exchanges.end())
        return;
    Exchange* exchange = found->second;
    QMetaObject::invokeMethod(
        exchange, [exchange] { exchange->finish(Failure::Cancelled, "cancelled"); }, Qt::QueuedConnection);
}

int Client::inFlight() const { return static_cast<int>(m_context->exchanges.size()); }

const ClientCounters& Client::counters() const { return m_context->counters; }

} // namespace lacewing::http
