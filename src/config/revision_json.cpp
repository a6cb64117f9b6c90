// JSON form of the stored configuration and of history entries.
#include "config/revision.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <cstdio>

namespace lacewing::config {

namespace {

    constexpr std::size_t maximumHistoryChanges = 200;

    QString toQString(const std::string& value) { return QString::fromStdString(value); }

    std::string textOf(const QJsonValue& value) { return value.toString().toStdString(); }

    // Hashes are written as text, because a JSON number cannot hold every 64-bit value.
    QString hexText(std::uint64_t value)
    {
        char buffer[17];
        std::snprintf(buffer, sizeof buffer, "%016llx", static_cast<unsigned long long>(value));
        return QString::fromLatin1(buffer);
    }

    std::string compact(const QJsonObject& object)
    {
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }

    ConfigError badStored(std::string key, std::string detail)
    {
        return { ConfigError::Code::BadStored, {}, 0, std::move(key), {}, {}, std::move(detail) };
    }

    base::Result<QJsonObject, ConfigError> objectOf(std::string_view json)
    {
        const base::JsonLimits limits { 1'000'000, 8 };
        const auto parsed = base::parseJsonObject(json, {}, limits);
        if (parsed.has_error())
            return badStored({}, base::describe(parsed.error().front()));
        return parsed.value().object;
    }

    // True for a whole number from 0 to 2^53, the range that QJsonValue represents exactly.
    bool isExactWholeNumber(const QJsonValue& value)
    {
        const double number = value.toDouble(-1);
        return number >= 0 && number <= 9007199254740992.0 && number == static_cast<double>(value.toInteger(-1));
    }

    base::Result<void, ConfigError> checkRequiredFields(const QJsonObject& object)
    {
        for (const char* key : { "revision", "time" }) {
            if (!isExactWholeNumber(object[key]))
                return badStored(key, "not a whole number");
        }
        for (const char* key : { "author", "comment", "operation" }) {
            if (!object[key].isString())
                return badStored(key, "not a string");
        }
        return base::success();
    }

    QJsonObject toJson(const base::Location& location)
    {
        return { { "file", toQString(location.file) }, { "line", location.line } };
    }

    base::Location locationOf(const QJsonValue& value) { return { textOf(value["file"]), value["line"].toInt() }; }

