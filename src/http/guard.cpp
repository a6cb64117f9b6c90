// State machine of an accepted connection.
#include "http/guard.h"

#include "http/problem.h"

#include <QHostAddress>
#include <algorithm>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace lacewing::http {

namespace {

    // Received bytes that the socket buffers before they are processed. Bounds the memory that a pipelining caller can
    // use; most requests fit into it.
    constexpr qint64 readBufferBytes = 16LL * 1024;
    // The same while a body arrives, for fewer reads.
    constexpr qint64 bodyReadBufferBytes = 64LL * 1024;
    // Memory that the kernel may use for each of the two buffers of a connection.
    constexpr qint64 kernelBytes = 2LL * kernelBufferBytes;
    // Memory of a parsed head in relation to its bytes: each field is an allocation of its own.
    constexpr qint64 headCopies = 2;
    // Unused bytes in the buffer of an incomplete request that are kept for its next bytes.
    constexpr qint64 slackBytes = 1024;
    // A connection is closed in favour of a new one only if it has kept its place for this long without a request: a
    // caller sends its request right after connecting.
    constexpr base::Duration slowAfter = base::seconds(1);
    // Connections over the limit that are being sent a 503 response; further ones are closed without a response.
    constexpr int maxRefusedConnections = 64;
    // QTcpServer stops accepting permanently after an error such as EMFILE; accepting is resumed after this delay.
    constexpr int acceptRetryMs = 100;

    bool isLineSafe(const QByteArray& text)
    {
        return !text.contains('\r') && !text.contains('\n') && !text.contains('\0');
    }

    bool hasNoBody(int status) { return status < 200 || status == 204 || status == 304; }

    QByteArray encodeResponse(const Response& response, bool isHead, bool closeAfter, int minorVersion)
    {
        QByteArray bytes;
        bytes.reserve(256 + (isHead ? 0 : response.body.size()));
        bytes += "HTTP/1.1 " + QByteArray::number(response.status) + ' ' + reasonPhrase(response.status) + "\r\n";
        QByteArray declaredLength;
        for (const Header& header : response.headers) {
            if (header.name.compare("Content-Length", Qt::CaseInsensitive) == 0) {
                declaredLength = header.value;
                continue;
            }
            // A line break in a forwarded value would allow header injection and response splitting.
            if (isHopByHop(header.name) || !isLineSafe(header.name) || !isLineSafe(header.value))
                continue;
            bytes += header.name + ": " + header.value + "\r\n";
        }
        // A response to HEAD without a body declares the length that GET would have if the handler gives it, and none
        // otherwise: a length of 0 would be wrong for a forwarded response.
        const bool isDeclared
            = isHead && response.body.isEmpty() && !declaredLength.isEmpty() && isLineSafe(declaredLength);
        if (isDeclared)
            bytes += "Content-Length: " + declaredLength + "\r\n";
        else if (!hasNoBody(response.status) && !(isHead && response.body.isEmpty()))
            bytes += "Content-Length: " + QByteArray::number(response.body.size()) + "\r\n";
        if (closeAfter)
            bytes += "Connection: close\r\n";
        else if (minorVersion == 0)
            bytes += "Connection: keep-alive\r\n";
        bytes += "\r\n";
        if (!isHead && !hasNoBody(response.status))
            bytes += response.body;
        return bytes;
    }

    // The request as passed to QHttpServer: validated headers, no hop-by-hop headers. Without the body, of which
    // QHttpServer would keep a copy until the next request.
    QByteArray encodeForParser(const RequestHead& head)
    {
        QByteArray bytes;
        bytes.reserve(256);
        bytes += head.method + ' ' + head.target + " HTTP/1.1\r\n";
        for (const Header& header : head.headers) {
            if (!isHopByHop(header.name) && header.name.compare("Content-Length", Qt::CaseInsensitive) != 0)
                bytes += header.name + ": " + header.value + "\r\n";
        }
        bytes += "Content-Length: 0\r\n\r\n";
        return bytes;
    }

} // namespace

