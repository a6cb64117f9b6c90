// Conversion between the merged configuration and the typed policy, and the checks across its sections.
#include "config/policy.h"

#include <QJsonArray>
#include <algorithm>

namespace lacewing::config {

namespace {

    base::Duration millisecondsOf(const QJsonObject& object, const char* key)
    {
        return base::milliseconds(object[key].toInteger());
    }

    template <typename Enum, std::size_t count>
    Enum choiceOf(const base::EnumNames<Enum, count>& names, const QJsonValue& value)
    {
        // The schema has already checked the name. The fallback to the first entry is used only if schema and table
        // disagree, which a test checks.
        return base::valueOf(names, value.toString().toStdString()).value_or(names[0].first);
    }

    template <typename T> std::vector<T> listOf(const QJsonValue& value)
    {
        std::vector<T> entries;
        for (const auto& entry : value.toArray())
            entries.push_back(T { entry.toString().toStdString() });
        return entries;
    }

    ServicePolicy serviceOf(const QJsonObject& object)
    {
        ServicePolicy service;
        service.idempotency = choiceOf(idempotencyNames, object["idempotency"]);
        service.deadline = millisecondsOf(object, "deadlineMs");
        service.maxDeadline = millisecondsOf(object, "maxDeadlineMs");
        service.urgentQueueLength = object["urgentQueueLength"].toInt();
        service.slowQueueLength = object["slowQueueLength"].toInt();
        service.bodyBytes = object["bodyBytes"].toInteger();
        const QJsonObject objectives = object["objectives"].toObject();
        service.objectives.latencyThreshold = millisecondsOf(objectives, "latencyThresholdMs");
        service.objectives.latencyTarget = objectives["latencyTarget"].toDouble();
        service.objectives.availabilityTarget = objectives["availabilityTarget"].toDouble();
        const QJsonObject endpoints = object["endpoints"].toObject();
        service.endpoints.idPrefix = endpoints["idPrefix"].toString().toStdString();
        service.endpoints.ids = listOf<std::string>(endpoints["ids"]);
        service.endpoints.dataCentres = listOf<base::DataCentreId>(endpoints["dataCentres"]);
        return service;
    }

    TeamPolicy teamOf(const QJsonObject& object)
    {
        const QJsonObject quota = object["quota"].toObject();
        TeamPolicy team;
        team.cpuMilli = quota["cpuMilli"].toInteger();
        team.memoryMb = quota["memoryMb"].toInteger();
        team.accelerators = quota["accelerators"].toInteger();
        team.waitingJobs = quota["waitingJobs"].toInt();
        team.share = object["share"].toDouble();
        return team;
    }

    RoutingPolicy routingOf(const QJsonObject& object)
    {
        const QJsonObject ejection = object["ejection"].toObject();
        RoutingPolicy routing;
        routing.policy = choiceOf(routingPolicyNames, object["policy"]);
        routing.samples = object["samples"].toInt();
        routing.consecutiveFailures = ejection["consecutiveFailures"].toInt();
        routing.latencyFactor = ejection["latencyFactor"].toDouble();
        routing.ejection = millisecondsOf(ejection, "durationMs");
        routing.maxEjection = millisecondsOf(ejection, "maxDurationMs");
        routing.maxEjectedShare = ejection["maxShare"].toDouble();
        routing.panicShare = ejection["panicShare"].toDouble();
        routing.slowStart = millisecondsOf(object, "slowStartMs");
        routing.retryBudget = object["retryBudget"].toDouble();
        routing.hedgeBudget = object["hedgeBudget"].toDouble();
        return routing;
    }

    BatchPolicy batchOf(const QJsonObject& object)
    {
        BatchPolicy batch;
        batch.pressureEnter = object["pressureEnter"].toDouble();
        batch.pressureLeave = object["pressureLeave"].toDouble();
        batch.pressureHold = millisecondsOf(object, "pressureHoldMs");
        batch.urgentHeadroom = object["urgentHeadroom"].toDouble();
        batch.evictionsPerMinute = object["evictionsPerMinute"].toInt();
        batch.minimumRun = millisecondsOf(object, "minimumRunMs");
        batch.checkpointInterval = millisecondsOf(object, "checkpointIntervalMs");
        batch.quarantineJobs = object["quarantineJobs"].toInt();
        batch.quarantine = millisecondsOf(object, "quarantineMs");
        batch.failedWorkers = object["failedWorkers"].toInt();
        batch.attempts = object["attempts"].toInt();
        return batch;
    }

