// Effects of the routing module on real sockets, and the slot record in the store.
#include "daemon/gateway_service.h"

#include "daemon/configuration_service.h"
#include "daemon/membership_service.h"
#include "daemon/slot_messages.h"
#include "daemon/store_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr int recordIntervalMs = 2000; // reads of the slot records; one list call for all data centres
    constexpr base::Duration assumedDistance = base::milliseconds(1); // round trip to another data centre
    constexpr int longestTickMs = 100;

    const std::string slotsPrefix = "slots/";
    const std::string servicePrefix = "/svc/";

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    bool isIdempotentMethod(const QByteArray& method)
    {
        return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE" || method == "OPTIONS";
    }

    bool isIdempotent(const http::Request& request, config::Idempotency idempotency)
    {
        const QByteArray declared = http::headerValue(request.headers, "Lacewing-Idempotent").toLower();
        if (declared == "true" || declared == "false")
            return declared == "true";
        if (idempotency != config::Idempotency::ByMethod)
            return idempotency == config::Idempotency::Always;
        return isIdempotentMethod(request.method);
    }

    // Value of a header with a whole number from 1; nothing when it is absent, nullopt-with-error when it is not a
    // number.
    struct NumberHeader {
        bool isValid = true;
        std::optional<std::int64_t> value;
    };

    NumberHeader numberHeader(const http::Request& request, const QByteArray& name, std::int64_t least)
    {
        if (!http::hasHeader(request.headers, name))
            return {};
        bool isNumber = false;
        const qint64 value = http::headerValue(request.headers, name).toLongLong(&isNumber);
        if (!isNumber || value < least)
            return { false, std::nullopt };
        return { true, value };
    }

    const char* problemDetail(routing::Reason reason)
    {
        switch (reason) {
        case routing::Reason::Draining:
            return "this daemon is stopping";
        case routing::Reason::QueueFull:
            return "too many requests of this class are waiting";
        case routing::Reason::DeadlineTooShort:
            return "the deadline cannot be met";
        case routing::Reason::DeadlineExpired:
            return "the deadline passed before a complete answer arrived";
        case routing::Reason::NoEndpoint:
            return "no endpoint can take the request";
        case routing::Reason::TooManyHops:
            return "a forwarded request cannot be served here";
        case routing::Reason::RetryBudgetExhausted:
            return "an attempt failed and the retry budget is used up";
        case routing::Reason::AttemptsExhausted:
            return "all attempts failed";
        case routing::Reason::MayHaveExecuted:
            return "the connection broke after the request was sent; it may have been executed";
        case routing::Reason::DuplicateRequest:
            return "the request id is in use";
        case routing::Reason::CallerGone:
            return "the caller left";
        }
        return "";
    }

    http::Executed toHttp(routing::Executed executed)
    {
        return executed == routing::Executed::No ? http::Executed::No : http::Executed::Unknown;
    }

    // The header lets a daemon that forwarded the request see the field without parsing the body.
    void addExecutedHeader(http::Response& response, http::Executed executed)
    {
        const std::string_view name = base::nameOf(http::executedNames, executed);
        http::setHeader(
            response.headers, "Lacewing-Executed", QByteArray(name.data(), static_cast<qsizetype>(name.size())));
    }

    routing::AttemptOutcome toOutcome(const http::ClientResult& result)
    {
        routing::AttemptOutcome outcome;
        outcome.bytesSent
            = result.bytesSent == http::BytesSent::None ? routing::BytesSent::None : routing::BytesSent::Some;
        outcome.status = result.status;
        outcome.endpointSaidNotExecuted
            = result.ok() && http::headerValue(result.headers, "Lacewing-Executed").toLower() == "no";
        outcome.timedOut = result.failure == http::Failure::Timeout;
        outcome.complete = result.ok();
        outcome.connectionLost = !result.ok() && !outcome.timedOut;
        return outcome;
    }

    http::Response toResponse(const http::ClientResult& result)
    {
        http::Response response;
        response.status = result.status;
        response.body = result.body;
        for (const http::Header& header : result.headers) {
            if (!http::isHopByHop(header.name) && header.name.toLower() != "content-length")
                response.headers.push_back(header);
        }
        return response;
    }

} // namespace

