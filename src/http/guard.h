// Guard around one accepted socket (internal to src/http).
//
// The guard owns the socket and checks framing and limits. QHttpServer never sees the socket: it is given a
// ParserSocket that holds one complete request. Answers are written by the guard to the accepted socket, so that no
// object of QHttpServer is kept while a handler works (an answer written through QHttpServerResponder after the caller
// left crashes in Qt 6.4.2).
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

// One request between handler and connection; owned by the handles.
struct RequestState {
    ~RequestState();

    Connection* connection = nullptr; // null after the caller left
    bool isAnswered = false;
    std::function<void()> onDisconnect;
    std::shared_ptr<ServerCounters> counters;
};

// What the connections of a server share.
struct ServerContext {
    ServerLimits limits;
    Handler handler;
    std::shared_ptr<ServerCounters> counters = std::make_shared<ServerCounters>();
    QHttpServer parser;
    Listener* listener = nullptr; // owned by parser
    std::unordered_set<Connection*> connections;
    int refusedConnections = 0;              // members of connections that are being refused; not counted as open
    Connection* parsingConnection = nullptr; // whose request QHttpServer is parsing
    bool isDraining = false;
    std::function<void()> onDrained;
};

class Connection : public QObject {
public:
    enum class State {
        Idle,      // no byte of a request
        Head,      // part of a head
        Body,      // head complete, part of a body
        Handling,  // with the handler
        Writing,   // answer not yet written to the system
        Lingering, // answer sent and write side closed; input is discarded
    };

    Connection(ServerContext& context, QTcpSocket* socket, bool isRefused);
    ~Connection() override;

    State state() const { return m_state; }
    bool isRefused() const { return m_isRefused; }
    // Called by QHttpServer's handler during dispatch().
    void handle(const QHttpServerRequest& request);
    bool write(const Response& response);
    void drain();
    // Forgets the request in progress without calling back.
    void detach();

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

    // --- Owned ---
    ServerContext& m_context;
    QTcpSocket* m_socket;
    ParserSocket* m_parserSocket = nullptr; // created for the first complete request
    QTimer m_timer;                         // of the current state
    std::shared_ptr<ServerCounters> m_counters;

    // --- Request being received ---
    State m_state = State::Idle;
    QByteArray m_input;      // unprocessed bytes, including pipelined requests
    qsizetype m_scanned = 0; // bytes of m_input without the end of a head
    RequestHead m_head;
    ChunkDecoder m_decoder;
    QByteArray m_body;

    // --- Request being handled ---
    std::weak_ptr<RequestState> m_request;
    bool m_wasHandled = false; // QHttpServer passed the request on
    bool m_closeAfter = false; // close after the answer
    bool m_isRefused = false;  // connection over the limit
    bool m_isClosed = false;   // deletion is scheduled
};

// Accepts sockets and puts a guard around each.
class Listener : public QTcpServer {
public:
    explicit Listener(ServerContext& context);
    // Hands a dispatch socket to QHttpServer.
    void addPendingSocket(ParserSocket* socket);

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    ServerContext& m_context;
};

// Socket without a connection that presents one complete request to QHttpServer.
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
