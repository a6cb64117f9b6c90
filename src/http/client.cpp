// Client on QNetworkAccessManager.
//
// Faults of QNetworkAccessManager 6.4.2 that this file guards against:
// - It re-sends a request when the connection closes before the answer. In mode Once the upload device refuses to be
//   rewound, also when the body is empty, and the library then reports an error instead of sending again.
// - After such a loss it connects again before it looks at the device, and a refused second connection looks like a
//   request that was never sent. The count of connection attempts decides about BytesSent::None.
// - It opens at most six connections to one address and reuses them. A peer verify name that differs for each request
//   keeps requests apart (for http:// it is only part of the cache key), and the expiry of 0 s frees the connection.
#include "http/client.h"

#include <QNetworkAccessManager>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <cstring>
#include <unordered_map>

namespace lacewing::http {

namespace {

    // Body that can be read once.
    class OnceDevice : public QIODevice {
    public:
        OnceDevice(QByteArray bytes, QObject* owner)
            : QIODevice(owner)
            , m_bytes(std::move(bytes))
        {
            open(QIODevice::ReadOnly | QIODevice::Unbuffered);
        }

        bool isSequential() const override { return false; } // a sequential device would be buffered and re-sent
        qint64 size() const override { return m_bytes.size(); }
        bool reset() override { return false; }
        bool seek(qint64) override { return false; }

    protected:
        qint64 readData(char* data, qint64 maxSize) override
        {
            const qint64 count = std::min<qint64>(maxSize, m_bytes.size() - m_position);
            if (count <= 0)
                return -1;
            std::memcpy(data, m_bytes.constData() + m_position, static_cast<std::size_t>(count));
            m_position += count;
            return count;
        }

        qint64 writeData(const char*, qint64) override { return -1; }

    private:
        QByteArray m_bytes;
        qint64 m_position = 0;
    };

    bool isOwnHeader(const QByteArray& name)
    {
        return isHopByHop(name) || name.compare("Host", Qt::CaseInsensitive) == 0
            || name.compare("Content-Length", Qt::CaseInsensitive) == 0;
    }

    QNetworkRequest makeRequest(const ClientRequest& request, const QUrl& url, RequestId id)
    {
        QNetworkRequest result(url);
        for (const Header& header : request.headers) {
            if (isOwnHeader(header.name))
                continue;
            // setRawHeader() replaces: repeated headers become one list (RFC 9110, 5.3; Cookie: RFC 6265, 5.4).
            const char* separator = header.name.compare("Cookie", Qt::CaseInsensitive) == 0 ? "; " : ", ";
            const bool isRepeated = result.hasRawHeader(header.name);
            result.setRawHeader(
                header.name, isRepeated ? result.rawHeader(header.name) + separator + header.value : header.value);
        }
        result.setRawHeader("Connection", "close");
        // The library adds values of its own for these headers when they are absent. An own Accept-Encoding also turns
        // its decompression off.
        if (!result.hasRawHeader("Accept-Encoding"))
            result.setRawHeader("Accept-Encoding", "identity");
        if (!result.hasRawHeader("Accept-Language"))
            result.setRawHeader("Accept-Language", "*");
        if (!result.hasRawHeader("User-Agent"))
            result.setRawHeader("User-Agent", "lacewingloft");
        result.setPeerVerifyName(QString::number(id));
        result.setAttribute(QNetworkRequest::ConnectionCacheExpiryTimeoutSecondsAttribute, 0);
        result.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
        result.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
        result.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
        result.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
        result.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
        result.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
        result.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
        return result;
    }

    Headers readHeaders(const QNetworkReply& reply)
    {
        Headers headers;
        for (const auto& [name, value] : reply.rawHeaderPairs()) {
            // The library joins repeated Set-Cookie headers with line feeds.
            for (const QByteArray& part : value.split('\n'))
                headers.push_back({ name, part });
        }
        return headers;
    }

    qint64 headerBytes(const QNetworkReply& reply)
    {
        qint64 bytes = 0;
        for (const auto& [name, value] : reply.rawHeaderPairs())
            bytes += name.size() + value.size() + 4;
        return bytes;
    }

} // namespace

struct PendingRequest {
    QNetworkReply* reply = nullptr;
    ClientCallback callback;
    QByteArray method;
    QByteArray body;         // received so far
    bool isOnce = false;
    int connectAttempts = 0; // started by the library
    bool wasSent = false;    // the library reported the request as written
};

struct Client::Context : QObject {
    ClientLimits limits;
    ClientCounters counters;
    QNetworkAccessManager manager;
    RequestId lastId = 0;
    std::unordered_map<RequestId, PendingRequest> pending;

