// Reads, watches and changes the policy in the store.
#include "daemon/policy_service.h"

#include "base/json.h"
#include "daemon/configuration_service.h"
#include "http/problem.h"
#include "kernel/log.h"

#include <QJsonArray>
#include <QJsonDocument>

namespace lacewing::daemon {

namespace {

    constexpr int retryMs = 500;          // ms after a failed call
    constexpr int maxApplyAttempts = 3;   // a proposal is checked again after each concurrent change
    constexpr int maxHistoryEntries = 50; // newest entries of the history in one response

    http::Response storeFailure(const platform::StoreError& error)
    {
        const bool isUnknown = error.code == platform::StoreCode::Unknown;
        http::ProblemBuilder problem(503, "storeUnavailable");
        problem.detail(QString::fromStdString("the store does not answer: " + error.detail));
        return isUnknown ? problem.response() : problem.executedNo().response();
    }

    http::Response refusal(const config::ConfigErrors& errors)
    {
        QJsonArray list;
        for (const config::ConfigError& error : errors)
            list.append(QJsonObject { { "text", QString::fromStdString(config::describe(error)) } });
        const QJsonObject body { { "status", 422 }, { "code", "invalidConfiguration" }, { "executed", "no" },
            { "detail", "the files form no valid configuration" }, { "errors", list } };
        return http::jsonResponse(422, QJsonDocument(body).toJson(QJsonDocument::Compact));
    }

    http::Response conflict(const config::Conflict& found)
    {
        const QJsonObject body { { "status", 409 }, { "code", "conflict" }, { "executed", "no" },
            { "detail", QString::fromStdString(config::describe(found)) },
            { "currentRevision", static_cast<qint64>(found.current) } };
        return http::jsonResponse(409, QJsonDocument(body).toJson(QJsonDocument::Compact));
    }

    http::Response success(const config::Accepted& accepted)
    {
        const std::string_view outcome = config::nameOf(accepted.outcome);
        const QJsonObject body { { "revision", static_cast<qint64>(accepted.revision) },
            { "outcome", QString::fromUtf8(outcome.data(), static_cast<qsizetype>(outcome.size())) } };
        return http::jsonResponse(200, QJsonDocument(body).toJson(QJsonDocument::Compact));
    }

    std::optional<config::Proposal> decodeProposal(const QByteArray& bytes)
    {
        const std::optional<QJsonObject> json = base::parseObject(bytes);
        if (!json || !(*json)["files"].isObject() || !(*json)["expectRevision"].isDouble())
            return std::nullopt;
        config::Proposal proposal;
        proposal.expectRevision = static_cast<base::Revision>((*json)["expectRevision"].toInteger());
        proposal.author = base::textOf((*json)["author"]);
        proposal.comment = base::textOf((*json)["comment"]);
        proposal.operation = base::textOf((*json)["operation"]);
        const QJsonObject files = (*json)["files"].toObject();
        for (auto entry = files.begin(); entry != files.end(); ++entry)
            proposal.files[entry.key().toStdString()] = base::textOf(entry.value());
        return proposal;
    }