    // Restricted, because names are used in URLs, store keys and metrics.
    bool isName(const std::string& name)
    {
        const auto isAllowed = [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-'
                || c == '.';
        };
        const bool startsWithPunctuation = !name.empty() && (name[0] == '.' || name[0] == '-');
        return !name.empty() && name.size() <= 64 && !startsWithPunctuation
            && std::all_of(name.begin(), name.end(), isAllowed);
    }

    struct Check {
        const QJsonObject& merged;
        const base::Locator& locate;
        ConfigErrors errors;
    };

    void report(Check& check, ConfigError::Code code, const std::string& path, std::string value, std::string accepted,
        std::string detail)
    {
        const base::Location location = check.locate ? check.locate(path) : base::Location();
        check.errors.push_back(
            { code, location.file, location.line, path, std::move(value), std::move(accepted), std::move(detail) });
    }

    void checkNames(Check& check, const char* section)
    {
        const QJsonObject entries = check.merged[section].toObject();
        for (auto entry = entries.begin(); entry != entries.end(); ++entry) {
            const std::string name = entry.key().toStdString();
            if (!isName(name)) {
                report(check, ConfigError::Code::BadValue, base::childPath(section, name), {},
                    "1..64 letters, digits, '_', '-', '.', first not '-' or '.'", "name is not accepted");
            }
        }
    }

    // Reports services that select a data centre missing from `dataCentres`: one of the two names is misspelt.
    void checkDataCentresOfServices(Check& check)
    {
        const QJsonObject dataCentres = check.merged["dataCentres"].toObject();
        if (dataCentres.isEmpty())
            return;
        const QJsonObject services = check.merged["services"].toObject();
        for (auto entry = services.begin(); entry != services.end(); ++entry) {
            const std::string path
                = base::childPath(base::childPath("services", entry.key().toStdString()), "endpoints");
            const QJsonArray selected = entry.value().toObject()["endpoints"].toObject()["dataCentres"].toArray();
            for (qsizetype index = 0; index < selected.size(); ++index) {
                if (!selected.at(index).isString() || dataCentres.contains(selected.at(index).toString()))
                    continue;
                report(check, ConfigError::Code::Contradiction,
                    base::elementPath(base::childPath(path, "dataCentres"), static_cast<std::size_t>(index)),
                    base::jsonText(selected.at(index)), {}, "data centre is not listed in dataCentres");
            }
        }
    }

    Policy policyOf(const QJsonObject& complete)
    {
        Policy policy;
        const QJsonObject dataCentres = complete["dataCentres"].toObject();
        for (auto entry = dataCentres.begin(); entry != dataCentres.end(); ++entry) {
            const QJsonObject value = entry.value().toObject();
            policy.dataCentres[{ entry.key().toStdString() }]
                = { choiceOf(dataCentreStateNames, value["state"]), value["weight"].toDouble() };
        }
        const QJsonObject services = complete["services"].toObject();
        for (auto entry = services.begin(); entry != services.end(); ++entry)
            policy.services[{ entry.key().toStdString() }] = serviceOf(entry.value().toObject());
        const QJsonObject teams = complete["teams"].toObject();
        for (auto entry = teams.begin(); entry != teams.end(); ++entry)
            policy.teams[{ entry.key().toStdString() }] = teamOf(entry.value().toObject());
        policy.routing = routingOf(complete["routing"].toObject());
        policy.batch = batchOf(complete["batch"].toObject());
        return policy;
    }

    template <typename Key, typename Value> Value entryOrDefault(const std::map<Key, Value>& entries, const Key& key)
    {
        const auto entry = entries.find(key);
        return entry == entries.end() ? Value() : entry->second;
    }

