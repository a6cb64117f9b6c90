// Loopback proxy of one address. It forwards connections byte by byte and disturbs them on request.
//
// Bytes that a cut holds back are delivered when it ends, as the retransmissions of a network would be.
#pragma once

#include "base/names.h"

#include <QByteArray>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <deque>

namespace lacewing::soak {

enum class LinkFault { None, Delay, Reset, CutToServer, CutToClient, Silence };

constexpr base::EnumNames<LinkFault, 6> linkFaultNames { {
    { LinkFault::None, "none" },
    { LinkFault::Delay, "delay" },
    { LinkFault::Reset, "reset" },
    { LinkFault::CutToServer, "cut to server" },
    { LinkFault::CutToClient, "cut to client" },
    { LinkFault::Silence, "silence" },
} };

// Fault of a link, shared by its connections.
struct LinkState {
    LinkFault fault = LinkFault::None;
    int delayMs = 0; // ms in each direction; only for Delay
};

class ProxyConnection : public QObject {
public:
    ProxyConnection(QTcpSocket* client, std::uint16_t target, const LinkState& state, QObject* parent);

    void reset();
    // Delivers what may be delivered now. Called when the fault has changed.
    void pump();

private:
    struct Chunk {
        std::int64_t dueAt = 0;
        QByteArray bytes;
    };

    struct Pipe {
        QTcpSocket* from = nullptr;
        QTcpSocket* to = nullptr;
        LinkFault cut = LinkFault::None; // besides Silence, the fault that holds this direction
        std::deque<Chunk> chunks;
        bool isFromClosed = false;
    };

    void connectPipe(Pipe& pipe);
    void read(Pipe& pipe);
    void pump(Pipe& pipe);

    const LinkState& m_state;
    QTcpSocket* m_client;
    QTcpSocket* m_server;
    Pipe m_toServer;
    Pipe m_toClient;
};

class Proxy : public QObject {
public:
    Proxy(std::uint16_t port, std::uint16_t target);

    // False when the port is in use.
    bool listen();
    // Refuses new connections, as the port of an ended process does.
    void close();
    // Replaces the present fault. Returns a number for clearFault().
    int setFault(LinkFault fault, int delayMs);
    // Ends the fault with this number, unless another one has replaced it.
    void clearFault(int number);

private:
    void accept();
    void forEachConnection(void (ProxyConnection::*call)());

    std::uint16_t m_port;
    std::uint16_t m_target;
    LinkState m_state;
    int m_faultNumber = 0;
    QTcpServer m_server;
};

} // namespace lacewing::soak
