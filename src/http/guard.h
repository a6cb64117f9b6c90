// Guard: the server side of one accepted connection (internal to src/http).
//
// The guard owns the accepted socket and checks framing and limits. QHttpServer never sees that socket: it reads one
// complete request at a time from a ParserSocket. The guard writes responses to the accepted socket itself, so that no
// QHttpServer object is held while a handler works: in Qt 6.4.2, writing through QHttpServerResponder after the caller
// has disconnected crashes.
#pragma once

#include "http/framing.h"
#include "http/server.h"

#include <QHttpServer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <unordered_set>

namespace lacewing::http {

class Connection;
class ParserSocket;
class Listener;

// Size of the kernel's receive and of its send buffer of a connection of a server with a shared budget. The kernel
// uses twice the value.
constexpr int kernelBufferBytes = 16 * 1024;

struct ConnectionHolding : Holding {
    Connection* owner = nullptr;
};

// State of one request, shared by its connection and its Responder handles; owned by the handles.
struct RequestState {
    ~RequestState();

    // Null once the caller has disconnected, the response was given or the server was destroyed.
    Connection* connection = nullptr;
    bool isAnswered = false;
    std::function<void()> onDisconnect;
    std::shared_ptr<ServerCounters> counters;
};

// State shared by all connections of a server.
struct ServerContext {
    ServerLimits limits;
    Handler handler;
    std::shared_ptr<ServerCounters> counters = std::make_shared<ServerCounters>();
    QHttpServer parser;
    Listener* listener = nullptr;   // owned by parser
    std::shared_ptr<Budget> budget; // all its holdings are of the type ConnectionHolding
    bool hasSharedBudget = false;
    qint64 responseReserve = 0; // bytes; the largest of the recent responses, expected for the next one
    std::unordered_set<Connection*> connections;
    int refusedConnections = 0;              // entries of connections that are being refused; not counted as open
    Connection* parsingConnection = nullptr; // connection whose request QHttpServer is parsing
    bool isDraining = false;
    std::function<void()> onDrained;
};

class Connection : public QObject {
public:
    enum class State {
        Idle,      // no byte of a request
        Head,      // part of a head received
        Body,      // head complete, part of a body received
        Handling,  // the handler works on the request
        Writing,   // response not yet passed completely to the operating system
        Lingering, // lingering close: response sent, write side closed, input is discarded
    };

    Connection(ServerContext& context, QTcpSocket* socket, bool isRefused);
    ~Connection() override;

    State state() const { return m_state; }
    bool isRefused() const { return m_isRefused; }
    // Called by QHttpServer's missing handler while dispatch() runs.
    void handle(const QHttpServerRequest& request);
    bool write(const Response& response);
    void drain();
    // Detaches the request in progress without calling its onDisconnect callback.
    void detach();
    // Refuses the request that is being received, or closes the connection without a response when there is none or
    // its response is not read.
    void closeForBudget();

private:
    void readAvailable();
    void process();
    bool processHead();
    bool processBody();
    void createParserSocket();
    void dispatch();
    void refuse(Refusal refusal, const QByteArray& detail);
    void responseWritten();
    void startLingering();
    void onDisconnected();
    void onTimeout();
    void count(Refusal refusal);
    void updateHolding();
    // Closes holders until `further` bytes fit into the budget; false when this connection was one of them.
    bool makeRoom(qint64 further);

    // --- Owned ---
    ServerContext& m_context;
    QTcpSocket* m_socket;
    ParserSocket* m_parserSocket = nullptr; // created for the first complete request, or by drain()
    QTimer m_timer;                         // time limit of the current state
    std::shared_ptr<ServerCounters> m_counters;

    // --- Request being received ---
    State m_state = State::Idle;
    QByteArray m_input;      // unprocessed bytes, including pipelined requests
    qsizetype m_scanned = 0; // leading bytes of m_input known not to contain the end of the head
    RequestHead m_head;
    ChunkDecoder m_decoder;
    QByteArray m_body;

    // --- Use of the budget ---
    ConnectionHolding m_holding;
    qint64 m_headBytes = 0;       // parsed head
    qint64 m_bodyBytes = 0;       // body of the request that the handler works on
    qint64 m_parserBytes = 0;     // head that QHttpServer keeps until the next request
    qint64 m_responseBytes = 0;   // response being written
    bool m_isReadingFast = false; // the read buffer has the size for bodies

    // --- Request being handled ---
    std::weak_ptr<RequestState> m_request;
    bool m_wasHandled = false; // QHttpServer has called handle() for the request
    bool m_closeAfter = false; // close after the response
    bool m_isRefused = false;  // connection over the limit
    bool m_isClosed = false;   // deletion is scheduled
};

// Accepts sockets and creates a Connection for each.
class Listener : public QTcpServer {
public:
    explicit Listener(ServerContext& context);
    // Passes the socket to QHttpServer as a pending connection.
    void addPendingSocket(ParserSocket* socket);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    ServerContext& m_context;
};

// In-memory socket from which QHttpServer reads one complete request at a time.
class ParserSocket : public QTcpSocket {
public:
    ParserSocket(const QHostAddress& peer, std::uint16_t port);

    void setRequest(const QByteArray& bytes);
    bool isConsumed() const { return m_position == m_bytes.size(); }

    qint64 bytesAvailable() const override;
    bool canReadLine() const override;
    void disconnectFromHost() override { }
    void close() override { }

protected:
    qint64 readData(char* data, qint64 maxSize) override;
    qint64 readLineData(char* data, qint64 maxSize) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray m_bytes;
    qsizetype m_position = 0;
};

} // namespace lacewing::http