    template <typename Enum, std::size_t count> QString nameText(const base::EnumNames<Enum, count>& names, Enum value)
    {
        const std::string_view name = base::nameOf(names, value);
        return QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size()));
    }

    qint64 toMs(base::Duration duration) { return base::toMilliseconds(duration); }

    QJsonObject toJson(const ServicePolicy& service)
    {
        QJsonArray ids;
        for (const std::string& id : service.endpoints.ids)
            ids.append(QString::fromStdString(id));
        QJsonArray dataCentres;
        for (const base::DataCentreId& id : service.endpoints.dataCentres)
            dataCentres.append(QString::fromStdString(id.value));
        return {
            { "idempotency", nameText(idempotencyNames, service.idempotency) },
            { "deadlineMs", toMs(service.deadline) },
            { "maxDeadlineMs", toMs(service.maxDeadline) },
            { "urgentQueueLength", service.urgentQueueLength },
            { "slowQueueLength", service.slowQueueLength },
            { "bodyBytes", static_cast<qint64>(service.bodyBytes) },
            { "objectives",
                QJsonObject {
                    { "latencyThresholdMs", toMs(service.objectives.latencyThreshold) },
                    { "latencyTarget", service.objectives.latencyTarget },
                    { "availabilityTarget", service.objectives.availabilityTarget },
                } },
            { "endpoints",
                QJsonObject {
                    { "idPrefix", QString::fromStdString(service.endpoints.idPrefix) },
                    { "ids", ids },
                    { "dataCentres", dataCentres },
                } },
        };
    }

    QJsonObject toJson(const TeamPolicy& team)
    {
        return {
            { "quota",
                QJsonObject {
                    { "cpuMilli", static_cast<qint64>(team.cpuMilli) },
                    { "memoryMb", static_cast<qint64>(team.memoryMb) },
                    { "accelerators", static_cast<qint64>(team.accelerators) },
                    { "waitingJobs", team.waitingJobs },
                } },
            { "share", team.share },
        };
    }

    QJsonObject toJson(const RoutingPolicy& routing)
    {
        return {
            { "policy", nameText(routingPolicyNames, routing.policy) },
            { "samples", routing.samples },
            { "slowStartMs", toMs(routing.slowStart) },
            { "retryBudget", routing.retryBudget },
            { "hedgeBudget", routing.hedgeBudget },
            { "ejection",
                QJsonObject {
                    { "consecutiveFailures", routing.consecutiveFailures },
                    { "latencyFactor", routing.latencyFactor },
                    { "durationMs", toMs(routing.ejection) },
                    { "maxDurationMs", toMs(routing.maxEjection) },
                    { "maxShare", routing.maxEjectedShare },
                    { "panicShare", routing.panicShare },
                } },
        };
    }

    QJsonObject toJson(const BatchPolicy& batch)
    {
        return {
            { "pressureEnter", batch.pressureEnter },
            { "pressureLeave", batch.pressureLeave },
            { "pressureHoldMs", toMs(batch.pressureHold) },
            { "urgentHeadroom", batch.urgentHeadroom },
            { "evictionsPerMinute", batch.evictionsPerMinute },
            { "minimumRunMs", toMs(batch.minimumRun) },
            { "checkpointIntervalMs", toMs(batch.checkpointInterval) },
            { "quarantineJobs", batch.quarantineJobs },
            { "quarantineMs", toMs(batch.quarantine) },
            { "failedWorkers", batch.failedWorkers },
            { "attempts", batch.attempts },
        };
    }

} // namespace

base::Result<Policy, ConfigErrors> parsePolicy(
    const QJsonObject& merged, const base::Locator& locate, UnknownKeys unknownKeys)
{
    Check check { merged, locate, toConfigErrors(base::checkSchema(merged, policySchema(), locate)) };
    if (unknownKeys == UnknownKeys::Ignore)
        std::erase_if(
            check.errors, [](const ConfigError& error) { return error.code == ConfigError::Code::UnknownKey; });
    for (const char* section : { "dataCentres", "services", "teams" })
        checkNames(check, section);
    checkDataCentresOfServices(check);
    if (!check.errors.empty())
        return std::move(check.errors);
    return policyOf(base::withDefaults(merged, policySchema()));
}

