// nng sockets and contexts, and the passing of messages to the event loop.
#include "peer/peer.h"

#include <QCoreApplication>
#include <QMetaObject>
#include <QObject>
#include <QPointer>
#include <QTimer>
#include <algorithm>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <functional>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <thread>
#include <vector>

namespace lacewing::peer {

namespace {

    PeerCode toPeerCode(int nngError)
    {
        switch (nngError) {
        case NNG_EADDRINVAL:
            return PeerCode::BadAddress;
        case NNG_EADDRINUSE:
            return PeerCode::AddressInUse;
        case NNG_ETIMEDOUT:
            return PeerCode::Timeout;
        case NNG_ECLOSED:
        case NNG_ECANCELED:
            return PeerCode::Closed;
        case NNG_EMSGSIZE:
            return PeerCode::TooLarge;
        default:
            return PeerCode::Transport;
        }
    }

    PeerError toPeerError(int nngError) { return PeerError { toPeerCode(nngError), nng_strerror(nngError) }; }

    // Copies a message body and frees the message.
    QByteArray takeBody(nng_msg* message)
    {
        QByteArray body(static_cast<const char*>(nng_msg_body(message)), static_cast<qsizetype>(nng_msg_len(message)));
        nng_msg_free(message);
        return body;
    }

    // The returned message is owned by the caller until nng takes it; nullptr when memory is exhausted.
    nng_msg* makeMessage(const QByteArray& body)
    {
        nng_msg* message = nullptr;
        if (nng_msg_alloc(&message, static_cast<std::size_t>(body.size())) != 0)
            return nullptr;
        std::memcpy(nng_msg_body(message), body.constData(), static_cast<std::size_t>(body.size()));
        return message;
    }

    std::size_t requestLimit(const PeerLimits& limits)
    {
        return std::min(limits.maxRequestBytes, limits.maxMessageBytes);
    }

    std::string toUrl(const std::string& address) { return "tcp://" + address; }

    // Calls the function on the thread of context. Not after the application has ended: nng's threads still run then.
    void post(QObject* context, std::function<void()> function)
    {
        if (QCoreApplication::instance() != nullptr && !QCoreApplication::closingDown())
            QMetaObject::invokeMethod(context, std::move(function), Qt::QueuedConnection);
    }

    // ms from the end of a client's last call to nng_close(), which may wait without bound when a connection is just
    // being made
    constexpr int closeDelayMs = 500;

    // Runs calls that may block, one after another, on a thread of its own. Never destroyed, so that a call that does
    // not return does not keep the process from ending.
    class BlockingCalls {
    public:
        static BlockingCalls& instance()
        {
            static auto* calls = new BlockingCalls;
            return *calls;
        }

        // Calls done on the thread of context after call has returned. context must live until then.
        void add(std::function<void()> call, QObject* context, std::function<void()> done)
        {
            const std::scoped_lock lock(m_mutex);
            m_entries.push_back(Entry { std::move(call), context, std::move(done) });
            m_isChanged.notify_one();
        }

    private:
        struct Entry {
            std::function<void()> call;
            QObject* context = nullptr;
            std::function<void()> done;
        };

        BlockingCalls()
        {
            std::thread([this] { run(); }).detach();
        }

        [[noreturn]] void run()
        {
            for (;;) {
                std::unique_lock lock(m_mutex);
                m_isChanged.wait(lock, [this] { return !m_entries.empty(); });
                const Entry entry = std::move(m_entries.front());
                m_entries.pop_front();
                lock.unlock();
                entry.call();
                post(entry.context, entry.done);
            }
        }

        std::mutex m_mutex;
        std::condition_variable m_isChanged;
        std::deque<Entry> m_entries; // guarded by m_mutex
    };

} // namespace

// --- Server ---

struct Server::State {
    PeerLimits limits;
    RequestHandler handler;
    PeerTraffic traffic;
    QObject loopContext; // receives queued calls on the creating thread
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    bool isOpen = false;
    bool isRetired = false; // the server was destroyed; no handler runs any more

    // Handles one request at a time; receives the next one after the reply has been passed to nng.
    struct Context {
        State* state = nullptr;
        nng_ctx ctx = NNG_CTX_INITIALIZER;
        nng_aio* aio = nullptr;
        bool isSending = false; // accessed by nng's callback and, between operations, by the event loop
    };
    std::vector<std::unique_ptr<Context>> contexts;

    static void onCompleted(void* argument);
    static void receive(Context* context);
    static void handle(Context* context, const QByteArray& request);
    static void send(Context* context, const QByteArray& reply);

