// Reading, relaying and accepting configurations. JSON of the HTTP interface is documented in docs/http.md.
#include "daemon/configuration_service.h"

#include "daemon/membership_service.h"
#include "daemon/store_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lacewing::daemon {

namespace {

    // One watch waits this long. A short wait keeps the evidence of freshness (at most 2 s old) young enough that a
    // peer can use it after one heartbeat interval of 1 s. It costs four reads a second in each data centre.
    constexpr base::Duration watchWait = base::milliseconds(250);
    constexpr base::Duration checkInterval = base::milliseconds(100);
    constexpr base::Duration retryDelay = base::milliseconds(250);
    // A daemon that does not watch reads the store itself when its evidence runs out within this time.
    constexpr base::Duration evidenceReserve = base::milliseconds(500);
    // A revision is put in force after one other daemon acknowledged it, or after this time.
    constexpr base::Duration relayWait = base::milliseconds(200);
    // An apply is answered as unknown when its result could not be read back within this time.
    constexpr base::Duration applyTimeLimit = base::seconds(10);
    constexpr int historyEntries = 100; // entries in one answer
    constexpr int applyAttempts = 5;    // reads and decisions of one apply under concurrent changes

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

    http::Response json(int status, const QJsonObject& object)
    {
        return http::jsonResponse(status, QJsonDocument(object).toJson(QJsonDocument::Compact));
    }

    QJsonObject toJson(const config::ConfigError& error)
    {
        return { { "code", toQString(config::nameOf(error.code)) }, { "file", toQString(error.file) },
            { "line", error.line }, { "key", toQString(error.key) }, { "value", toQString(error.value) },
            { "accepted", toQString(error.accepted) }, { "detail", toQString(error.detail) },
            { "text", toQString(config::describe(error)) } };
    }

    QJsonObject toJson(const config::Files& files)
    {
        QJsonObject object;
        for (const auto& [name, text] : files)
            object[toQString(name)] = toQString(text);
        return object;
    }

    QJsonObject problemObject(const http::Problem& problem)
    {
        return QJsonDocument::fromJson(http::problemJson(problem)).object();
    }

    http::Response problemWith(const http::Problem& problem, const QJsonObject& extra)
    {
        QJsonObject object = problemObject(problem);
        for (auto entry = extra.begin(); entry != extra.end(); ++entry)
            object[entry.key()] = entry.value();
        http::Response response = json(problem.status, object);
        http::setHeader(response.headers, "Content-Type", "application/problem+json");
        return response;
    }

    http::Response conflictResponse(const config::Conflict& conflict)
    {
        const http::Problem problem = http::ProblemBuilder(409, "conflict")
                                          .detail(toQString(config::describe(conflict)))
                                          .executedNo()
                                          .problem();
        return problemWith(problem,
            { { "expectedRevision", static_cast<qint64>(conflict.expected) },
                { "currentRevision", static_cast<qint64>(conflict.current) }, { "author", toQString(conflict.author) },
                { "time", static_cast<qint64>(conflict.timeMs) }, { "comment", toQString(conflict.comment) } });
    }

    http::Response refusedResponse(const config::ConfigErrors& errors)
    {
        QJsonArray list;
        for (const config::ConfigError& error : errors)
            list.append(toJson(error));
        const QString detail = errors.empty() ? QString() : toQString(config::describe(errors.front()));
        const http::Problem problem
            = http::ProblemBuilder(422, "invalidConfiguration").detail(detail).executedNo().problem();
        return problemWith(problem, { { "errors", list } });
    }

    http::Response acceptedResponse(const config::Accepted& accepted)
    {
        return json(200,
            { { "revision", static_cast<qint64>(accepted.revision) },
                { "outcome", toQString(config::nameOf(accepted.outcome)) } });
    }

    // Reads the body of POST /v1/config. Returns the name of the wrong field on failure.
    std::optional<QString> readProposal(const QByteArray& body, config::Proposal& proposal)
    {
        const QJsonDocument document = QJsonDocument::fromJson(body);
        if (!document.isObject())
            return QString("body");
        const QJsonObject object = document.object();
        const QJsonValue revision = object["expectRevision"];
        if (!revision.isDouble() || revision.toInteger(-1) < 0)
            return QString("expectRevision");
        for (const char* key : { "author", "operation" }) {
            const QString value = object[QLatin1String(key)].toString();
            if (value.isEmpty() || value.size() > 200)
                return QString::fromLatin1(key);
        }
        if (!object["files"].isObject())
            return QString("files");
        const QJsonObject files = object["files"].toObject();
        for (auto entry = files.begin(); entry != files.end(); ++entry) {
            if (!entry.value().isString())
                return "files." + entry.key();
            proposal.files.emplace(entry.key().toStdString(), entry.value().toString().toStdString());
        }
        proposal.expectRevision = static_cast<base::Revision>(revision.toInteger());
        proposal.author = object["author"].toString().toStdString();
        proposal.operation = object["operation"].toString().toStdString();
        proposal.comment = object["comment"].toString().left(1000).toStdString();
        return std::nullopt;
    }