// --- ParserSocket ---

ParserSocket::ParserSocket(const QHostAddress& peer, std::uint16_t port)
{
    setOpenMode(QIODevice::ReadWrite | QIODevice::Unbuffered);
    setSocketState(QAbstractSocket::ConnectedState);
    setPeerAddress(peer);
    setPeerPort(port);
}

void ParserSocket::setRequest(const QByteArray& bytes)
{
    m_bytes = bytes;
    m_position = 0;
}

// QIODevice is called directly below, because QAbstractSocket would use its own buffers, which are empty.

qint64 ParserSocket::bytesAvailable() const
{
    return m_bytes.size() - m_position + QIODevice::bytesAvailable(); // NOLINT(*-parent-virtual-call)
}

bool ParserSocket::canReadLine() const { return m_bytes.indexOf('\n', m_position) >= 0 || QIODevice::canReadLine(); }

qint64 ParserSocket::readData(char* data, qint64 maxSize)
{
    const qint64 count = std::min<qint64>(maxSize, m_bytes.size() - m_position);
    std::memcpy(data, m_bytes.constData() + m_position, static_cast<std::size_t>(count));
    m_position += count;
    return count;
}

qint64 ParserSocket::readLineData(char* data, qint64 maxSize)
{
    return QIODevice::readLineData(data, maxSize); // NOLINT(*-parent-virtual-call)
}

// Discards what QHttpServer writes by itself: Connection::write() sends the response.
qint64 ParserSocket::writeData(const char*, qint64 size) { return size; }

// --- Listener ---

Listener::Listener(ServerContext& context)
    : m_context(context)
{
    setListenBacklogSize(512);
    connect(this, &QTcpServer::acceptError, this,
        [this] { QTimer::singleShot(acceptRetryMs, this, [this] { resumeAccepting(); }); });
}

void Listener::addPendingSocket(ParserSocket* socket) { addPendingConnection(socket); }

void Listener::incomingConnection(qintptr descriptor)
{
    Budget& budget = *m_context.budget;
    const auto isFull
        = [&] { return openConnections(budget) >= budget.limits.connections || isOver(budget, connectionBytes); };
    if (isFull()) {
        // Memory is freed by the largest holder at once, a place by one that is slow.
        const base::Duration minimumAge = isOver(budget, connectionBytes) ? base::Duration(0) : slowAfter;
        if (Holding* next = nextToClose(budget, base::monotonicNow(), minimumAge))
            static_cast<ConnectionHolding*>(next)->owner->closeForBudget();
    }
    const auto open = static_cast<int>(m_context.connections.size()) - m_context.refusedConnections;
    const bool isRefused = open >= m_context.limits.connections || isFull();
    if (isRefused
        && (m_context.refusedConnections >= maxRefusedConnections || budget.closing >= budget.limits.closing)) {
        ++m_context.counters->refusals[static_cast<std::size_t>(Refusal::TooManyConnections)];
        ::close(static_cast<int>(descriptor));
        return;
    }
    auto* socket = new QTcpSocket;
    if (!socket->setSocketDescriptor(descriptor)) {
        ::close(static_cast<int>(descriptor));
        delete socket;
        return;
    }
    ++m_context.counters->connectionsAccepted;
    new Connection(m_context, socket, isRefused); // registers itself; deleted when the connection ends
}

// --- Connection ---

