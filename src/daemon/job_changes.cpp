// JSON encoding of job state changes. Only ids that need escapes go through Qt's encoder.
#include "daemon/job_changes.h"

#include "base/json.h"

#include <QJsonDocument>
#include <algorithm>

namespace lacewing::daemon {

namespace {

    void appendText(QByteArray& json, const std::string& value)
    {
        const bool isPlain = std::all_of(
            value.begin(), value.end(), [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
        if (isPlain) {
            json.append('"').append(value.data(), static_cast<qsizetype>(value.size())).append('"');
            return;
        }
        const QByteArray array
            = QJsonDocument(QJsonArray { QString::fromStdString(value) }).toJson(QJsonDocument::Compact);
        json.append(array.mid(1, array.size() - 2)); // without the brackets
    }

} // namespace

QByteArray encodeChanges(std::span<const scheduler::JobChange> changes)
{
    QByteArray json = "[";
    for (const scheduler::JobChange& change : changes) {
        if (json.size() > 1)
            json.append(',');
        const std::string_view state = nameOf(scheduler::jobStateNames, change.state);
        json.append('[');
        appendText(json, change.id);
        json.append(",\"").append(state.data(), static_cast<qsizetype>(state.size())).append('"');
        if (!change.account.empty()) {
            json.append(',');
            appendText(json, change.account);
        }
        json.append(']');
    }
    return json.append(']');
}

std::vector<scheduler::JobChange> decodeChanges(const QJsonArray& json)
{
    std::vector<scheduler::JobChange> changes;
    for (const QJsonValue change : json) {
        if (const auto state = base::valueOf(scheduler::jobStateNames, base::textOf(change[1])))
            changes.push_back({ base::textOf(change[0]), *state, base::textOf(change[2]) });
    }
    return changes;
}

} // namespace lacewing::daemon