    codec::ConfigPush toPush(const config::Stored& stored)
    {
        return { stored.revision, stored.author, stored.timeMs, stored.comment, stored.operation, stored.files };
    }

    config::Stored toStored(const codec::ConfigPush& push)
    {
        config::Stored stored;
        stored.revision = push.revision;
        stored.author = push.author;
        stored.timeMs = push.timeMs;
        stored.comment = push.comment;
        stored.operation = push.operation;
        stored.files = push.files;
        return stored;
    }

} // namespace

// One apply of an operator, from the first read to the answer.
struct ConfigurationService::Apply {
    config::Proposal proposal;
    http::Responder responder;
    base::TimePoint deadline;
    int attempts = 0;
    std::string writeOperation; // identity of the compare-and-swap in flight
    std::string value;          // the value that it writes
    std::uint64_t version = 0;  // the store version that it expects
    config::Accepted accepted;
    config::Stored before;
    bool isUnresolved = false; // an earlier write of the same operation may have taken effect
};

ConfigurationService::ConfigurationService(Runtime& runtime)
    : m_runtime(runtime)
{
    m_freshness.self = runtime.settings.daemon;
    m_freshness.startedAt = runtime.startedAt;
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { step(); });
}

void ConfigurationService::start()
{
    m_store = kernel::find<StoreService>(m_runtime.kernel, serviceNames::store);
    m_membership = kernel::find<MembershipService>(m_runtime.kernel, serviceNames::membership);
    m_store->onAccessChanged([this](bool hasAccess) { cluster::onStoreAccess(m_freshness, hasAccess); });
    scheduleNext(base::Duration(0));
}

void ConfigurationService::stop() { m_timer.stop(); }

// --- Reading ---

void ConfigurationService::scheduleNext(base::Duration delay)
{
    m_timer.start(static_cast<int>(base::toMilliseconds(delay)));
}