    // The stored policy; an empty one when the store has none. The error says why the value does not decode.
    base::Result<config::StoredConfig, config::ConfigError> decodeStoredItem(const platform::Item& item)
    {
        if (item.revision == 0)
            return config::StoredConfig {};
        return config::decodeStored(item.value.toStdString());
    }

} // namespace

PolicyService::PolicyService(Runtime& runtime)
    : m_runtime(runtime)
{
}

void PolicyService::start()
{
    m_configuration = kernel::find<ConfigurationService>(m_runtime.kernel, serviceNames::configuration);
    m_runtime.latencyObjective = [this](const std::string& service) { return latencyObjective(service); };
    read();
}

void PolicyService::observePeerRevision(base::Revision revision)
{
    if (revision > m_holder.revision() && !m_isReading)
        read();
}

void PolicyService::setWatchEnabled(bool isEnabled)
{
    if (isEnabled == (m_watch != nullptr))
        return;
    m_watch.reset();
    if (!isEnabled)
        return;
    m_watch = std::make_unique<StoreWatch>(m_runtime, "policy", storeKeys::policy,
        watchTimesWithin(m_runtime.settings.bounds.configurationMs), [this](const StoreWatch::Changes& changes) {
            for (const platform::Item& item : changes.items)
                adopt(item);
        });
    m_watch->start();
}

void PolicyService::read()
{
    m_isReading = true;
    m_runtime.store->list(storeKeys::policy, platform::Freshness::Linearizable,
        [this](const base::Result<platform::ItemList, platform::StoreError>& result) {
            m_isReading = false;
            if (result.has_error()) {
                QTimer::singleShot(retryMs, this, [this] {
                    if (!m_isReading)
                        read();
                });
                return;
            }
            for (const platform::Item& item : result.value().items)
                adopt(item);
        });
}

void PolicyService::adopt(const platform::Item& item)
{
    if (item.key != storeKeys::policy || item.isDeleted)
        return;
    const auto stored = config::decodeStored(item.value.toStdString());
    if (stored.has_error()) {
        kernel::logEvent(kernel::LogLevel::Error, "policy", "policyRefused",
            { { "revision", item.revision }, { "detail", config::describe(stored.error()) } });
        return;
    }
    const config::ActiveConfig::Outcome outcome = m_holder.offer(stored.value(), config::ActiveConfig::Source::Store);
    if (outcome == config::ActiveConfig::Outcome::Same || outcome == config::ActiveConfig::Outcome::Older)
        return;
    kernel::logEvent(
        outcome == config::ActiveConfig::Outcome::Invalid ? kernel::LogLevel::Error : kernel::LogLevel::Notice,
        "policy", "policyInForce",
        { { "policyRevision", static_cast<std::int64_t>(stored.value().revision) }, { "author", stored.value().author },
            { "outcome", std::string(config::nameOf(outcome)) } });
    if (!m_holder.isReady())
        return;
    std::set<std::string> out;
    for (const auto& [id, dataCentre] : m_holder.policy()->dataCentres) {
        if (dataCentre.state == config::DataCentreState::Out)
            out.insert(id.value);
    }
    m_configuration->setWithdrawnByPolicy(std::move(out));
}

config::ServiceObjectives PolicyService::objectivesOf(const std::string& service) const
{
    if (!m_holder.isReady())
        return {};
    const auto found = m_holder.policy()->services.find(base::ServiceId { service });
    return found == m_holder.policy()->services.end() ? config::ServiceObjectives {} : found->second.objectives;
}

std::optional<base::Duration> PolicyService::latencyObjective(const std::string& service) const
{
    return objectivesOf(service).latencyThreshold;
}

std::vector<base::Objective> PolicyService::objectives() const
{
    std::vector<base::Objective> list;
    if (!m_configuration->isLoaded())
        return list;
    for (const auto& [name, service] : m_configuration->current().services) {
        const config::ServiceObjectives objectives = objectivesOf(name);
        list.push_back({ name, base::ObjectiveKind::Availability, objectives.availabilityTarget, {} });
        list.push_back({ name, base::ObjectiveKind::Latency, objectives.latencyTarget, objectives.latencyThreshold });
    }
    return list;
}

// --- Operators' interface ---

http::Response PolicyService::show() const
{
    const auto text = config::encode(m_holder.stored());
    if (text.has_error())
        return http::ProblemBuilder(500, "unreadable")
            .detail(QString::fromStdString(config::describe(text.error())))
            .executedNo()
            .response();
    return http::jsonResponse(200, QByteArray::fromStdString(text.value()));
}

void PolicyService::showHistory(const http::Responder& responder) const
{
    m_runtime.store->list(storeKeys::policyHistory, platform::Freshness::Linearizable,
        [responder](const base::Result<platform::ItemList, platform::StoreError>& result) {
            if (result.has_error()) {
                responder.respond(storeFailure(result.error()));
                return;
            }
            QJsonArray entries; // newest first
            const std::vector<platform::Item>& items = result.value().items;
            for (auto item = items.rbegin(); item != items.rend() && entries.size() < maxHistoryEntries; ++item) {
                const QJsonDocument entry = QJsonDocument::fromJson(item->value);
                if (entry.isObject())
                    entries.append(entry.object());
            }
            const QJsonObject body { { "entries", entries } };
            responder.respond(http::jsonResponse(200, QJsonDocument(body).toJson(QJsonDocument::Compact)));
        });
}

void PolicyService::apply(const QByteArray& body, const http::Responder& responder)
{
    const std::optional<config::Proposal> proposal = decodeProposal(body);
    if (!proposal) {
        responder.respond(http::ProblemBuilder(400, "invalidField")
                              .detail("files or expectRevision is missing or has another type")
                              .executedNo()
                              .response());
        return;
    }
    propose(*proposal, responder, 1);
}

void PolicyService::propose(const config::Proposal& proposal, const http::Responder& responder, int attempt)
{
    m_runtime.store->read(storeKeys::policy,
        [this, proposal, responder, attempt](const base::Result<platform::Item, platform::StoreError>& result) {
            if (result.has_error() && result.error().code != platform::StoreCode::Missing) {
                responder.respond(storeFailure(result.error()));
                return;
            }
            const platform::Item base = result.has_value() ? result.value() : platform::Item {};
            const auto stored = decodeStoredItem(base);
            if (stored.has_error()) {
                responder.respond(http::ProblemBuilder(500, "unreadable")
                                      .detail(QString::fromStdString(config::describe(stored.error())))
                                      .executedNo()
                                      .response());
                return;
            }
            const config::Decision decision = config::decide(stored.value(), proposal, base::wallClockMs());
            if (const auto* found = std::get_if<config::Conflict>(&decision))
                responder.respond(conflict(*found));
            else if (const auto* refused = std::get_if<config::Refused>(&decision))
                responder.respond(refusal(refused->errors));
            else
                write(std::get<config::Accepted>(decision), base, proposal, responder, attempt);
        });
}

void PolicyService::write(const config::Accepted& accepted, const platform::Item& base,
    const config::Proposal& proposal, const http::Responder& responder, int attempt)
{
    if (accepted.outcome != config::Accepted::Outcome::New) {
        responder.respond(success(accepted));
        return;
    }
    const auto text = config::encode(accepted.next);
    const auto before = decodeStoredItem(base);
    if (text.has_error() || before.has_error()) {
        responder.respond(refusal({ text.has_error() ? text.error() : before.error() }));
        return;
    }
    const std::string entry = config::encode(config::historyEntry(before.value(), accepted.next));
    platform::Transaction transaction;
    transaction.conditions.push_back({ storeKeys::policy, base.revision });
    transaction.writes.push_back({ storeKeys::policy, QByteArray::fromStdString(text.value()) });
    transaction.writes.push_back(
        { storeKeys::root + config::historyKey(accepted.revision), QByteArray::fromStdString(entry) });
    m_runtime.store->commit(transaction,
        [this, accepted, proposal, responder, attempt](const base::Result<std::int64_t, platform::StoreError>& result) {
            kernel::logEvent(kernel::LogLevel::Info, "policy", "apply",
                { { "operation", proposal.operation }, { "author", proposal.author },
                    { "expectRevision", static_cast<std::int64_t>(proposal.expectRevision) },
                    { "outcome", result.has_value() ? "stored" : result.error().detail } });
            if (result.has_value()) {
                read();
                responder.respond(success(accepted));
            } else if (result.error().code == platform::StoreCode::Conflict && attempt < maxApplyAttempts) {
                // accept() recognises the operation when an earlier, unanswered write has stored it.
                propose(proposal, responder, attempt + 1);
            } else {
                responder.respond(storeFailure(result.error()));
            }
        });
}

void registerPolicyService(Runtime& runtime)
{
    auto service = std::make_shared<PolicyService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::policy;
    entry.dependsOn = { serviceNames::configuration };
    entry.start = [&runtime, service] {
        kernel::publish(runtime.kernel, serviceNames::policy, service.get());
        service->start();
        return std::string();
    };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