    Change::Kind kindOf(const QJsonValue& value)
    {
        for (const Change::Kind kind : { Change::Kind::Added, Change::Kind::Removed }) {
            if (textOf(value) == nameOf(kind))
                return kind;
        }
        return Change::Kind::Changed;
    }

} // namespace

base::Result<std::string, ConfigError> encode(const StoredConfig& stored)
{
    QJsonObject files;
    for (const auto& [name, content] : stored.files)
        files.insert(toQString(name), toQString(content));
    QJsonArray recent;
    for (const RecentOperation& operation : stored.recent) {
        recent.append(QJsonObject { { "operation", toQString(operation.operation) },
            { "revision", static_cast<qint64>(operation.revision) }, { "files", hexText(operation.filesHash) } });
    }
    std::string encoded = compact({
        { "revision", static_cast<qint64>(stored.revision) },
        { "author", toQString(stored.author) },
        { "time", static_cast<qint64>(stored.timeMs) },
        { "comment", toQString(stored.comment) },
        { "operation", toQString(stored.operation) },
        { "files", files },
        { "recent", recent },
    });
    if (encoded.size() > maximumStoredBytes) {
        return ConfigError { ConfigError::Code::TooLarge, {}, 0, {}, std::to_string(encoded.size()),
            "at most " + std::to_string(maximumStoredBytes) + " bytes", "the stored value would be too large" };
    }
    return encoded;
}

base::Result<StoredConfig, ConfigError> decodeStored(std::string_view json)
{
    const auto parsed = objectOf(json);
    if (parsed.has_error())
        return parsed.error();
    const QJsonObject& object = parsed.value();
    const auto requiredFields = checkRequiredFields(object);
    if (requiredFields.has_error())
        return requiredFields.error();
    if (!object["files"].isObject())
        return badStored("files", "not an object");
    StoredConfig stored;
    stored.revision = static_cast<base::Revision>(object["revision"].toInteger());
    stored.author = textOf(object["author"]);
    stored.timeMs = object["time"].toInteger();
    stored.comment = textOf(object["comment"]);
    stored.operation = textOf(object["operation"]);
    const QJsonObject files = object["files"].toObject();
    for (auto entry = files.begin(); entry != files.end(); ++entry) {
        if (!entry.value().isString())
            return badStored(base::childPath("files", entry.key().toStdString()), "not a string");
        stored.files[entry.key().toStdString()] = textOf(entry.value());
    }
    for (const auto& value : object["recent"].toArray()) {
        bool isHex = false;
        const std::uint64_t hash = value.toObject()["files"].toString().toULongLong(&isHex, 16);
        if (!value.isObject() || !isHex || !isExactWholeNumber(value.toObject()["revision"]))
            return badStored("recent", "not a list of operations");
        stored.recent.push_back({ textOf(value.toObject()["operation"]),
            static_cast<base::Revision>(value.toObject()["revision"].toInteger()), hash });
    }
    return stored;
}

HistoryEntry historyEntry(const StoredConfig& before, const StoredConfig& after)
{
    HistoryEntry entry;
    entry.revision = after.revision;
    entry.author = after.author;
    entry.timeMs = after.timeMs;
    entry.comment = after.comment;
    entry.operation = after.operation;
    const auto earlier = mergeFiles(before.files);
    const auto later = mergeFiles(after.files);
    if (earlier.has_value() && later.has_value())
        entry.changes = diff(earlier.value(), later.value());
    entry.totalChanges = entry.changes.size();
    if (entry.changes.size() > maximumHistoryChanges)
        entry.changes.resize(maximumHistoryChanges);
    return entry;
}

std::string historyKey(base::Revision revision)
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "%012llu", static_cast<unsigned long long>(revision));
    return std::string(historyPrefix) + digits;
}

std::string encode(const HistoryEntry& entry)
{
    QJsonArray changes;
    for (const Change& change : entry.changes) {
        const std::string kind(nameOf(change.kind));
        QJsonObject object { { "kind", toQString(kind) }, { "path", toQString(change.path) } };
        if (!change.before.empty())
            object["before"] = toQString(change.before);
        if (!change.after.empty())
            object["after"] = toQString(change.after);
        if (!change.beforeOrigin.file.empty())
            object["beforeOrigin"] = toJson(change.beforeOrigin);
        if (!change.afterOrigin.file.empty())
            object["afterOrigin"] = toJson(change.afterOrigin);
        changes.append(object);
    }
    return compact({
        { "revision", static_cast<qint64>(entry.revision) },
        { "author", toQString(entry.author) },
        { "time", static_cast<qint64>(entry.timeMs) },
        { "comment", toQString(entry.comment) },
        { "operation", toQString(entry.operation) },
        { "changes", changes },
        { "totalChanges", static_cast<qint64>(entry.totalChanges) },
    });
}

base::Result<HistoryEntry, ConfigError> decodeHistoryEntry(std::string_view json)
{
    const auto parsed = objectOf(json);
    if (parsed.has_error())
        return parsed.error();
    const QJsonObject& object = parsed.value();
    const auto requiredFields = checkRequiredFields(object);
    if (requiredFields.has_error())
        return requiredFields.error();
    HistoryEntry entry;
    entry.revision = static_cast<base::Revision>(object["revision"].toInteger());
    entry.author = textOf(object["author"]);
    entry.timeMs = object["time"].toInteger();
    entry.comment = textOf(object["comment"]);
    entry.operation = textOf(object["operation"]);
    for (const auto& value : object["changes"].toArray()) {
        const QJsonObject change = value.toObject();
        entry.changes.push_back({ kindOf(change["kind"]), textOf(change["path"]), textOf(change["before"]),
            textOf(change["after"]), locationOf(change["beforeOrigin"]), locationOf(change["afterOrigin"]) });
    }
    entry.totalChanges = static_cast<std::size_t>(object["totalChanges"].toInteger());
    return entry;
}

} // namespace lacewing::config
