// Forwarding, delays, cuts and resets of the loopback proxy.
#include "soak/proxy.h"

#include "base/time.h"

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <sys/socket.h>

namespace lacewing::soak {

namespace {

    std::int64_t nowMs() { return base::toMilliseconds(base::monotonicNow().time_since_epoch()); }

    // Closes the socket with a reset instead of an orderly end.
    void resetSocket(QTcpSocket* socket)
    {
        const linger noLinger { 1, 0 };
        if (socket->socketDescriptor() >= 0)
            ::setsockopt(
                static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &noLinger, sizeof noLinger);
        socket->abort();
    }

} // namespace

ProxyConnection::ProxyConnection(QTcpSocket* client, std::uint16_t target, const LinkState& state, QObject* parent)
    : QObject(parent)
    , m_state(state)
    , m_client(client)
    , m_server(new QTcpSocket(this))
    , m_toServer { m_client, m_server, LinkFault::CutToServer, {}, false }
    , m_toClient { m_server, m_client, LinkFault::CutToClient, {}, false }
{
    m_client->setParent(this);
    connectPipe(m_toServer);
    connectPipe(m_toClient);
    m_client->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_server->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_server->connectToHost(QHostAddress(QHostAddress::LocalHost), target);
}

void ProxyConnection::connectPipe(Pipe& pipe)
{
    QObject::connect(pipe.from, &QTcpSocket::readyRead, this, [this, &pipe] { read(pipe); });
    QObject::connect(pipe.from, &QTcpSocket::stateChanged, this, [this, &pipe](QAbstractSocket::SocketState state) {
        if (state != QAbstractSocket::UnconnectedState)
            return;
        read(pipe);
        pipe.isFromClosed = true;
        pump(pipe);
    });
}

void ProxyConnection::reset()
{
    resetSocket(m_client);
    resetSocket(m_server);
    deleteLater();
}

void ProxyConnection::pump()
{
    pump(m_toServer);
    pump(m_toClient);
}

void ProxyConnection::read(Pipe& pipe)
{
    if (!pipe.from->isOpen() || pipe.from->bytesAvailable() == 0)
        return;
    const QByteArray bytes = pipe.from->readAll();
    const std::int64_t dueAt = nowMs() + (m_state.fault == LinkFault::Delay ? m_state.delayMs : 0);
    pipe.chunks.push_back({ pipe.chunks.empty() ? dueAt : std::max(dueAt, pipe.chunks.back().dueAt), bytes });
    pump(pipe);
}

void ProxyConnection::pump(Pipe& pipe)
{
    if (m_state.fault == LinkFault::Silence || m_state.fault == pipe.cut)
        return;
    while (!pipe.chunks.empty() && pipe.chunks.front().dueAt <= nowMs()) {
        if (pipe.to->state() != QAbstractSocket::UnconnectedState)
            pipe.to->write(pipe.chunks.front().bytes);
        pipe.chunks.pop_front();
    }
    if (!pipe.chunks.empty())
        QTimer::singleShot(static_cast<int>(pipe.chunks.front().dueAt - nowMs()), this, [this, &pipe] { pump(pipe); });
    else if (pipe.isFromClosed && pipe.to->state() != QAbstractSocket::UnconnectedState)
        pipe.to->disconnectFromHost();
    if (m_toServer.isFromClosed && m_toClient.isFromClosed && m_toServer.chunks.empty() && m_toClient.chunks.empty())
        deleteLater();
}

Proxy::Proxy(std::uint16_t port, std::uint16_t target)
    : m_port(port)
    , m_target(target)
{
    QObject::connect(&m_server, &QTcpServer::newConnection, this, [this] { accept(); });
}

bool Proxy::listen() { return m_server.isListening() || m_server.listen(QHostAddress::LocalHost, m_port); }

void Proxy::close() { m_server.close(); }

int Proxy::setFault(LinkFault fault, int delayMs)
{
    m_state = { fault, delayMs };
    forEachConnection(fault == LinkFault::Reset ? &ProxyConnection::reset
                                                : static_cast<void (ProxyConnection::*)()>(&ProxyConnection::pump));
    return ++m_faultNumber;
}

void Proxy::clearFault(int number)
{
    if (number == m_faultNumber)
        setFault(LinkFault::None, 0);
}

void Proxy::accept()
{
    while (QTcpSocket* client = m_server.nextPendingConnection()) {
        if (m_state.fault == LinkFault::Reset) {
            resetSocket(client);
            client->deleteLater();
        } else {
            new ProxyConnection(client, m_target, m_state, this);
        }
    }
}

void Proxy::forEachConnection(void (ProxyConnection::*call)())
{
    for (QObject* child : children()) {
        if (auto* connection = dynamic_cast<ProxyConnection*>(child))
            (connection->*call)();
    }
}

} // namespace lacewing::soak