GatewayService::GatewayService(Runtime& runtime)
    : m_runtime(runtime)
    , m_client(std::make_unique<http::Client>())
{
    const routing::GatewayIdentity identity { runtime.settings.daemon, runtime.incarnation,
        runtime.settings.dataCentre };
    routing::initGateway(m_gateway, identity, {}, routing::PolicyName::LatencyAware, runtime.rng.engine());
    m_tickTimer.setSingleShot(true);
    QObject::connect(
        &m_tickTimer, &QTimer::timeout, &m_tickTimer, [this] { run(routing::tick(m_gateway, base::monotonicNow())); });
    QObject::connect(&m_recordTimer, &QTimer::timeout, &m_recordTimer, [this] { readRecords(); });
}

void GatewayService::start()
{
    m_store = kernel::find<StoreService>(m_runtime.kernel, serviceNames::store);
    m_membership = kernel::find<MembershipService>(m_runtime.kernel, serviceNames::membership);
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_membership->onInstances([this](const std::vector<InstanceEntry>& instances) { onInstances(instances); });
    m_membership->onMemberEvent([this](const cluster::MemberEvent& event) {
        const bool isProof
            = event.change == cluster::MemberChange::Restarted || event.change == cluster::MemberChange::Stopped;
        if (!isProof)
            return;
        // A restart proves every lower incarnation gone, a goodbye the stated one.
        for (const routing::RecordMember& member : m_gateway.slots.record.members) {
            const bool isLower = member.incarnation < event.incarnation;
            const bool isStopped
                = event.change == cluster::MemberChange::Stopped && member.incarnation == event.incarnation;
            if (member.daemon == event.daemon && (isLower || isStopped)) {
                run(routing::onDaemonGone(m_gateway, member.daemon, member.incarnation, base::monotonicNow()));
                return;
            }
        }
    });
    m_configuration->onChanged([this] { onConfiguration(); });
    m_recordTimer.start(recordIntervalMs);
    readRecords();
    scheduleTick();
}

void GatewayService::stop()
{
    m_tickTimer.stop();
    m_recordTimer.stop();
    m_client.reset();
}

void GatewayService::beginDrain() { run(routing::beginDrain(m_gateway, base::monotonicNow())); }

bool GatewayService::isIdle()
{
    if (m_isClosed)
        return true;
    if (m_isClosing || !routing::isIdle(m_gateway) || !m_pending.empty())
        return false;
    m_isClosing = true;
    const std::optional<routing::SlotRecord> record = routing::closeSlots(m_gateway);
    if (!record) {
        m_isClosed = true;
        return true;
    }
    // The record may also be left later: the goodbye lets the others remove this daemon.
    const std::string operation = m_runtime.settings.daemon.value + ":" + std::to_string(m_runtime.incarnation)
        + ":slots:" + std::to_string(m_nextOperation++);
    m_store->put(recordKey(), encodeSlotRecord(*record), record->version - 1, operation,
        [this](const store::Result<store::Version>&) { m_isClosed = true; });
    return false;
}

std::string GatewayService::recordKey() const { return slotsPrefix + m_runtime.settings.dataCentre.value; }

// --- Callers ---

void GatewayService::refuse(const http::Responder& responder, int status, const char* code, const QString& detail) const
{
    http::Response response = http::ProblemBuilder(status, code).detail(detail).executedNo().response();
    addExecutedHeader(response, http::Executed::No);
    responder.respond(response);
}

