// Connections, request parsing and the one-shot client.
#include "http.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QTimer>
#include <QUrl>
#include <chrono>

namespace lacewing::review {

std::int64_t nowMs()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

void after(std::int64_t ms, std::function<void()> action)
{
    QTimer::singleShot(static_cast<int>(ms), Qt::PreciseTimer, std::move(action));
}

void Responder::respond(int status, const QJsonObject& body) const
{
    if (!socket || life.expired())
        return;
    const QByteArray text = QJsonDocument(body).toJson(QJsonDocument::Compact);
    socket->write("HTTP/1.1 " + QByteArray::number(status)
        + " Status\r\nContent-Type: application/json\r\nContent-Length: " + QByteArray::number(text.size()) + "\r\n\r\n"
        + text);
    socket->flush();
}

Server::Server(Handler handler)
    : m_handler(std::move(handler))
{
    QObject::connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool Server::listen(std::uint16_t port) { return m_server.listen(QHostAddress::LocalHost, port); }

void Server::accept()
{
    while (QTcpSocket* socket = m_server.nextPendingConnection()) {
        // A host without power completes no connection; what it gets here is reset once power is back.
        m_connections[socket].isFormer = !hasPower();
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        QObject::connect(socket, &QTcpSocket::readyRead, this, [this, socket] { read(socket); });
        QObject::connect(socket, &QTcpSocket::disconnected, this, [this, socket] {
            m_connections.erase(socket);
            socket->deleteLater();
        });
    }
}

void Server::losePower()
{
    m_life.reset();
    for (auto& [socket, connection] : m_connections)
        connection.isFormer = true;
}

void Server::regainPower()
{
    m_life = std::make_shared<int>(0);
    std::vector<QTcpSocket*> unacknowledged; // their peers repeat what they sent meanwhile
    for (auto& [socket, connection] : m_connections) {
        if (connection.isFormer && socket->bytesAvailable() > 0)
            unacknowledged.push_back(socket);
    }
    for (QTcpSocket* socket : unacknowledged)
        socket->abort();
}

void Server::read(QTcpSocket* socket)
{
    const QPointer<QTcpSocket> alive(socket);
    Connection& connection = m_connections[socket];
    if (!hasPower())
        return;
    if (connection.isFormer) {
        socket->abort();
        return;
    }
    connection.received += socket->readAll();
    while (alive && m_connections.count(socket) > 0) {
        QByteArray& bytes = m_connections[socket].received;
        const qsizetype end = bytes.indexOf("\r\n\r\n");
        if (end < 0)
            return;
        const QList<QByteArray> lines = bytes.left(end).split('\n');
        Request request;
        for (const QByteArray& line : lines.mid(1)) {
            const qsizetype colon = line.indexOf(':');
            if (colon > 0)
                request.headers[line.left(colon).trimmed().toLower().toStdString()]
                    = line.mid(colon + 1).trimmed().toStdString();
        }
        const auto length = request.headers.find("content-length");
        const qsizetype size = length == request.headers.end() ? 0 : std::stoll(length->second);
        if (bytes.size() < end + 4 + size)
            return;
        request.body = bytes.mid(end + 4, size);
        bytes.remove(0, end + 4 + size);
        const QList<QByteArray> words = lines[0].trimmed().split(' ');
        if (words.size() < 2) {
            socket->abort();
            return;
        }
        request.method = words[0];
        const qsizetype mark = words[1].indexOf('?');
        request.path = mark < 0 ? words[1] : words[1].left(mark);
        for (const QByteArray& pair : mark < 0 ? QList<QByteArray> {} : words[1].mid(mark + 1).split('&')) {
            const qsizetype equals = pair.indexOf('=');
            request.query[pair.left(equals).toStdString()]
                = QUrl::fromPercentEncoding(pair.mid(equals + 1)).toStdString();
        }
        m_handler(request, { alive, m_life });
    }
}

namespace {

    struct Call {
        QByteArray received;
        bool isEnded = false;
        std::function<void(int, const QJsonObject&)> callback;
    };

} // namespace

void call(std::uint16_t port, const QByteArray& method, const QByteArray& path, const QByteArray& host,
    const QByteArray& body, int timeoutMs, std::function<void(int status, const QJsonObject& body)> callback)
{
    auto* socket = new QTcpSocket;
    auto state = std::make_shared<Call>();
    state->callback = std::move(callback);
    const auto end = [socket, state](int status, const QJsonObject& json) {
        if (state->isEnded)
            return;
        state->isEnded = true;
        socket->abort();
        socket->deleteLater();
        state->callback(status, json);
    };
    QObject::connect(socket, &QTcpSocket::connected, socket, [=] {
        socket->write(method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nLacewingloft-Deadline-Ms: "
            + QByteArray::number(clientDeadlineMs) + "\r\nContent-Type: application/json\r\nContent-Length: "
            + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, [=] {
        state->received += socket->readAll();
        const qsizetype head = state->received.indexOf("\r\n\r\n");
        if (head < 0)
            return;
        const QByteArray lower = state->received.left(head).toLower();
        const qsizetype field = lower.indexOf("content-length:");
        const qsizetype size
            = field < 0 ? 0 : lower.mid(field + 15, lower.indexOf('\r', field) - field - 15).trimmed().toLongLong();
        if (state->received.size() < head + 4 + size)
            return;
        end(state->received.mid(9, 3).toInt(), QJsonDocument::fromJson(state->received.mid(head + 4, size)).object());
    });
    QObject::connect(socket, &QTcpSocket::errorOccurred, socket, [=] { end(0, {}); });
    QTimer::singleShot(timeoutMs, socket, [=] { end(0, {}); });
    socket->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
}

} // namespace lacewing::review