Connection::Connection(ServerContext& context, QTcpSocket* socket, bool isRefused)
    : m_context(context)
    , m_socket(socket)
    , m_counters(context.counters)
    , m_isRefused(isRefused)
{
    m_context.connections.insert(this);
    m_holding.owner = this;
    m_holding.bytes = connectionBytes;
    m_holding.since = base::monotonicNow();
    addHolding(*m_context.budget, m_holding);
    m_socket->setParent(this);
    m_socket->setReadBufferSize(readBufferBytes);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, &Connection::onTimeout);
    connect(m_socket, &QTcpSocket::readyRead, this, &Connection::readAvailable);
    connect(m_socket, &QTcpSocket::disconnected, this, &Connection::onDisconnected);
    connect(m_socket, &QTcpSocket::bytesWritten, this, [this](qint64 count) {
        m_counters->bytesWritten += static_cast<std::uint64_t>(count);
        if (m_state == State::Writing && m_socket->bytesToWrite() == 0)
            responseWritten();
        else if (m_state == State::Writing) {
            m_holding.since = base::monotonicNow();
            m_timer.start(m_context.limits.writeTimeoutMs);
        } else if (m_state == State::Lingering && m_socket->bytesToWrite() == 0)
            ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
    });
    if (m_isRefused) {
        ++m_context.refusedConnections;
        refuse(Refusal::TooManyConnections, "connection limit reached");
    } else {
        m_timer.start(m_context.limits.idleTimeoutMs);
    }
}

Connection::~Connection()
{
    detach();
    m_socket->disconnect(this);
    delete m_parserSocket;
    // After onDisconnected() the server, and m_context with it, may already be destroyed.
    if (m_isClosed)
        return;
    removeHolding(*m_context.budget, m_holding);
    if (m_context.connections.erase(this) > 0 && m_isRefused)
        --m_context.refusedConnections;
}

void Connection::detach()
{
    if (const std::shared_ptr<RequestState> request = m_request.lock()) {
        request->connection = nullptr;
        request->onDisconnect = nullptr;
    }
    m_request.reset();
}

void Connection::count(Refusal refusal) { ++m_counters->refusals[static_cast<std::size_t>(refusal)]; }

void Connection::readAvailable()
{
    switch (m_state) {
    case State::Handling:
    case State::Writing:
        updateHolding();
        return; // a pipelined request stays in the socket's buffer
    case State::Lingering:
        m_socket->readAll();
        return;
    case State::Idle:
    case State::Head:
    case State::Body:
        break;
    }
    do {
        // Pipelined requests are processed before more are read: otherwise each response would let in another buffer.
        const bool hasRequests
            = m_state == State::Idle && m_input.size() >= readBufferBytes && !m_input.startsWith('\r');
        if (!hasRequests) {
            // Not readAll(), which allocates 16 KB for a few bytes.
            const QByteArray bytes = m_socket->read(m_socket->bytesAvailable());
            m_counters->bytesRead += static_cast<std::uint64_t>(bytes.size());
            m_input += bytes;
        }
        process();
    } while (!m_isClosed && (m_state == State::Head || m_state == State::Body) && m_socket->bytesAvailable() > 0);
    if (m_isClosed || m_state == State::Lingering)
        return;
    if (m_state == State::Body && !m_isReadingFast) {
        m_isReadingFast = true;
        m_socket->setReadBufferSize(bodyReadBufferBytes);
    }
    if (m_input.isEmpty())
        m_input = QByteArray();
    else if (m_input.capacity() > 2 * m_input.size() + slackBytes)
        m_input.squeeze();
    updateHolding();
    makeRoom(0);
}

void Connection::process()
{
    if (m_isClosed)
        return;
    if (m_state == State::Idle) {
        // Empty lines before a request are allowed (RFC 9112, 2.2).
        while (m_input.startsWith("\r\n"))
            m_input.remove(0, 2);
        if (m_input.isEmpty() || m_input == "\r")
            return;
        m_state = State::Head;
        m_holding.since = base::monotonicNow();
        m_scanned = 0;
        m_timer.start(m_context.limits.headerTimeoutMs);
    }
    if (m_state == State::Head && !processHead())
        return;
    if (m_state == State::Body && processBody())
        dispatch();
}

