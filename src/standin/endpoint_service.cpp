// Connections of an endpoint: one request each, `Connection: close`.
#include "standin/endpoint_service.h"

#include "http/framing.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>
#include <QTimer>

namespace lacewing::standin {

namespace {

    // One connection; a child of its socket.
    class EndpointConnection : public QObject {
    public:
        EndpointConnection(EndpointModel& model, QTcpSocket* socket)
            : QObject(socket)
            , m_model(model)
            , m_socket(socket)
        {
            onConnectionOpened(m_model);
            connect(socket, &QTcpSocket::readyRead, this, &EndpointConnection::readAvailable);
        }

        ~EndpointConnection() override
        {
            if (m_isInProgress)
                onRequestDone(m_model);
            onConnectionClosed(m_model);
        }

    private:
        void readAvailable()
        {
            m_input += m_socket->readAll();
            if (m_isInProgress || m_isAnswered)
                return;
            if (!m_hasHead) {
                const qsizetype end = m_input.indexOf("\r\n\r\n");
                if (end < 0)
                    return;
                auto head = http::parseHead(m_input.left(end), m_limits);
                m_input.remove(0, end + 4);
                if (!head)
                    return answer(400, "{}", {});
                m_head = std::move(head.value());
                m_hasHead = true;
                m_decoder.bodyBytes = http::bodyLimit(m_limits, m_head.target);
                m_decoder.trailerBytes = m_limits.headerBytes;
            }
            if (m_head.isChunked) {
                const auto isComplete = http::decodeChunks(m_decoder, m_input);
                if (!isComplete)
                    return answer(400, "{}", {});
                if (!isComplete.value())
                    return;
            } else if (m_input.size() < m_head.contentLength) {
                return;
            }
            run();
        }

        void run()
        {
            const QByteArray requestId = http::headerValue(m_head.headers, "Lacewing-Request-Id");
            m_isInProgress = true;
            if (!onRequest(m_model, requestId.toStdString()))
                return answer(503, "{}", "Lacewing-Executed: no\r\n");
            // The behaviour is the one that was in force when the request arrived.
            QTimer::singleShot(m_model.serviceMs + m_model.extraMs, Qt::PreciseTimer, this,
                [this, mode = m_model.mode, status = m_model.failStatus, requestId] {
                    finish(mode, status, requestId);
                });
        }

        void finish(EndpointMode mode, int failStatus, const QByteArray& requestId)
        {
            const qint64 size = m_head.isChunked ? m_decoder.body.size() : m_head.contentLength;
            const QByteArray body = QJsonDocument(
                QJsonObject { { "endpoint", QString::fromStdString(m_model.id) },
                    { "requestId", QString::fromUtf8(requestId) }, { "target", QString::fromLatin1(m_head.target) },
                    { "bytes", size } }).toJson(QJsonDocument::Compact);
            switch (mode) {
            case EndpointMode::Normal:
            case EndpointMode::Refuse:
                return answer(200, body, {});
            case EndpointMode::Fail:
                return answer(failStatus, body, {});
            case EndpointMode::CloseAfterReading:
                m_socket->disconnectFromHost();
                return;
            case EndpointMode::Truncate:
                m_socket->write(encode(200, body, {}).chopped(body.size() / 2));
                m_socket->disconnectFromHost();
                return;
            case EndpointMode::Stall:
                m_socket->write(encode(200, body, {}).chopped(body.size() / 2));
                return;
            }
        }

        QByteArray encode(int status, const QByteArray& body, const QByteArray& headers) const
        {
            QByteArray bytes = "HTTP/1.1 " + QByteArray::number(status) + ' ' + http::reasonPhrase(status) + "\r\n"
                + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: "
                + QByteArray::number(body.size()) + "\r\n" + headers + "\r\n";
            if (m_head.method != "HEAD")
                bytes += body;
            return bytes;
        }

        void answer(int status, const QByteArray& body, const QByteArray& headers)
        {
            if (m_isInProgress)
                onRequestDone(m_model);
            m_isInProgress = false;
            m_isAnswered = true;
            m_socket->write(encode(status, body, headers));
            m_socket->disconnectFromHost();
        }

        EndpointModel& m_model;
        QTcpSocket* m_socket;
        http::ServerLimits m_limits;
        QByteArray m_input;
        http::RequestHead m_head;
        http::ChunkDecoder m_decoder;
        bool m_hasHead = false;
        bool m_isInProgress = false;
        bool m_isAnswered = false;
    };

} // namespace

EndpointService::EndpointService(EndpointModel initial)
    : model(std::move(initial))
{
    m_server.setListenBacklogSize(256);
    connect(&m_server, &QTcpServer::newConnection, this, [this] {
        while (QTcpSocket* socket = m_server.nextPendingConnection())
            accept(socket);
    });
}

void EndpointService::accept(QTcpSocket* socket)
{
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    new EndpointConnection(model, socket);
    connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
}

bool EndpointService::listen(const QHostAddress& address, std::uint16_t port) { return m_server.listen(address, port); }

void EndpointService::vanish()
{
    m_server.close();
    const QList<QTcpSocket*> sockets = m_server.findChildren<QTcpSocket*>();
    for (QTcpSocket* socket : sockets)
        socket->abort();
}

} // namespace lacewing::standin