    void onHeaders(RequestId id);
    void onData(RequestId id);
    void onFinished(RequestId id);
    // Ends a request before the library does.
    void end(RequestId id, Failure failure, const QByteArray& detail);
    void deliver(RequestId id, ClientResult result);
    ClientResult evaluate(const PendingRequest& request) const;
    bool isLengthVerified(const PendingRequest& request, const Headers& headers) const;
};

void Client::Context::onHeaders(RequestId id)
{
    const auto found = pending.find(id);
    if (found == pending.end())
        return;
    PendingRequest& request = found->second;
    if (headerBytes(*request.reply) > limits.responseHeaderBytes)
        return end(id, Failure::TooLarge, "headers larger than the limit");
    const int status = request.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (request.method == "HEAD" && status >= 200) {
        // The library does not know that an answer to a custom verb HEAD ends with its headers.
        ClientResult result;
        result.status = status;
        result.headers = readHeaders(*request.reply);
        return deliver(id, std::move(result));
    }
    const QByteArray length = request.reply->rawHeader("Content-Length");
    if (length.toLongLong() > limits.responseBodyBytes)
        return end(id, Failure::TooLarge, "body larger than the limit");
}

void Client::Context::onData(RequestId id)
{
    const auto found = pending.find(id);
    if (found == pending.end())
        return;
    PendingRequest& request = found->second;
    request.body += request.reply->readAll();
    if (request.body.size() > limits.responseBodyBytes)
        end(id, Failure::TooLarge, "body larger than the limit");
}

// True when the end of the answer is certain: by its length, by the last chunk (the library reports an error without
// it), or because the status has no body.
bool Client::Context::isLengthVerified(const PendingRequest& request, const Headers& headers) const
{
    const int status = request.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (status == 204 || status == 304)
        return true;
    if (hasHeader(headers, "Transfer-Encoding"))
        return headerValue(headers, "Transfer-Encoding").toLower() == "chunked"
            && !hasHeader(headers, "Content-Length");
    if (!hasHeader(headers, "Content-Length"))
        return limits.acceptCloseDelimited;
    bool isNumber = false;
    const qint64 length = headerValue(headers, "Content-Length").toLongLong(&isNumber);
    return isNumber && length == request.body.size();
}

ClientResult Client::Context::evaluate(const PendingRequest& request) const
{
    const QNetworkReply& reply = *request.reply;
    const QNetworkReply::NetworkError error = reply.error();
    ClientResult result;
    result.status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    result.detail = reply.errorString().toUtf8();
    const bool isNotConnected
        = error == QNetworkReply::ConnectionRefusedError || error == QNetworkReply::HostNotFoundError;
    // Errors of the ranges above 200 only repeat the status of a complete answer (QNetworkReply::NetworkError).
    const bool isStatusError = static_cast<int>(error) >= 201 && result.status >= 400;
    if (error != QNetworkReply::NoError && !isStatusError) {
        if (isNotConnected && result.status == 0 && request.isOnce && request.connectAttempts <= 1 && !request.wasSent) {
            result.failure = Failure::ConnectFailed;
            result.bytesSent = BytesSent::None;
        } else {
            result.failure = result.status == 0 ? Failure::ConnectionLost : Failure::Incomplete;
        }
        return result;
    }
    if (result.status == 0) {
        result.failure = Failure::ConnectionLost;
        result.detail = "the answer is not HTTP";
        return result;
    }
    result.headers = readHeaders(reply);
    if (!isLengthVerified(request, result.headers)) {
        result.failure = Failure::Incomplete;
        result.detail = "the end of the answer cannot be verified";
        return result;
    }
    result.detail = QByteArray();
    result.body = request.body;
    return result;
}

void Client::Context::onFinished(RequestId id)
{
    onData(id);
    const auto found = pending.find(id);
    if (found != pending.end())
        deliver(id, evaluate(found->second));
}

void Client::Context::end(RequestId id, Failure failure, const QByteArray& detail)
{
    const auto found = pending.find(id);
    if (found == pending.end())
        return;
    ClientResult result;
    result.failure = failure;
    result.detail = detail;
    result.status = found->second.reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    deliver(id, std::move(result));
}

void Client::Context::deliver(RequestId id, ClientResult result)
{
    const auto found = pending.find(id);
    const ClientCallback callback = std::move(found->second.callback);
    QNetworkReply* reply = found->second.reply;
    pending.erase(found);
    reply->disconnect(this);
    if (!reply->isFinished())
        reply->abort();
    reply->deleteLater();
    if (result.failure != Failure::None) {
        result.headers.clear();
        result.body.clear();
    }
    counters.bytesRead += static_cast<std::uint64_t>(result.body.size());
    ++counters.failures[static_cast<std::size_t>(result.failure)];
    counters.answered += result.ok() ? 1 : 0;
    // Last: the callback may destroy the client.
    callback(std::move(result));
}

Client::Client(ClientLimits limits)
    : m_context(std::make_unique<Context>())
{
    m_context->limits = limits;
    m_context->manager.setProxy(QNetworkProxy::NoProxy);
    m_context->manager.setCookieJar(nullptr);
    m_context->manager.setAutoDeleteReplies(false);
}

Client::~Client()
{
    for (auto& [id, request] : m_context->pending) {
        request.reply->disconnect(m_context.get());
        request.reply->abort();
    }
}

RequestId Client::send(const ClientRequest& request, ClientCallback callback)
{
    Context* context = m_context.get();
    const RequestId id = ++context->lastId;
    ++context->counters.sent;
    const QUrl url = QUrl::fromEncoded(request.url, QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != "http" || url.host().isEmpty()) {
        ClientResult result;
        result.failure = Failure::ConnectFailed;
        result.bytesSent = BytesSent::None;
        result.detail = "invalid URL";
        ++context->counters.failures[static_cast<std::size_t>(result.failure)];
        QMetaObject::invokeMethod(
            context, [callback = std::move(callback), result] { callback(result); }, Qt::QueuedConnection);
        return id;
    }

    const QNetworkRequest prepared = makeRequest(request, url, id);
    PendingRequest& entry = context->pending[id];
    entry.callback = std::move(callback);
    entry.method = request.method;
    entry.isOnce = request.mode == SendMode::Once;
    context->counters.bytesWritten += static_cast<std::uint64_t>(request.body.size());
    if (request.mode == SendMode::Once) {
        auto* device = new OnceDevice(request.body, context);
        entry.reply = context->manager.sendCustomRequest(prepared, request.method, device);
        device->setParent(entry.reply);
    } else {
        entry.reply = context->manager.sendCustomRequest(prepared, request.method, request.body);
    }
    QNetworkReply* reply = entry.reply;
    QObject::connect(reply, &QNetworkReply::socketStartedConnecting, context, [context, id] {
        if (const auto found = context->pending.find(id); found != context->pending.end())
            ++found->second.connectAttempts;
    });
    QObject::connect(reply, &QNetworkReply::requestSent, context, [context, id] {
        if (const auto found = context->pending.find(id); found != context->pending.end())
            found->second.wasSent = true;
    });
    QObject::connect(reply, &QNetworkReply::metaDataChanged, context, [context, id] { context->onHeaders(id); });
    QObject::connect(reply, &QNetworkReply::readyRead, context, [context, id] { context->onData(id); });
    QObject::connect(
        reply, &QNetworkReply::finished, context, [context, id] { context->onFinished(id); }, Qt::QueuedConnection);
    // The context object is the reply: the timer ends with it.
    QTimer::singleShot(
        request.timeoutMs, reply, [context, id] { context->end(id, Failure::Timeout, "no complete answer in time"); });
    return id;
}

void Client::cancel(RequestId request)
{
    if (m_context->pending.contains(request)) {
        QMetaObject::invokeMethod(
            m_context.get(),
            [context = m_context.get(), request] { context->end(request, Failure::Cancelled, "cancelled"); },
            Qt::QueuedConnection);
    }
}

int Client::inFlight() const { return static_cast<int>(m_context->pending.size()); }

const ClientCounters& Client::counters() const { return m_context->counters; }

} // namespace lacewing::http
