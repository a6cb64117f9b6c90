// JSON encoding of job state changes. Only ids that need escapes go through Qt's encoder.
#include "daemon/job_changes.h"

#include <QJsonArray>
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
        json.append(",\"").append(state.data(), static_cast<qsizetype>(state.size())).append("\"]");
    }
    return json.append(']');
}

} // namespace lacewing::daemon
