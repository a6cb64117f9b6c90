// Server: listener, connections and the handles of requests in progress.
#include "http/server.h"

#include "http/guard.h"
#include "http/problem.h"

#include <QHostAddress>
#include <sys/socket.h>
#include <vector>

namespace lacewing::http {

RequestState::~RequestState()
{
    if (!isAnswered && connection != nullptr)
        connection->write(ProblemBuilder(500, "noAnswer").detail("the handler gave no answer").response());
}

Responder::Responder(std::shared_ptr<RequestState> state)
    : m_state(std::move(state))
{
}

bool Responder::respond(const Response& response) const
{
    if (!m_state || m_state->isAnswered)
        return false;
    m_state->isAnswered = true;
    m_state->onDisconnect = nullptr;
    if (m_state->connection == nullptr) {
        ++m_state->counters->droppedResponses;
        return false;
    }
    Connection* connection = m_state->connection;
    m_state->connection = nullptr;
    return connection->write(response);
}

bool Responder::isAnswered() const { return m_state && m_state->isAnswered; }

bool Responder::isConnected() const { return m_state && m_state->connection != nullptr; }

void Responder::onDisconnect(std::function<void()> callback) const
{
    if (!m_state || m_state->isAnswered)
        return;
    if (m_state->connection == nullptr)
        callback();
    else
        m_state->onDisconnect = std::move(callback);
}

struct Server::Context : ServerContext { };

Server::Server(ServerLimits limits, Handler handler, std::shared_ptr<Budget> budget)
    : m_context(std::make_unique<Context>())
{
    m_context->hasSharedBudget = budget != nullptr;
    m_context->budget = budget ? std::move(budget) : std::make_shared<Budget>();
    m_context->limits = std::move(limits);
    m_context->handler = std::move(handler);
    m_context->listener = new Listener(*m_context);
    // No routes are registered, so QHttpServer calls this handler for every request, while Connection::dispatch() runs.
    m_context->parser.setMissingHandler([context = m_context.get()](const QHttpServerRequest& request,
                                            QHttpServerResponder&&) { // NOLINT(*-rvalue-reference-param-not-moved)
        if (context->parsingConnection != nullptr)
            context->parsingConnection->handle(request);
    });
}

Server::~Server()
{
    m_context->onDrained = nullptr;
    const std::vector<Connection*> connections(m_context->connections.begin(), m_context->connections.end());
    for (Connection* connection : connections)
        delete connection;
}

base::Result<std::uint16_t, ServerError> Server::listen(const QHostAddress& address, std::uint16_t port)
{
    if (!m_context->listener->listen(address, port)) {
        const std::string detail = m_context->listener->errorString().toStdString();
        return ServerError { ServerErrorCode::ListenFailed, detail };
    }
    if (m_context->hasSharedBudget) {
        // Accepted sockets inherit the sizes. Without them the kernel keeps up to 6 MB for a connection.
        const auto descriptor = static_cast<int>(m_context->listener->socketDescriptor());
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kernelBufferBytes, sizeof kernelBufferBytes);
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kernelBufferBytes, sizeof kernelBufferBytes);
    }
    m_context->parser.bind(m_context->listener); // takes ownership; warns when the server does not listen yet
    return m_context->listener->serverPort();
}

base::Result<std::uint16_t, ServerError> Server::listen(const QString& address)
{
    const HostAndPort parts = splitAddress(address);
    return listen(QHostAddress(parts.host), parts.port);
}

std::uint16_t Server::port() const { return m_context->listener->serverPort(); }

void Server::beginDrain()
{
    if (m_context->isDraining)
        return;
    m_context->isDraining = true;
    // Accepts the connections in the backlog: closing the listener would reset them, and they may carry a request
    // already.
    if (m_context->listener->isListening())
        m_context->listener->waitForNewConnection(0);
    for (Connection* connection : m_context->connections)
        connection->drain();
    m_context->listener->close();
    if (m_context->connections.empty() && m_context->onDrained) {
        const std::function<void()> callback = std::move(m_context->onDrained);
        m_context->onDrained = nullptr;
        QMetaObject::invokeMethod(m_context->listener, callback, Qt::QueuedConnection);
    }
}

bool Server::isDraining() const { return m_context->isDraining; }

int Server::openRequests() const
{
    int count = 0;
    for (const Connection* connection : m_context->connections) {
        const Connection::State state = connection->state();
        if (state != Connection::State::Idle && state != Connection::State::Lingering)
            ++count;
    }
    return count;
}

int Server::openConnections() const
{
    return static_cast<int>(m_context->connections.size()) - m_context->refusedConnections;
}

void Server::onDrained(std::function<void()> callback)
{
    m_context->onDrained = std::move(callback);
    if (m_context->isDraining && m_context->connections.empty()) {
        const std::function<void()> queued = std::move(m_context->onDrained);
        m_context->onDrained = nullptr;
        QMetaObject::invokeMethod(m_context->listener, queued, Qt::QueuedConnection);
    }
}

const ServerCounters& Server::counters() const { return *m_context->counters; }

const ServerLimits& Server::limits() const { return m_context->limits; }

} // namespace lacewing::http