bool Connection::processHead()
{
    // Bytes that cannot start a request, such as a TLS handshake, are refused at once instead of at the time-out.
    if (m_input[0] < 'A' || m_input[0] > 'Z') {
        refuse(Refusal::BadRequest, "malformed request line");
        return false;
    }
    const qsizetype end = m_input.indexOf("\r\n\r\n", m_scanned);
    if (end > m_context.limits.headerBytes || (end < 0 && m_input.size() > m_context.limits.headerBytes)) {
        refuse(Refusal::HeaderTooLarge, "headers larger than the limit");
        return false;
    }
    if (end < 0) {
        m_scanned = std::max<qsizetype>(0, m_input.size() - 3);
        return false;
    }
    base::Result<RequestHead, FramingError> head = parseHead(m_input.left(end), m_context.limits);
    if (!head) {
        refuse(head.error().refusal, head.error().detail);
        return false;
    }
    m_head = std::move(head.value());
    m_headBytes = headCopies * end;
    m_input.remove(0, end + 4);
    m_state = State::Body;
    m_decoder = {};
    m_decoder.bodyBytes = bodyLimit(m_context.limits, m_head.target);
    m_decoder.trailerBytes = m_context.limits.headerBytes;
    m_timer.start(m_context.limits.bodyTimeoutMs);
    const bool hasBody = m_head.isChunked || m_head.contentLength > 0;
    if (m_head.expectsContinue && hasBody && m_input.isEmpty()) {
        m_socket->write("HTTP/1.1 100 Continue\r\n\r\n");
        m_socket->flush();
    }
    return true;
}

// Returns true when the body is complete.
bool Connection::processBody()
{
    if (m_head.isChunked) {
        const base::Result<bool, FramingError> isComplete = decodeChunks(m_decoder, m_input);
        if (!isComplete) {
            refuse(isComplete.error().refusal, isComplete.error().detail);
            return false;
        }
        m_body = isComplete.value() ? std::move(m_decoder.body) : QByteArray();
        return isComplete.value();
    }
    if (m_input.size() < m_head.contentLength)
        return false;
    if (m_input.size() == m_head.contentLength) {
        m_body = std::move(m_input);
        m_input = QByteArray();
    } else {
        m_body = m_input.left(m_head.contentLength);
        m_input.remove(0, m_head.contentLength);
    }
    return true;
}

void Connection::createParserSocket()
{
    if (m_parserSocket == nullptr) {
        m_parserSocket = new ParserSocket(m_socket->peerAddress(), m_socket->peerPort());
        m_context.listener->addPendingSocket(m_parserSocket);
    }
}

// Passes the complete request to QHttpServer, which calls handle() before readyRead() returns.
void Connection::dispatch()
{
    if (m_isReadingFast) {
        m_isReadingFast = false;
        m_socket->setReadBufferSize(readBufferBytes);
    }
    updateHolding();
    if (!makeRoom(m_context.responseReserve))
        return;
    m_timer.stop();
    m_state = State::Handling;
    m_closeAfter = m_head.closeAfter;
    m_wasHandled = false;
    createParserSocket();
    const QByteArray bytes = encodeForParser(m_head);
    m_parserBytes = headCopies * bytes.size();
    m_bodyBytes = m_body.capacity();
    updateHolding();
    m_parserSocket->setRequest(bytes);
    m_context.parsingConnection = this;
    Q_EMIT m_parserSocket->readyRead();
    m_context.parsingConnection = nullptr;
    // QHttpServer drops a request that it cannot parse without a response, and stops reading from the socket.
    if (!m_wasHandled)
        refuse(Refusal::BadRequest, "malformed request");
}