void GatewayService::handle(const http::Request& request, const http::Responder& responder)
{
    const QByteArray rest = request.path.mid(static_cast<qsizetype>(servicePrefix.size()));
    const qsizetype slash = rest.indexOf('/');
    const base::ServiceId service { (slash < 0 ? rest : rest.left(slash)).toStdString() };
    const auto policy = m_configuration->holder().policy();
    if (!policy) {
        refuse(responder, 503, "notReady", "this daemon has not seen an accepted configuration");
        return;
    }
    const bool isKnown = policy->services.empty() || policy->services.contains(service);
    if (service.empty() || !isKnown) {
        refuse(responder, 404, "unknownService", "the configuration does not list this service");
        return;
    }
    const config::ServicePolicy servicePolicy = config::servicePolicy(*policy, service);
    if (request.body.size() > servicePolicy.bodyBytes) {
        refuse(responder, 413, "bodyTooLarge", "the body exceeds the limit of the service");
        return;
    }
    const NumberHeader deadline = numberHeader(request, "Lacewing-Deadline-Ms", 1);
    const NumberHeader hops = numberHeader(request, "Lacewing-Hops", 0);
    const QByteArray className = http::headerValue(request.headers, "Lacewing-Class").toLower();
    const bool isClassKnown = className.isEmpty() || className == "urgent" || className == "slow";
    if (!deadline.isValid || !hops.isValid || !isClassKnown) {
        refuse(responder, 400, "invalidHeader",
            "Lacewing-Deadline-Ms and Lacewing-Hops are whole numbers, Lacewing-Class is urgent or slow");
        return;
    }

    routing::IncomingRequest incoming;
    incoming.id = m_nextRequest++;
    incoming.requestClass = className == "slow" ? routing::RequestClass::Slow : routing::RequestClass::Urgent;
    incoming.isIdempotent = isIdempotent(request, servicePolicy.idempotency);
    const base::Duration asked = deadline.value ? base::milliseconds(*deadline.value) : servicePolicy.deadline;
    incoming.deadline = std::min(asked, servicePolicy.maxDeadline);
    incoming.hops = static_cast<int>(hops.value.value_or(0));

    Pending pending;
    pending.request = request;
    pending.responder = responder;
    pending.service = service;
    const QByteArray path = slash < 0 ? QByteArray("/") : rest.mid(slash);
    pending.endpointPath = (request.query.isEmpty() ? path : path + "?" + request.query).toStdString();
    const QByteArray givenId = http::headerValue(request.headers, "Lacewing-Request-Id");
    pending.requestId = givenId.isEmpty() ? m_runtime.settings.daemon.value + "-"
            + std::to_string(m_runtime.incarnation) + "-" + std::to_string(incoming.id)
                                          : givenId.left(200).toStdString();
    pending.startedAt = base::monotonicNow();
    const routing::RequestId id = incoming.id;
    m_pending.emplace(id, std::move(pending));
    responder.onDisconnect([this, id] {
        run(routing::onCallerGone(m_gateway, id, base::monotonicNow()));
        forgetWhenDone(id);
    });
    run(routing::offer(m_gateway, incoming, base::monotonicNow()));
}

// --- Effects ---

void GatewayService::run(routing::Effects effects)
{
    m_queue.push_back(std::move(effects));
    if (m_isRunning)
        return;
    m_isRunning = true;
    while (!m_queue.empty()) {
        const routing::Effects current = std::move(m_queue.front());
        m_queue.pop_front();
        for (const routing::Effect& effect : current) {
            routing::Effects more;
            std::visit([this, &more](const auto& typed) { carryOut(typed, more); }, effect);
            if (!more.empty())
                m_queue.push_back(std::move(more));
        }
    }
    m_isRunning = false;
    scheduleTick();
}

http::ClientRequest GatewayService::attemptRequest(
    const Pending& pending, const std::string& address, const std::string& path, std::int64_t timeoutMs) const
{
    http::ClientRequest message;
    message.method = pending.request.method;
    message.url = QByteArray::fromStdString("http://" + address + path);
    for (const http::Header& header : pending.request.headers) {
        const QByteArray name = header.name.toLower();
        const bool isReplaced = name == "host" || name == "content-length" || name == "lacewing-deadline-ms"
            || name == "lacewing-hops" || name == "lacewing-request-id";
        if (!isReplaced && !http::isHopByHop(header.name))
            message.headers.push_back(header);
    }
    http::setHeader(message.headers, "Lacewing-Request-Id", QByteArray::fromStdString(pending.requestId));
    http::setHeader(message.headers, "Lacewing-Deadline-Ms", QByteArray::number(static_cast<qint64>(timeoutMs)));
    message.body = pending.request.body;
    message.timeoutMs = static_cast<int>(timeoutMs);
    message.mode = http::SendMode::Once;
    return message;
}

void GatewayService::sendAttempt(
    routing::RequestId request, routing::AttemptId attempt, const http::ClientRequest& message, routing::Effects& more)
{
    more = routing::onAttemptStarted(m_gateway, request, attempt, base::monotonicNow());
    const http::RequestId sent = m_client->send(message,
        [this, request, attempt](http::ClientResult result) { onResult(request, attempt, std::move(result)); });
    m_pending.at(request).inFlight.emplace(attempt, sent);
}

void GatewayService::carryOut(const routing::Send& send, routing::Effects& more)
{
    Pending& pending = m_pending.at(send.requestId);
    pending.endpoints[send.attemptId] = send.endpoint;
    sendAttempt(send.requestId, send.attemptId,
        attemptRequest(pending, m_addresses[send.endpoint], pending.endpointPath, send.timeoutMs), more);
}

