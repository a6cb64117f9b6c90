// Minimal HTTP/1.1 server and client for the stand-ins of the review, on top of QTcpSocket.
//
// A server can lose power: it then answers nothing, and its open connections stay silent, without a reset. When power
// is back, a connection from before is reset as soon as bytes arrive on it, like a connection that a restarted host
// does not know.
#pragma once

#include <QByteArray>
#include <QJsonObject>
#include <QObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::review {

// Milliseconds of the steady clock since the program began.
std::int64_t nowMs();
// Runs the action after that time.
void after(std::int64_t ms, std::function<void()> action);

struct Request {
    QByteArray method;
    QByteArray path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    QByteArray body;
};

// Response to one request; nothing is sent when the connection is gone or the server has lost power since.
struct Responder {
    QPointer<QTcpSocket> socket;
    std::weak_ptr<int> life;

    void respond(int status, const QJsonObject& body) const;
};

using Handler = std::function<void(const Request&, const Responder&)>;

class Server : public QObject {
public:
    explicit Server(Handler handler);

    bool listen(std::uint16_t port); // on 127.0.0.1
    void losePower();
    void regainPower();
    bool hasPower() const { return m_life != nullptr; }

private:
    struct Connection {
        QByteArray received;
        bool isFormer = false; // from before the last loss of power
    };

    void accept();
    void read(QTcpSocket* socket);

    Handler m_handler;
    QTcpServer m_server;
    std::shared_ptr<int> m_life = std::make_shared<int>(0);
    std::map<QTcpSocket*, Connection> m_connections;
};

// How long clients say that they wait for a response.
constexpr int clientDeadlineMs = 3000;

// Sends one request on a connection of its own. The status is 0 when there was no complete response in time; the client
// then closes the connection.
void call(std::uint16_t port, const QByteArray& method, const QByteArray& path, const QByteArray& host,
    const QByteArray& body, int timeoutMs, std::function<void(int status, const QJsonObject& body)> callback);

} // namespace lacewing::review