void Connection::handle(const QHttpServerRequest& parsed)
{
    m_wasHandled = true;
    ++m_counters->requests;
    Request request;
    request.method = m_head.method;
    const qsizetype mark = m_head.target.indexOf('?');
    request.path = mark < 0 ? m_head.target : m_head.target.left(mark);
    request.query = mark < 0 ? QByteArray() : m_head.target.mid(mark + 1);
    const auto headers = parsed.headers();
    request.headers.reserve(static_cast<std::size_t>(headers.size()));
    for (const auto& [name, value] : headers) {
        if (name.compare("Content-Length", Qt::CaseInsensitive) != 0)
            request.headers.push_back({ name, value });
    }
    request.body = std::move(m_body);
    m_body = QByteArray();
    request.peerAddress = m_socket->peerAddress().toString();
    request.peerPort = m_socket->peerPort();

    auto state = std::make_shared<RequestState>();
    state->connection = this;
    state->counters = m_counters;
    m_request = state;
    m_context.handler(request, Responder(std::move(state)));
}

bool Connection::write(const Response& response)
{
    if (m_isClosed || m_state != State::Handling)
        return false;
    m_closeAfter = m_closeAfter || response.closeAfter || m_context.isDraining;
    m_state = State::Writing;
    m_request.reset();
    m_timer.start(m_context.limits.writeTimeoutMs);
    const QByteArray bytes = encodeResponse(response, m_head.method == "HEAD", m_closeAfter, m_head.minorVersion);
    m_bodyBytes = 0;
    m_responseBytes = bytes.size();
    // Falls slowly, so that one large response does not keep others from being handled for long.
    constexpr qint64 reserveDecay = 16;
    m_context.responseReserve
        = std::max(m_responseBytes, m_context.responseReserve * (reserveDecay - 1) / reserveDecay);
    m_holding.since = base::monotonicNow();
    m_socket->write(bytes);
    m_socket->flush();
    updateHolding();
    return true;
}

void Connection::responseWritten()
{
    ++m_counters->responses;
    const bool hasMore = !m_input.isEmpty() || m_socket->bytesAvailable() > 0;
    if (m_closeAfter || m_context.isDraining) {
        if (hasMore)
            startLingering();
        else
            m_socket->disconnectFromHost();
        return;
    }
    m_state = State::Idle;
    m_head = RequestHead();
    m_headBytes = 0;
    m_responseBytes = 0;
    m_holding.since = base::monotonicNow();
    updateHolding();
    m_timer.start(m_context.limits.idleTimeoutMs);
    if (hasMore) {
        // Queued, because this function can run inside a handler.
        ++m_counters->pipelined;
        QMetaObject::invokeMethod(
            this, [this] { readAvailable(); }, Qt::QueuedConnection);
    }
}

// Responds to a request that was not passed to the handler, and closes the connection.
void Connection::refuse(Refusal refusal, const QByteArray& detail)
{
    count(refusal);
    const std::string_view name = base::nameOf(refusalNames, refusal);
    const int status = refusalStatus(refusal);
    ProblemBuilder problem(status, QString::fromLatin1(name.data(), static_cast<qsizetype>(name.size())));
    problem.detail(QString::fromLatin1(detail)).executedNo();
    if (status == 503)
        problem.retryAfter(1);
    Response response = problem.response();
    if (status == 405)
        response.headers.push_back({ "Allow", "GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS" });
    m_socket->write(encodeResponse(response, false, true, 1));
    m_socket->flush();
    startLingering();
}

// Lingering close: closes the write side, then reads and discards input for lingerMs. Closing with unread input would
// reset the connection, and the reset could destroy the response before the caller has read it.
void Connection::startLingering()
{
    m_state = State::Lingering;
    m_input = QByteArray();
    m_body = QByteArray();
    m_decoder = {};
    m_head = RequestHead();
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_responseBytes = 0;
    if (m_context.budget->closing >= m_context.budget->limits.closing) {
        m_socket->abort();
        if (!m_isClosed)
            onDisconnected();
        return;
    }
    updateHolding();
    m_timer.start(m_context.limits.lingerMs);
    m_socket->readAll();
    if (m_socket->bytesToWrite() == 0)
        ::shutdown(static_cast<int>(m_socket->socketDescriptor()), SHUT_WR);
}