void GatewayService::carryOut(const routing::ForwardToDaemon& forward, routing::Effects& more)
{
    Pending& pending = m_pending.at(forward.requestId);
    pending.endpoints[forward.attemptId] = {};
    const std::string path = pending.request.path.toStdString()
        + (pending.request.query.isEmpty() ? "" : "?" + pending.request.query.toStdString());
    http::ClientRequest message = attemptRequest(pending, m_forwardAddresses[forward.daemon], path, forward.timeoutMs);
    http::setHeader(message.headers, "Lacewing-Hops", QByteArray::number(forward.hops));
    // The other daemon must not decide by its own policy file position whether the request is idempotent.
    const bool isIdempotentRequest = m_gateway.requests.contains(forward.requestId)
        && m_gateway.requests.at(forward.requestId).incoming.isIdempotent;
    http::setHeader(message.headers, "Lacewing-Idempotent", isIdempotentRequest ? "true" : "false");
    sendAttempt(forward.requestId, forward.attemptId, message, more);
}

void GatewayService::carryOut(const routing::CancelAttempt& cancel, routing::Effects&)
{
    const auto pending = m_pending.find(cancel.requestId);
    if (pending == m_pending.end())
        return;
    const auto sent = pending->second.inFlight.find(cancel.attemptId);
    if (sent != pending->second.inFlight.end())
        m_client->cancel(sent->second);
}

void GatewayService::onResult(routing::RequestId request, routing::AttemptId attempt, http::ClientResult result)
{
    const auto pending = m_pending.find(request);
    if (pending == m_pending.end())
        return;
    pending->second.inFlight.erase(attempt);
    const routing::AttemptOutcome outcome = toOutcome(result);
    if (!result.ok()) {
        kernel::logEvent(kernel::LogLevel::Debug, "gateway", "attemptFailed",
            { { "request", toQString(pending->second.requestId) },
                { "endpoint", toQString(pending->second.endpoints[attempt].value) },
                { "failure", toQString(base::nameOf(http::failureNames, result.failure)) },
                { "bytesSent", toQString(base::nameOf(http::bytesSentNames, result.bytesSent)) } });
    }
    pending->second.answers.emplace(attempt, std::move(result));
    run(routing::onAttemptResult(m_gateway, request, attempt, outcome, base::monotonicNow()));
    forgetWhenDone(request);
}

void GatewayService::forgetWhenDone(routing::RequestId request)
{
    const auto pending = m_pending.find(request);
    if (pending == m_pending.end())
        return;
    const bool isAnswered = pending->second.responder.isAnswered() || !pending->second.responder.isConnected();
    if (isAnswered && pending->second.inFlight.empty() && !m_gateway.requests.contains(request))
        m_pending.erase(pending);
}

void GatewayService::recordResult(const Pending& pending, const base::EndpointId& endpoint, bool isAnswered)
{
    const auto policy = m_configuration->holder().policy();
    std::optional<base::Duration> threshold;
    if (policy)
        threshold = config::servicePolicy(*policy, pending.service).objectives.latencyThreshold;
    const base::TimePoint now = base::monotonicNow();
    m_runtime.metrics.recordRequest({ pending.service.value, endpoint.value }, now - pending.startedAt,
        isAnswered ? base::RequestResult::Answered : base::RequestResult::Failed, threshold, now);
}

void GatewayService::carryOut(const routing::ReplyWithAnswer& reply, routing::Effects&)
{
    Pending& pending = m_pending.at(reply.requestId);
    const http::ClientResult& answer = pending.answers.at(reply.attemptId);
    recordResult(pending, pending.endpoints[reply.attemptId], answer.status < 500);
    pending.responder.respond(toResponse(answer));
    forgetWhenDone(reply.requestId);
}

void GatewayService::carryOut(const routing::ReplyWithProblem& reply, routing::Effects&)
{
    Pending& pending = m_pending.at(reply.requestId);
    const std::string_view code = base::nameOf(routing::reasonNames, reply.code);
    const http::Executed executed = toHttp(reply.executed);
    http::ProblemBuilder problem(reply.httpStatus, toQString(code));
    problem.detail(problemDetail(reply.code));
    if (executed == http::Executed::No)
        problem.executedNo();
    http::Response response = problem.response();
    addExecutedHeader(response, executed);
    const base::EndpointId endpoint
        = pending.endpoints.empty() ? base::EndpointId() : pending.endpoints.rbegin()->second;
    recordResult(pending, endpoint, false);
    m_runtime.metrics
        .counter("lacewing_requests_refused_total", "Requests answered with a problem, by reason.",
            { { "code", std::string(code) } })
        .value
        += 1;
    kernel::logEvent(kernel::LogLevel::Info, "gateway", "requestRefused",
        { { "request", toQString(pending.requestId) }, { "service", toQString(pending.service.value) },
            { "code", toQString(code) }, { "executed", toQString(base::nameOf(http::executedNames, executed)) } });
    pending.responder.respond(response);
    forgetWhenDone(reply.requestId);
}