    // States of destroyed servers, until their sockets are closed. Used on the event loop only.
    static std::vector<std::unique_ptr<State>>& retiredStates();
    static void retire(std::unique_ptr<State> owned);
    static void close(const State& state);
};

std::vector<std::unique_ptr<Server::State>>& Server::State::retiredStates()
{
    static auto* states = new std::vector<std::unique_ptr<State>>;
    return *states;
}

void Server::State::retire(std::unique_ptr<State> owned)
{
    State* state = owned.get();
    state->isRetired = true;
    retiredStates().push_back(std::move(owned));
    BlockingCalls::instance().add([state] { close(*state); }, &state->loopContext,
        [state] { std::erase_if(retiredStates(), [state](const auto& entry) { return entry.get() == state; }); });
}

void Server::State::close(const State& state)
{
    if (state.isOpen)
        nng_close(state.socket);
    for (const auto& context : state.contexts) {
        nng_aio_stop(context->aio);
        nng_aio_free(context->aio);
    }
}

void Server::State::receive(Context* context)
{
    context->isSending = false;
    nng_ctx_recv(context->ctx, context->aio);
}

void Server::State::send(Context* context, const QByteArray& reply)
{
    nng_msg* message = makeMessage(reply);
    if (message == nullptr) {
        receive(context);
        return;
    }
    context->state->traffic.messagesSent += 1;
    context->state->traffic.bytesSent += static_cast<std::uint64_t>(reply.size());
    context->isSending = true;
    nng_aio_set_msg(context->aio, message);
    nng_ctx_send(context->ctx, context->aio);
}

void Server::State::handle(Context* context, const QByteArray& request)
{
    State* state = context->state;
    if (state->isRetired)
        return;
    state->traffic.messagesReceived += 1;
    state->traffic.bytesReceived += static_cast<std::uint64_t>(request.size());
    // A late reply after the server was destroyed must not access the context; the guard is null once it is closed.
    const QPointer<QObject> guard(&state->loopContext);
    state->handler(request, [guard, context](const QByteArray& reply) {
        if (!guard.isNull() && !context->state->isRetired)
            send(context, reply);
    });
}

// Runs on an nng thread.
void Server::State::onCompleted(void* argument)
{
    auto* context = static_cast<Context*>(argument);
    const int error = nng_aio_result(context->aio);
    if (error == NNG_ECLOSED || error == NNG_ECANCELED)
        return;
    if (context->isSending) {
        if (error != 0)
            nng_msg_free(nng_aio_get_msg(context->aio));
        receive(context);
        return;
    }
    if (error != 0) {
        receive(context);
        return;
    }
    const QByteArray body = takeBody(nng_aio_get_msg(context->aio));
    post(&context->state->loopContext, [context, body] { handle(context, body); });
}

base::Result<std::unique_ptr<Server>, PeerError> Server::listen(
    const std::string& address, PeerLimits limits, RequestHandler handler)
{
    auto state = std::make_unique<State>();
    state->limits = limits;
    state->handler = std::move(handler);
    if (const int error = nng_rep0_open(&state->socket); error != 0)
        return toPeerError(error);
    state->isOpen = true;
    nng_socket_set_size(state->socket, NNG_OPT_RECVMAXSZ, requestLimit(limits));
    auto server = std::unique_ptr<Server>(new Server(std::move(state)));
    State& open = *server->m_state;
    for (int index = 0; index < limits.serverContexts; ++index) {
        auto context = std::make_unique<State::Context>();
        context->state = &open;
        if (const int error = nng_ctx_open(&context->ctx, open.socket); error != 0)
            return toPeerError(error);
        if (const int error = nng_aio_alloc(&context->aio, State::onCompleted, context.get()); error != 0)
            return toPeerError(error);
        open.contexts.push_back(std::move(context));
    }
    if (const int error = nng_listen(open.socket, toUrl(address).c_str(), nullptr, 0); error != 0)
        return toPeerError(error);
    for (const auto& context : open.contexts)
        State::receive(context.get());
    return server;
}

Server::Server(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Server::~Server() { State::retire(std::move(m_state)); }

const PeerTraffic& Server::traffic() const { return m_state->traffic; }

// --- Client ---

struct Client::State {
    PeerLimits limits;
    PeerTraffic traffic;
    QObject loopContext; // receives queued calls on the creating thread
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    bool isOpen = false;
    bool isRetired = false; // the client was destroyed; no callback runs any more

    struct Call {
        State* state = nullptr;
        nng_ctx ctx = NNG_CTX_INITIALIZER;
        nng_aio* aio = nullptr;
        bool isReceiving = false;
        ReplyCallback callback;
    };
    std::vector<std::unique_ptr<Call>> calls; // in flight; each is removed on the event loop

    static void onCompleted(void* argument);
    static void finish(Call* call, base::Result<QByteArray, PeerError> result);

    // States of destroyed clients, until their calls have ended and their sockets are closed. Used on the event loop
    // only.
    static std::vector<std::unique_ptr<State>>& retiredStates();
    static void retire(std::unique_ptr<State> owned);
    static void closeLater(State* state);
};

std::vector<std::unique_ptr<Client::State>>& Client::State::retiredStates()
{
    static auto* states = new std::vector<std::unique_ptr<State>>;
    return *states;
}

// Calls in flight end by their timeouts; the socket is closed after the last one.
void Client::State::retire(std::unique_ptr<State> owned)
{
    State* state = owned.get();
    state->isRetired = true;
    retiredStates().push_back(std::move(owned));
    if (state->calls.empty())
        closeLater(state);
}

void Client::State::closeLater(State* state)
{
    const auto close = [state] {
        const auto closeSocket = [socket = state->socket, isOpen = state->isOpen] {
            if (isOpen)
                nng_close(socket);
        };
        BlockingCalls::instance().add(closeSocket, &state->loopContext,
            [state] { std::erase_if(retiredStates(), [state](const auto& entry) { return entry.get() == state; }); });
    };
    QTimer::singleShot(closeDelayMs, &state->loopContext, close);
}

// Runs on the event loop. Frees the call before its callback, which may destroy the client.
void Client::State::finish(Call* call, base::Result<QByteArray, PeerError> result)
{
    State* state = call->state;
    if (result.has_value()) {
        state->traffic.messagesReceived += 1;
        state->traffic.bytesReceived += static_cast<std::uint64_t>(result.value().size());
    }
    const ReplyCallback callback = std::move(call->callback);
    nng_aio_free(call->aio);
    nng_ctx_close(call->ctx);
    std::erase_if(state->calls, [call](const std::unique_ptr<Call>& entry) { return entry.get() == call; });
    if (!state->isRetired)
        callback(std::move(result));
    else if (state->calls.empty())
        closeLater(state);
}

// Runs on an nng thread.
void Client::State::onCompleted(void* argument)
{
    auto* call = static_cast<Call*>(argument);
    const int error = nng_aio_result(call->aio);
    if (error == 0 && !call->isReceiving) {
        call->isReceiving = true;
        nng_ctx_recv(call->ctx, call->aio);
        return;
    }
    if (error != 0 && !call->isReceiving)
        nng_msg_free(nng_aio_get_msg(call->aio));
    base::Result<QByteArray, PeerError> result = toPeerError(error);
    if (error == 0)
        result = takeBody(nng_aio_get_msg(call->aio));
    post(&call->state->loopContext, [call, result] { finish(call, result); });
}

base::Result<std::unique_ptr<Client>, PeerError> Client::dial(const std::string& address, PeerLimits limits)
{
    auto state = std::make_unique<State>();
    state->limits = limits;
    if (const int error = nng_req0_open(&state->socket); error != 0)
        return toPeerError(error);
    state->isOpen = true;
    nng_socket_set_size(state->socket, NNG_OPT_RECVMAXSZ, limits.maxMessageBytes);
    nng_socket_set_ms(state->socket, NNG_OPT_RECONNMINT, 100);
    nng_socket_set_ms(state->socket, NNG_OPT_RECONNMAXT, 1000);
    auto client = std::unique_ptr<Client>(new Client(std::move(state)));
    if (const int error = nng_dial(client->m_state->socket, toUrl(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        error != 0)
        return toPeerError(error);
    return client;
}

void Client::request(const QByteArray& message, ReplyCallback callback)
{
    State& state = *m_state;
    auto call = std::make_unique<State::Call>();
    call->state = &state;
    call->callback = std::move(callback);
    const auto fail = [&state, &call](const PeerError& error) {
        const auto notify = [&state, done = std::move(call->callback), error] {
            if (!state.isRetired)
                done(error);
        };
        post(&state.loopContext, notify);
    };
    if (state.calls.size() >= static_cast<std::size_t>(state.limits.clientRequests)) {
        fail(PeerError { PeerCode::Busy, "too many requests in progress to this peer" });
        return;
    }
    if (static_cast<std::size_t>(message.size()) > requestLimit(state.limits)) {
        fail(PeerError { PeerCode::TooLarge, "request is longer than the limit" });
        return;
    }
    if (const int error = nng_ctx_open(&call->ctx, state.socket); error != 0) {
        fail(toPeerError(error));
        return;
    }
    nng_msg* body = makeMessage(message);
    const int error = body == nullptr ? NNG_ENOMEM : nng_aio_alloc(&call->aio, State::onCompleted, call.get());
    if (error != 0) {
        nng_ctx_close(call->ctx);
        if (body != nullptr)
            nng_msg_free(body);
        fail(toPeerError(error));
        return;
    }
    state.traffic.messagesSent += 1;
    state.traffic.bytesSent += static_cast<std::uint64_t>(message.size());
    // The timeout applies to the send and to the receive each; half of the limit for each keeps the sum within it.
    nng_aio_set_timeout(call->aio, state.limits.requestTimeoutMs / 2);
    nng_aio_set_msg(call->aio, body);
    State::Call* started = call.get();
    state.calls.push_back(std::move(call));
    nng_ctx_send(started->ctx, started->aio);
}

Client::Client(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Client::~Client() { State::retire(std::move(m_state)); }

const PeerTraffic& Client::traffic() const { return m_state->traffic; }

// --- Closing ---

std::size_t pendingCloses() { return Client::State::retiredStates().size() + Server::State::retiredStates().size(); }

} // namespace lacewing::peer