void ConfigurationService::step()
{
    if (m_isReading)
        return;
    if (m_membership->isRepresentative() || !m_lastRead) {
        watchNow();
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    const cluster::Evidence evidence = cluster::evidence(m_freshness, now);
    const bool isRunningOut
        = evidence.kind == cluster::EvidenceKind::None || evidence.validUntil - now < evidenceReserve;
    if (isRunningOut) {
        m_watchAfter.reset();
        readNow();
        return;
    }
    scheduleNext(checkInterval);
}

void ConfigurationService::readNow()
{
    m_isReading = true;
    const base::TimePoint sentAt = base::monotonicNow();
    m_store->list(std::string(config::currentKey), [this, sentAt](const store::Result<store::Listing>& result) {
        m_isReading = false;
        if (result.has_error()) {
            scheduleNext(retryDelay);
            return;
        }
        m_watchAfter = result.value().revision;
        const auto& entries = result.value().entries;
        onStored(entries.empty() ? std::string() : entries.front().value, sentAt);
        scheduleNext(checkInterval);
    });
}

void ConfigurationService::watchNow()
{
    if (!m_watchAfter) {
        readNow();
        return;
    }
    m_isReading = true;
    const base::TimePoint sentAt = base::monotonicNow();
    m_store->watch(std::string(config::currentKey), *m_watchAfter, watchWait,
        [this, sentAt](const store::Result<store::WatchAnswer>& result) {
            m_isReading = false;
            if (result.has_error()) {
                // A broken watch may have skipped changes; the next step reads the value.
                m_watchAfter.reset();
                const bool isExpired = result.error().code == store::Error::Code::WatchExpired;
                scheduleNext(isExpired ? base::Duration(0) : retryDelay);
                return;
            }
            m_watchAfter = result.value().revision;
            const auto& events = result.value().events;
            if (events.empty()) {
                m_lastRead = sentAt;
                cluster::onStoreRead(m_freshness, m_holder.revision(), sentAt);
            } else {
                onStored(events.back().value.value_or(std::string()), sentAt);
            }
            scheduleNext(base::Duration(0));
        });
}

void ConfigurationService::onStored(const std::string& value, base::TimePoint sentAt)
{
    m_lastRead = sentAt;
    if (value.empty()) {
        cluster::onStoreRead(m_freshness, 0, sentAt);
        return;
    }
    const auto stored = config::decodeStored(value);
    if (stored.has_error()) {
        kernel::logEvent(kernel::LogLevel::Error, "configuration", "storedValueInvalid",
            { { "detail", toQString(config::describe(stored.error())) } });
        return;
    }
    cluster::onStoreRead(m_freshness, stored.value().revision, sentAt);
    offer(stored.value(), config::Holder::Source::Store);
}

void ConfigurationService::offer(const config::Stored& stored, config::Holder::Source source)
{
    if (stored.revision <= m_holder.revision()) {
        putInForce(stored, source); // may confirm the held revision
        return;
    }
    // Relay first: when this daemon stops right after putting the revision in force, another one holds it.
    const auto isDone = std::make_shared<bool>(false);
    const auto proceed = [this, stored, source, isDone] {
        if (*isDone)
            return;
        *isDone = true;
        putInForce(stored, source);
    };
    const bool isSent
        = source == config::Holder::Source::Store && m_membership->sendToDataCentre(toPush(stored), proceed);
    if (!isSent) {
        proceed();
        return;
    }
    QTimer::singleShot(static_cast<int>(base::toMilliseconds(relayWait)), &m_timer, proceed);
}

void ConfigurationService::putInForce(const config::Stored& stored, config::Holder::Source source)
{
    const config::Holder::Outcome outcome = m_holder.offer(stored, source);
    cluster::onRevision(m_freshness, m_holder.revision());
    if (outcome == config::Holder::Outcome::Invalid || outcome == config::Holder::Outcome::Mismatch) {
        kernel::logEvent(kernel::LogLevel::Error, "configuration", "configurationRefused",
            { { "revision", static_cast<qint64>(stored.revision) },
                { "outcome", toQString(config::nameOf(outcome)) } });
        return;
    }
    if (outcome != config::Holder::Outcome::Adopted && outcome != config::Holder::Outcome::Confirmed)
        return;
    kernel::logEvent(kernel::LogLevel::Info, "configuration", "configurationInForce",
        { { "revision", static_cast<qint64>(stored.revision) }, { "author", toQString(stored.author) },
            { "outcome", toQString(config::nameOf(outcome)) }, { "fromStore", source == config::Holder::Source::Store },
            { "delayMs", static_cast<qint64>(base::wallClockMs() - stored.timeMs) } });
    for (const auto& listener : m_listeners)
        listener();
}

// --- Messages of other daemons ---

void ConfigurationService::onPush(const codec::ConfigPush& push)
{
    offer(toStored(push), config::Holder::Source::Peer);
}

codec::ConfigPullReply ConfigurationService::onPull(const codec::ConfigPull& pull) const
{
    codec::ConfigPullReply reply;
    reply.revision = m_holder.revision();
    if (m_holder.revision() > pull.knownRevision)
        reply.configuration = toPush(m_holder.stored());
    return reply;
}

// --- HTTP: show and history ---

void ConfigurationService::handleShow(const http::Responder& responder) const
{
    const config::Stored& stored = m_holder.stored();
    responder.respond(json(200,
        { { "revision", static_cast<qint64>(stored.revision) }, { "author", toQString(stored.author) },
            { "time", static_cast<qint64>(stored.timeMs) }, { "comment", toQString(stored.comment) },
            { "operation", toQString(stored.operation) }, { "confirmed", m_holder.isConfirmed() },
            { "files", toJson(stored.files) } }));
}

void ConfigurationService::handleHistory(const http::Responder& responder)
{
    m_store->list(std::string(config::historyPrefix), [responder](const store::Result<store::Listing>& result) {
        if (result.has_error()) {
            responder.respond(http::ProblemBuilder(503, "storeUnavailable")
                                  .detail("the history cannot be read")
                                  .executedNo()
                                  .response());
            return;
        }
        QJsonArray entries;
        const auto& listed = result.value().entries;
        for (auto entry = listed.rbegin(); entry != listed.rend() && entries.size() < historyEntries; ++entry)
            entries.append(QJsonDocument::fromJson(QByteArray::fromStdString(entry->value)).object());
        responder.respond(json(200, { { "entries", entries } }));
    });
}

// --- HTTP: apply ---

void ConfigurationService::handleApply(const http::Request& request, const http::Responder& responder)
{
    // The agreement of docs/design.md, Q8, asks exactly the recorded daemons that all others know of.
    if (!m_membership->isKnownToAll()) {
        responder.respond(http::ProblemBuilder(503, "notRecorded")
                              .detail("not every daemon of the data centre knows this daemon yet")
                              .executedNo()
                              .retryAfter(1)
                              .response());
        return;
    }
    auto apply = std::make_shared<Apply>();
    apply->responder = responder;
    apply->deadline = base::monotonicNow() + applyTimeLimit;
    const std::optional<QString> wrongField = readProposal(request.body, apply->proposal);
    if (wrongField) {
        responder.respond(http::ProblemBuilder(400, "invalidField")
                              .field(*wrongField)
                              .detail("missing, of another type, or too long")
                              .executedNo()
                              .response());
        return;
    }
    readForApply(apply);
}

void ConfigurationService::readForApply(const std::shared_ptr<Apply>& apply)
{
    apply->attempts += 1;
    m_store->get(std::string(config::currentKey), [this, apply](const store::Result<store::Entry>& result) {
        if (result.has_value()) {
            const auto current = config::decodeStored(result.value().value);
            if (current.has_error()) {
                finishApply(apply,
                    http::ProblemBuilder(500, "storedValueInvalid")
                        .detail(toQString(config::describe(current.error())))
                        .executedNo()
                        .response());
                return;
            }
            decideApply(apply, current.value(), result.value().version);
            return;
        }
        if (result.error().code == store::Error::Code::NotFound) {
            decideApply(apply, config::Stored(), 0);
            return;
        }
        finishApply(apply,
            http::ProblemBuilder(503, "storeUnavailable")
                .detail("the configuration cannot be read; nothing was changed")
                .executedNo()
                .retryAfter(1)
                .response());
    });
}

void ConfigurationService::decideApply(
    const std::shared_ptr<Apply>& apply, const config::Stored& current, std::uint64_t version)
{
    const config::Decision decision = config::accept(current, apply->proposal, base::wallClockMs());
    if (const auto* conflict = std::get_if<config::Conflict>(&decision)) {
        finishApply(apply, conflictResponse(*conflict));
        return;
    }
    if (const auto* refused = std::get_if<config::Refused>(&decision)) {
        finishApply(apply, refusedResponse(refused->errors));
        return;
    }
    apply->accepted = std::get<config::Accepted>(decision);
    if (apply->accepted.outcome != config::Accepted::Outcome::New) {
        finishApply(apply, acceptedResponse(apply->accepted));
        return;
    }
    apply->before = current;
    writeForApply(apply, version);
}

void ConfigurationService::writeForApply(const std::shared_ptr<Apply>& apply, std::uint64_t version)
{
    const auto encoded = config::encode(apply->accepted.next);
    if (encoded.has_error()) {
        finishApply(apply, refusedResponse({ encoded.error() }));
        return;
    }
    apply->value = encoded.value();
    apply->version = version;
    apply->isUnresolved = false;
    apply->writeOperation = m_runtime.settings.daemon.value + ":" + std::to_string(m_runtime.incarnation)
        + ":config:" + std::to_string(m_nextOperation++);
    m_unresolvedApplies += 1;
    cluster::onApply(m_freshness, true);
    repeatWrite(apply);
}

void ConfigurationService::onApplyWritten(
    const std::shared_ptr<Apply>& apply, const store::Result<store::Version>& result)
{
    const bool isUnknown = result.has_error() && result.error().code == store::Error::Code::Unavailable;
    const bool isConflict = result.has_error() && result.error().code == store::Error::Code::Conflict;
    const bool isOwnWrite = isConflict && result.error().operation == apply->writeOperation;
    if (isUnknown || (apply->isUnresolved && result.has_error() && !isConflict)) {
        apply->isUnresolved = true;
        resolveApply(apply);
        return;
    }
    settleApply();
    if (result.has_value() || isOwnWrite) {
        writeHistory(config::historyEntry(apply->before, apply->accepted.next));
        offer(apply->accepted.next, config::Holder::Source::Store);
        finishApply(apply, acceptedResponse(apply->accepted));
        return;
    }
    // Another change won, or ours did and was replaced since. accept() finds our operation in the recent ones.
    if (isConflict && apply->attempts < applyAttempts) {
        readForApply(apply);
        return;
    }
    finishApply(apply,
        http::ProblemBuilder(503, "storeUnavailable")
            .detail("the change was not written")
            .executedNo()
            .retryAfter(1)
            .response());
}

// Resolves a lost reply. Until the deadline the same write is repeated: the store decides the compare-and-swap once,
// and a refusal that shows our operation is a success. After the deadline the value is only read, so that a change does
// not take effect long after the operator was told that its result is unknown. Assumed: the store does not process a
// request more than storeTimeoutMs after its connection was closed.
void ConfigurationService::resolveApply(const std::shared_ptr<Apply>& apply)
{
    const base::TimePoint now = base::monotonicNow();
    const base::TimePoint settled
        = apply->deadline + 2 * base::milliseconds(m_runtime.settings.platform.storeTimeoutMs);
    if (now < apply->deadline) {
        QTimer::singleShot(
            static_cast<int>(base::toMilliseconds(retryDelay)), &m_timer, [this, apply] { repeatWrite(apply); });
        return;
    }
    if (!apply->responder.isAnswered())
        apply->responder.respond(
            http::ProblemBuilder(503, "resultUnknown")
                .detail("the store did not answer; repeat with the same operation to learn the result")
                .retryAfter(2)
                .response());
    if (now < settled) {
        QTimer::singleShot(
            static_cast<int>(base::toMilliseconds(base::seconds(1))), &m_timer, [this, apply] { resolveApply(apply); });
        return;
    }
    m_store->get(std::string(config::currentKey), [this, apply](const store::Result<store::Entry>& result) {
        const bool isKnown = result.has_value() || result.error().code == store::Error::Code::NotFound;
        if (isKnown) {
            settleApply();
            return;
        }
        QTimer::singleShot(
            static_cast<int>(base::toMilliseconds(base::seconds(1))), &m_timer, [this, apply] { resolveApply(apply); });
    });
}

void ConfigurationService::repeatWrite(const std::shared_ptr<Apply>& apply)
{
    m_store->put(std::string(config::currentKey), apply->value, apply->version, apply->writeOperation,
        [this, apply](const store::Result<store::Version>& result) { onApplyWritten(apply, result); });
}

void ConfigurationService::settleApply()
{
    m_unresolvedApplies -= 1;
    cluster::onApply(m_freshness, m_unresolvedApplies > 0);
}

void ConfigurationService::finishApply(const std::shared_ptr<Apply>& apply, const http::Response& response)
{
    if (!apply->responder.isAnswered())
        apply->responder.respond(response);
    kernel::logEvent(kernel::LogLevel::Info, "configuration", "applyFinished",
        { { "operation", toQString(apply->proposal.operation) }, { "author", toQString(apply->proposal.author) },
            { "status", response.status }, { "revision", static_cast<qint64>(apply->accepted.revision) } });
}

void ConfigurationService::writeHistory(const config::HistoryEntry& entry)
{
    const std::string operation = m_runtime.settings.daemon.value + ":" + std::to_string(m_runtime.incarnation)
        + ":history:" + std::to_string(entry.revision);
    m_store->put(config::historyKey(entry.revision), config::encode(entry), 0, operation,
        [this, entry](const store::Result<store::Version>& result) {
            const bool isDone = result.has_value() || result.error().code == store::Error::Code::Conflict;
            if (isDone)
                return;
            QTimer::singleShot(static_cast<int>(base::toMilliseconds(base::seconds(1))), &m_timer,
                [this, entry] { writeHistory(entry); });
        });
}

// --- Start while the store is unavailable ---

void ConfigurationService::pullFrom(const base::DaemonId& daemon)
{
    m_membership->request(
        daemon, codec::ConfigPull { m_runtime.settings.daemon, m_holder.revision() }, [this](const PeerAnswer& answer) {
            const auto* reply = answer ? std::get_if<codec::ConfigPullReply>(&*answer) : nullptr;
            if (reply != nullptr && reply->configuration)
                offer(toStored(*reply->configuration), config::Holder::Source::Peer);
        });
}

void ConfigurationService::onPeerRevision(const base::DaemonId& daemon, base::Revision revision)
{
    if (revision > m_holder.revision())
        pullFrom(daemon);
}

void registerConfigurationService(Runtime& runtime)
{
    auto service = std::make_shared<std::unique_ptr<ConfigurationService>>();
    kernel::Service entry;
    entry.name = serviceNames::configuration;
    entry.dependsOn = { serviceNames::store, serviceNames::membership };
    entry.start = [&runtime, service] {
        *service = std::make_unique<ConfigurationService>(runtime);
        kernel::publish(runtime.kernel, serviceNames::configuration, service->get());
        (*service)->start();
        return std::string();
    };
    entry.stop = [service] { (*service)->stop(); };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(entry)));
}

} // namespace lacewing::daemon