// --- Slots ---

void GatewayService::carryOut(const routing::AskForLoan& ask, routing::Effects&)
{
    m_membership->request(ask.owner, toMessage(ask.request), [this](const PeerAnswer& answer) {
        const auto* reply = answer ? std::get_if<codec::SlotLoanReply>(&*answer) : nullptr;
        if (reply != nullptr)
            run(routing::onLoanReply(m_gateway, toLoanReply(*reply), base::monotonicNow()));
    });
}

void GatewayService::carryOut(const routing::GiveLoanBack& giveBack, routing::Effects&)
{
    // A lost return costs only time: the lease ends by itself.
    m_membership->request(giveBack.loan.owner, toMessage(giveBack.loan), [](const PeerAnswer&) {});
}

void GatewayService::carryOut(const routing::WriteSlotRecord& write, routing::Effects&)
{
    if (m_isWritingRecord)
        return;
    m_isWritingRecord = true;
    const std::string operation = m_runtime.settings.daemon.value + ":" + std::to_string(m_runtime.incarnation)
        + ":slots:" + std::to_string(m_nextOperation++);
    m_store->put(recordKey(), encodeSlotRecord(write.record), write.record.version - 1, operation,
        [this, version = write.record.version](const store::Result<store::Version>& result) {
            m_isWritingRecord = false;
            kernel::logEvent(kernel::LogLevel::Info, "gateway", "slotRecordWritten",
                { { "version", static_cast<qint64>(version) }, { "succeeded", result.has_value() } });
            // The outcome, also of a lost reply or a refused write, is read back.
            readRecords();
        });
}

void GatewayService::readRecords()
{
    const base::TimePoint sentAt = base::monotonicNow();
    m_store->list(slotsPrefix, [this, sentAt](const store::Result<store::Listing>& result) {
        if (result.has_error())
            return;
        routing::SlotRecord own;
        std::vector<base::DaemonId> recorded;
        bool isComplete = true;
        for (const store::Entry& entry : result.value().entries) {
            const auto record = decodeSlotRecord(entry.value);
            if (!record) {
                isComplete = false;
                kernel::logEvent(
                    kernel::LogLevel::Error, "gateway", "slotRecordInvalid", { { "key", toQString(entry.key) } });
                continue;
            }
            for (const routing::RecordMember& member : record->members)
                recorded.push_back(member.daemon);
            if (entry.key == recordKey())
                own = *record;
        }
        cluster::onRecordedMembers(m_configuration->freshness(), recorded, isComplete);
        run(routing::onSlotRecord(m_gateway, own, sentAt, base::monotonicNow()));
        rememberJoin();
    });
}

// The first record version that names this incarnation.
void GatewayService::rememberJoin()
{
    if (m_joinedVersion != 0)
        return;
    const routing::SlotTable& table = m_gateway.slots;
    for (const routing::RecordMember& member : table.record.members) {
        if (member.daemon == table.self && member.incarnation == table.incarnation)
            m_joinedVersion = table.record.version;
    }
}

codec::SlotStatement GatewayService::slotStatement() const
{
    return toMessage(routing::currentSlotAck(m_gateway, base::monotonicNow()));
}

void GatewayService::onSlotStatement(
    const codec::DaemonReport& report, const codec::SlotStatement& statement, base::TimePoint sentAt)
{
    run(routing::onSlotAck(m_gateway, toSlotAck(report, statement), sentAt, base::monotonicNow()));
    if (statement.recordVersion > m_gateway.slots.record.version)
        readRecords();
}

codec::SlotLoanReply GatewayService::onLoanRequest(const codec::SlotLoan& loan)
{
    return toMessage(routing::onLoanRequest(m_gateway, toLoanRequest(loan), base::monotonicNow()));
}

void GatewayService::onLoanReturn(const codec::SlotReturn& loan)
{
    run(routing::onLoanReturn(m_gateway, toLoanReturn(loan), base::monotonicNow()));
}

std::uint32_t GatewayService::freeSlots() const
{
    std::uint32_t free = 0;
    for (const auto& [endpoint, slots] : m_gateway.slots.endpoints)
        free += static_cast<std::uint32_t>(__builtin_popcountll(slots.granted & ~slots.inUse & ~slots.lent));
    return free;
}

