// Evaluation and JSON of the lease table.
#include "scheduler/lease_table.h"

#include "base/json.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>

namespace lacewing::scheduler {

bool isOfKnownTerm(const LeaseTable& table, const TermHistory& history)
{
    return std::any_of(history.terms.begin(), history.terms.end(),
        [&](const base::TermStart& term) { return term.token == table.token; });
}

std::optional<Millis> lastRenewalClock(const LeaseTable& table, const TermHistory& history, const std::string& worker)
{
    if (const auto released = table.released.find(worker); released != table.released.end())
        return released->second;
    const auto granted = table.granted.find(worker);
    if (granted == table.granted.end())
        return std::nullopt;
    // A term renews no lease after the next one has begun.
    const auto next = std::find_if(history.terms.begin(), history.terms.end(),
        [&](const base::TermStart& term) { return term.token > granted->second; });
    return next != history.terms.end() ? std::min(next->formerEndMs, history.clockMs) : history.clockMs;
}

QByteArray encodeLeaseTable(const LeaseTable& table)
{
    std::map<std::int64_t, QJsonArray> byTerm;
    for (const auto& [worker, token] : table.granted)
        byTerm[token].append(QString::fromStdString(worker));
    QJsonObject granted;
    for (const auto& [token, workers] : byTerm)
        granted[QString::number(token)] = workers;
    QJsonObject released;
    for (const auto& [worker, clockMs] : table.released)
        released[QString::fromStdString(worker)] = static_cast<qint64>(clockMs);
    QJsonObject json { { "token", static_cast<qint64>(table.token) }, { "granted", granted }, { "released", released },
        { "runsRecordedSince", static_cast<qint64>(table.runsRecordedSince) } };
    QJsonArray longest;
    for (const std::string& worker : table.longest)
        longest.append(QString::fromStdString(worker));
    if (!longest.isEmpty())
        json["longest"] = longest;
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<LeaseTable> decodeLeaseTable(const QByteArray& bytes)
{
    const std::optional<QJsonObject> json = base::parseObject(bytes);
    if (!json || !(*json)["token"].isDouble() || !(*json)["granted"].isObject() || !(*json)["released"].isObject())
        return std::nullopt;
    LeaseTable table;
    table.token = (*json)["token"].toInteger();
    const QJsonObject granted = (*json)["granted"].toObject();
    for (auto term = granted.begin(); term != granted.end(); ++term) {
        bool isNumber = false;
        const std::int64_t token = term.key().toLongLong(&isNumber);
        if (!isNumber || !term.value().isArray())
            return std::nullopt;
        for (const QJsonValue worker : term.value().toArray())
            table.granted[base::textOf(worker)] = token;
    }
    const QJsonObject released = (*json)["released"].toObject();
    for (auto worker = released.begin(); worker != released.end(); ++worker) {
        if (!worker.value().isDouble())
            return std::nullopt;
        table.released[worker.key().toStdString()] = worker.value().toInteger();
    }
    table.runsRecordedSince = (*json)["runsRecordedSince"].toInteger();
    if (!(*json)["longest"].isUndefined() && !(*json)["longest"].isArray())
        return std::nullopt;
    for (const QJsonValue worker : (*json)["longest"].toArray()) {
        if (!worker.isString())
            return std::nullopt;
        table.longest.insert(base::textOf(worker));
    }
    return table;
}

} // namespace lacewing::scheduler