base::Result<Policy, ConfigErrors> parseFiles(const Files& files, UnknownKeys unknownKeys)
{
    const auto merged = mergeFiles(files);
    if (merged.has_error())
        return merged.error();
    return parsePolicy(merged.value().object, locatorFor(merged.value()), unknownKeys);
}

std::vector<std::string> warnings(const Policy& policy)
{
    std::vector<std::string> texts;
    const auto isEntryOut = [](const auto& entry) { return entry.second.state == DataCentreState::Out; };
    if (!policy.dataCentres.empty() && std::all_of(policy.dataCentres.begin(), policy.dataCentres.end(), isEntryOut)) {
        texts.emplace_back("every listed data centre is out: no task starts there");
    }
    for (const auto& [id, service] : policy.services) {
        const auto& selected = service.endpoints.dataCentres;
        const auto isIdOut = [&](const base::DataCentreId& dataCentre) { return isOut(policy, dataCentre); };
        if (!selected.empty() && std::all_of(selected.begin(), selected.end(), isIdOut))
            texts.push_back("service " + id.value + ": every data centre that it selects is out");
    }
    return texts;
}

DataCentrePolicy dataCentrePolicy(const Policy& policy, const base::DataCentreId& id)
{
    return entryOrDefault(policy.dataCentres, id);
}

ServicePolicy servicePolicy(const Policy& policy, const base::ServiceId& id)
{
    return entryOrDefault(policy.services, id);
}

TeamPolicy teamPolicy(const Policy& policy, const base::TeamId& id) { return entryOrDefault(policy.teams, id); }

bool isOut(const Policy& policy, const base::DataCentreId& id)
{
    return dataCentrePolicy(policy, id).state == DataCentreState::Out;
}

bool selects(const EndpointSelector& selector, const base::EndpointId& endpoint, const base::DataCentreId& dataCentre)
{
    const auto contains = [](const auto& entries, const auto& value) {
        return entries.empty() || std::find(entries.begin(), entries.end(), value) != entries.end();
    };
    return endpoint.value.starts_with(selector.idPrefix) && contains(selector.ids, endpoint.value)
        && contains(selector.dataCentres, dataCentre);
}

PolicyBuilder& PolicyBuilder::dataCentre(std::string name, DataCentreState state, double weight)
{
    m_policy.dataCentres[{ std::move(name) }] = { state, weight };
    return *this;
}

PolicyBuilder& PolicyBuilder::service(std::string name, ServicePolicy service)
{
    m_policy.services[{ std::move(name) }] = std::move(service);
    return *this;
}

PolicyBuilder& PolicyBuilder::team(std::string name, TeamPolicy team)
{
    m_policy.teams[{ std::move(name) }] = team;
    return *this;
}

PolicyBuilder& PolicyBuilder::routing(RoutingPolicy routing)
{
    m_policy.routing = routing;
    return *this;
}

PolicyBuilder& PolicyBuilder::batch(BatchPolicy batch)
{
    m_policy.batch = batch;
    return *this;
}

base::Result<Policy, ConfigErrors> PolicyBuilder::build() const { return parsePolicy(toJson(m_policy)); }

QJsonObject toJson(const Policy& policy)
{
    QJsonObject dataCentres;
    for (const auto& [id, dataCentre] : policy.dataCentres) {
        dataCentres.insert(QString::fromStdString(id.value),
            QJsonObject {
                { "state", nameText(dataCentreStateNames, dataCentre.state) }, { "weight", dataCentre.weight } });
    }
    QJsonObject services;
    for (const auto& [id, service] : policy.services)
        services.insert(QString::fromStdString(id.value), toJson(service));
    QJsonObject teams;
    for (const auto& [id, team] : policy.teams)
        teams.insert(QString::fromStdString(id.value), toJson(team));
    return { { "dataCentres", dataCentres }, { "services", services }, { "teams", teams },
        { "routing", toJson(policy.routing) }, { "batch", toJson(policy.batch) } };
}

} // namespace lacewing::config