bool GatewayService::isKnownToAll() const
{
    const routing::SlotTable& table = m_gateway.slots;
    bool isMember = false;
    for (const routing::RecordMember& member : table.record.members) {
        if (member.daemon == table.self) {
            isMember = member.incarnation == table.incarnation;
            continue;
        }
        const auto peer = table.peers.find(member.daemon);
        const bool isGone = peer != table.peers.end() && peer->second.isGone;
        const bool hasAcknowledged
            = peer != table.peers.end() && peer->second.hasAck && peer->second.ack.version >= m_joinedVersion;
        if (!isGone && !hasAcknowledged)
            return false;
    }
    return isMember;
}

// --- Platform and configuration ---

void GatewayService::onInstances(const std::vector<InstanceEntry>& instances)
{
    std::vector<routing::EndpointInfo> endpoints;
    for (const InstanceEntry& instance : instances) {
        if (instance.kind != InstanceKind::Endpoint || instance.dataCentre != m_runtime.settings.dataCentre)
            continue;
        routing::EndpointInfo info;
        info.id = { instance.id.value };
        info.dataCentre = instance.dataCentre;
        info.address = instance.address;
        info.port = instance.port;
        info.status = instance.state == InstanceState::Leaving ? routing::EndpointStatus::Leaving
                                                               : routing::EndpointStatus::Live;
        info.slots = instance.slots;
        m_addresses[info.id] = instance.address + ":" + std::to_string(instance.port);
        endpoints.push_back(std::move(info));
    }
    run(routing::onEndpointList(m_gateway, endpoints, base::monotonicNow()));
    updatePeers();
}

void GatewayService::updatePeers()
{
    std::vector<routing::PeerInfo> peers;
    m_forwardAddresses.clear();
    const auto policy = m_configuration->holder().policy();
    const base::TimePoint now = base::monotonicNow();
    for (const auto& [dataCentre, record] : m_membership->digests().records) {
        if (dataCentre == m_runtime.settings.dataCentre || record.state.gatewayAddress.empty())
            continue;
        if (!cluster::isReachable(m_membership->digests(), dataCentre, now)
            || (policy && config::isOut(*policy, dataCentre)))
            continue;
        routing::PeerInfo peer;
        peer.daemon = record.origin;
        peer.dataCentre = dataCentre;
        peer.freeSlots = static_cast<int>(record.state.freeSlots);
        peer.distance = assumedDistance;
        m_forwardAddresses[peer.daemon] = record.state.gatewayAddress;
        peers.push_back(std::move(peer));
    }
    routing::onPeers(m_gateway, peers);
}

void GatewayService::onConfiguration()
{
    const auto policy = m_configuration->holder().policy();
    routing::setLimits(m_gateway, toLimits(*policy));
    m_gateway.router.policy
        = base::valueOf(routing::policyNames, base::nameOf(config::routingPolicyNames, policy->routing.policy))
              .value_or(routing::PolicyName::LatencyAware);
    updatePeers();
    run(routing::setDataCentreOut(
        m_gateway, config::isOut(*policy, m_runtime.settings.dataCentre), base::monotonicNow()));
}

void GatewayService::scheduleTick()
{
    const base::TimePoint now = base::monotonicNow();
    const auto wakeUp = routing::nextWakeUp(m_gateway, now);
    std::int64_t delayMs = longestTickMs;
    if (wakeUp)
        delayMs
            = std::clamp<std::int64_t>(base::toMilliseconds(*wakeUp - now + base::milliseconds(1)), 0, longestTickMs);
    m_tickTimer.start(static_cast<int>(delayMs));
}

void registerGatewayService(Runtime& runtime)
{
    auto service = std::make_shared<std::unique_ptr<GatewayService>>();
    kernel::Service entry;
    entry.name = serviceNames::gateway;
    entry.dependsOn = { serviceNames::store, serviceNames::membership, serviceNames::configuration };
    entry.start = [&runtime, service] {
        *service = std::make_unique<GatewayService>(runtime);
        kernel::publish(runtime.kernel, serviceNames::gateway, service->get());
        (*service)->start();
        return std::string();
    };
    entry.beginStop = [service] { (*service)->beginDrain(); };
    entry.isIdle = [service] { return (*service)->isIdle(); };
    entry.stop = [service] { (*service)->stop(); };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(entry)));
}

} // namespace lacewing::daemon
