// An endpoint on a raw listener, so that it can break connections at each point and count them exactly.
#pragma once

#include "standin/endpoint_model.h"

#include <QTcpServer>
#include <cstdint>

class QTcpSocket;

namespace lacewing::standin {

class EndpointService : public QObject {
public:
    explicit EndpointService(EndpointModel initial);

    bool listen(const QHostAddress& address, std::uint16_t port);
    std::uint16_t port() const { return m_server.serverPort(); }
    // Closes the listener and all connections, as when the instance is lost.
    void vanish();
    bool isListening() const { return m_server.isListening(); }

    EndpointModel model;

private:
    void accept(QTcpSocket* socket);

    QTcpServer m_server;
};

} // namespace lacewing::standin