void Connection::onDisconnected()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    removeHolding(*m_context.budget, m_holding);
    m_timer.stop();
    if (m_state == State::Handling || m_state == State::Writing)
        ++m_counters->callersDisconnected;
    if (const std::shared_ptr<RequestState> request = m_request.lock()) {
        m_request.reset();
        request->connection = nullptr;
        const std::function<void()> callback = std::move(request->onDisconnect);
        request->onDisconnect = nullptr;
        if (callback)
            callback();
    }
    if (m_context.connections.erase(this) > 0 && m_isRefused)
        --m_context.refusedConnections;
    if (m_context.isDraining && m_context.connections.empty() && m_context.onDrained) {
        const std::function<void()> callback = std::move(m_context.onDrained);
        m_context.onDrained = nullptr;
        QMetaObject::invokeMethod(m_context.listener, callback, Qt::QueuedConnection);
    }
    deleteLater();
}

void Connection::onTimeout()
{
    switch (m_state) {
    case State::Idle:
        if (!m_context.isDraining)
            count(Refusal::IdleTimeout);
        m_socket->disconnectFromHost();
        break;
    case State::Head:
        refuse(Refusal::HeaderTimeout, "headers not complete in time");
        break;
    case State::Body:
        refuse(Refusal::BodyTimeout, "body not complete in time");
        break;
    case State::Writing:
        count(Refusal::WriteTimeout);
        m_socket->abort();
        break;
    case State::Lingering:
        m_socket->abort();
        break;
    case State::Handling:
        break;
    }
}

void Connection::updateHolding()
{
    if (m_isClosed)
        return;
    qint64 bytes = connectionBytes + m_headBytes + m_parserBytes;
    Holding::State state = Holding::State::Waiting;
    switch (m_state) {
    case State::Idle:
    case State::Head:
    case State::Body:
        bytes += m_input.capacity() + m_decoder.body.capacity() + m_body.capacity();
        break;
    case State::Handling:
    case State::Writing:
        state = m_state == State::Handling ? Holding::State::Answering : Holding::State::Sending;
        bytes += m_input.capacity() + m_bodyBytes;
        // The kernel's buffers fill up while the connection waits with its own full.
        if (m_socket->bytesAvailable() > 0)
            bytes += kernelBytes;
        if (m_socket->bytesToWrite() > 0)
            bytes += m_responseBytes + kernelBytes;
        break;
    case State::Lingering:
        state = Holding::State::Closing;
        break;
    }
    setHolding(*m_context.budget, m_holding, state, bytes);
}

bool Connection::makeRoom(qint64 further)
{
    const std::shared_ptr<Budget> budget = m_context.budget; // the last connection may be closed here
    if (!isOver(*budget, further))
        return true;
    const base::TimePoint now = base::monotonicNow();
    // Each pass turns one holding into one that is being closed, or removes it.
    while (isOver(*budget, further)) {
        Holding* next = nextToClose(*budget, now, base::Duration(0));
        if (next == nullptr)
            break;
        static_cast<ConnectionHolding*>(next)->owner->closeForBudget();
    }
    return !m_isClosed && m_state != State::Lingering;
}

void Connection::closeForBudget()
{
    const bool isReceiving = m_state == State::Head || m_state == State::Body;
    if (isReceiving && m_context.budget->closing < m_context.budget->limits.closing) {
        refuse(Refusal::OverBudget, "too many clients");
        return;
    }
    count(Refusal::ClosedForBudget);
    m_socket->abort();
    if (!m_isClosed)
        onDisconnected();
}

void Connection::drain()
{
    createParserSocket(); // QTcpServer warns when a pending connection is added after the listener was closed
    if (m_state == State::Idle)
        m_timer.start(m_context.limits.drainIdleMs);
}

} // namespace lacewing::http
