// Functions shared by the config commands.
#include "ctl/config_view.h"

#include <QJsonDocument>
#include <ostream>

namespace lacewing::ctl {

namespace {

    QString text(const std::string& value) { return QString::fromStdString(value); }

    QString text(std::string_view value)
    {
        return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
    }

    std::string originText(const config::Change& change)
    {
        const base::Location& location = change.afterOrigin.file.empty() ? change.beforeOrigin : change.afterOrigin;
        return location.file.empty() ? std::string()
                                     : "  (" + location.file + ":" + std::to_string(location.line) + ")";
    }

} // namespace

std::optional<Folder> loadFolder(Context& context, const std::string& path, ExitCode& code)
{
    auto folder = readFolder(path);
    if (folder.has_error()) {
        const bool isMissing = folder.error().code == FolderError::Code::NotFound;
        code = fail(context, isMissing ? ExitCode::NotFound : ExitCode::Failed, folder.error().detail);
        return std::nullopt;
    }
    for (const std::string& name : folder.value().ignored) {
        if (!context.isJson)
            context.environment.err << "lacewingctl: ignored, because the name does not end in .json: "
                                    << printable(name) << "\n";
    }
    return std::move(folder).value();
}

std::optional<config::StoredConfig> fetchCurrent(Context& context, ExitCode& code)
{
    const Answer answer = call(context.client, { "GET", "/v1/config" });
    if (!isSuccess(answer)) {
        code = failCall(context, answer);
        return std::nullopt;
    }
    auto stored = config::decodeStored(QJsonDocument(answer.body).toJson(QJsonDocument::Compact).toStdString());
    if (stored.has_error()) {
        code = fail(context, ExitCode::Failed, answer.daemon + ": " + config::describe(stored.error()));
        return std::nullopt;
    }
    return std::move(stored).value();
}

std::vector<config::HistoryEntry> fetchHistory(Context& context)
{
    std::vector<config::HistoryEntry> entries;
    const Answer answer = call(context.client, { "GET", "/v1/config/history" });
    if (!isSuccess(answer))
        return entries;
    for (const auto& value : answer.body["entries"].toArray()) {
        const QByteArray json = QJsonDocument(value.toObject()).toJson(QJsonDocument::Compact);
        auto entry = config::decodeHistoryEntry(json.toStdString());
        if (entry.has_value())
            entries.push_back(std::move(entry).value());
    }
    return entries;
}

std::vector<std::string> changedFiles(const config::Files& before, const config::Files& after)
{
    std::vector<std::string> names;
    for (const auto& [name, content] : before) {
        const auto entry = after.find(name);
        if (entry == after.end())
            names.push_back("- " + name);
        else if (entry->second != content)
            names.push_back("~ " + name);
    }
    for (const auto& [name, content] : after) {
        if (!before.contains(name))
            names.push_back("+ " + name);
    }
    return names;
}

std::string changesText(const std::vector<config::Change>& changes, bool hasColor)
{
    std::string lines;
    for (const config::Change& change : changes) {
        std::string sign = "~ ";
        std::string values = change.before + " -> " + change.after;
        Color color = Color::Yellow;
        if (change.kind == config::Change::Kind::Added) {
            sign = "+ ";
            values = change.after;
            color = Color::Green;
        } else if (change.kind == config::Change::Kind::Removed) {
            sign = "- ";
            values = change.before;
            color = Color::Red;
        }
        std::string text = sign;
        text.append(change.path).append(" ").append(values);
        lines.append("  ").append(colored(printable(text), color, hasColor));
        lines.append(colored(printable(originText(change)), Color::Dim, hasColor)).append("\n");
    }
    return lines;
}

QJsonObject toJson(const config::ConfigError& error)
{
    return { { "code", text(config::nameOf(error.code)) }, { "file", text(error.file) }, { "line", error.line },
        { "key", text(error.key) }, { "value", text(error.value) }, { "accepted", text(error.accepted) },
        { "detail", text(error.detail) }, { "text", text(config::describe(error)) } };
}

QJsonArray toJson(const config::ConfigErrors& errors)
{
    QJsonArray list;
    for (const config::ConfigError& error : errors)
        list.append(toJson(error));
    return list;
}

QJsonArray toJson(const std::vector<config::Change>& changes)
{
    QJsonArray list;
    for (const config::Change& change : changes) {
        const base::Location& location = change.afterOrigin.file.empty() ? change.beforeOrigin : change.afterOrigin;
        list.append(QJsonObject { { "kind", text(config::nameOf(change.kind)) }, { "path", text(change.path) },
            { "before", text(change.before) }, { "after", text(change.after) }, { "file", text(location.file) },
            { "line", location.line } });
    }
    return list;
}

QJsonObject toJson(const config::HistoryEntry& entry)
{
    return { { "revision", static_cast<qint64>(entry.revision) }, { "author", text(entry.author) },
        { "time", static_cast<qint64>(entry.timeMs) }, { "comment", text(entry.comment) },
        { "operation", text(entry.operation) }, { "changes", toJson(entry.changes) },
        { "totalChanges", static_cast<qint64>(entry.totalChanges) } };
}

QJsonArray toJson(const std::vector<std::string>& texts)
{
    QJsonArray list;
    for (const std::string& value : texts)
        list.append(text(value));
    return list;
}

ExitCode failCheck(Context& context, const config::ConfigErrors& errors)
{
    const std::string detail = std::to_string(errors.size()) + (errors.size() == 1 ? " fault" : " faults");
    if (context.isJson)
        return fail(context, ExitCode::Refused, detail, { { "errors", toJson(errors) } });
    for (const config::ConfigError& error : errors)
        context.environment.err << printable(config::describe(error)) << "\n";
    return fail(context, ExitCode::Refused, "the configuration is refused: " + detail);
}

std::vector<std::string> missingRevision(const QJsonObject& status, base::Revision revision)
{
    std::vector<std::string> missing;
    const auto isBelow = [&](const QJsonValue& value) { return value.toInteger() < static_cast<qint64>(revision); };
    const auto textOf = [](const QJsonObject& object, const char* key) { return object[key].toString().toStdString(); };
    const auto revisionText
        = [](const QJsonValue& value) { return " (revision " + std::to_string(value.toInteger()) + ")"; };
    if (isBelow(status["revision"]))
        missing.push_back(textOf(status, "daemon") + revisionText(status["revision"]));
    for (const auto& value : status["members"].toArray()) {
        const QJsonObject member = value.toObject();
        const std::string state = textOf(member, "state");
        const bool isLeavingOrStopped = state == "leaving" || state == "stopped";
        if (!isLeavingOrStopped && member["name"] != status["daemon"] && isBelow(member["revision"]))
            missing.push_back(textOf(member, "name") + revisionText(member["revision"]));
    }
    for (const auto& value : status["dataCentres"].toArray()) {
        const QJsonObject dataCentre = value.toObject();
        if (dataCentre["name"] == status["dataCentre"])
            continue;
        if (!dataCentre["reachable"].toBool())
            missing.push_back("data centre " + textOf(dataCentre, "name") + " (unreachable)");
        else if (isBelow(dataCentre["lowestRevision"]))
            missing.push_back("data centre " + textOf(dataCentre, "name") + revisionText(dataCentre["lowestRevision"]));
    }
    return missing;
}

} // namespace lacewing::ctl
