// Merges the operators' configuration files.
#include "config/merge.h"

#include <QJsonArray>
#include <algorithm>
#include <cctype>

namespace lacewing::config {

namespace {

    constexpr const char* replaceKey = "$replace";

    // Context while one file is merged into the result.
    struct FileMerge {
        MergedConfig& merged;
        ConfigErrors& errors;
        const std::string& file;
        const base::KeyLines& keys; // line of each key by its path in the file, where $replace counts as a key
    };

    base::Location locationOf(const FileMerge& context, const std::string& filePath)
    {
        return { context.file, base::lineOfPath(context.keys, filePath) };
    }

    void report(FileMerge& context, ConfigError::Code code, const std::string& filePath, const std::string& path,
        std::string detail)
    {
        const base::Location location = locationOf(context, filePath);
        context.errors.push_back({ code, location.file, location.line, path, {}, {}, std::move(detail) });
    }

    bool isReplacement(const QJsonValue& value) { return value.isObject() && value.toObject().contains(replaceKey); }

    // Erases the origins of a value that is replaced or removed, and of everything below it.
    void eraseOrigins(MergedConfig& merged, const QJsonValue& value, const std::string& path)
    {
        merged.origins.erase(path);
        if (value.isObject()) {
            const QJsonObject object = value.toObject();
            for (auto entry = object.begin(); entry != object.end(); ++entry)
                eraseOrigins(merged, entry.value(), base::childPath(path, entry.key().toStdString()));
        } else if (value.isArray()) {
            const QJsonArray array = value.toArray();
            for (qsizetype index = 0; index < array.size(); ++index)
                eraseOrigins(merged, array.at(index), base::elementPath(path, static_cast<std::size_t>(index)));
        }
    }

    // Records the locations of array elements and of the keys in them, if they are not on the line of their parent.
    // `locate` falls back to the parent, so long arrays on one line need no entries.
    void recordElements(
        FileMerge& context, const QJsonValue& value, const std::string& filePath, const std::string& path)
    {
        const auto recordChild = [&](const QJsonValue& child, const std::string& childFilePath, const std::string& at) {
            const auto entry = context.keys.lines.find(childFilePath);
            if (entry != context.keys.lines.end())
                context.merged.origins.insert_or_assign(at, base::Location { context.file, entry->second });
            if (child.isObject() || child.isArray())
                recordElements(context, child, childFilePath, at);
        };
        if (value.isObject()) {
            const QJsonObject object = value.toObject();
            for (auto entry = object.begin(); entry != object.end(); ++entry) {
                const std::string key = entry.key().toStdString();
                recordChild(entry.value(), base::childPath(filePath, key), base::childPath(path, key));
            }
        } else if (value.isArray()) {
            const QJsonArray array = value.toArray();
            for (qsizetype index = 0; index < array.size(); ++index) {
                const auto at = static_cast<std::size_t>(index);
                recordChild(array.at(index), base::elementPath(filePath, at), base::elementPath(path, at));
            }
        }
    }

    void mergeObject(FileMerge& context, QJsonObject& target, const QJsonObject& source, const std::string& filePath,
        const std::string& path);

    // Value for a key that keeps nothing of earlier files. A null inside it has nothing to remove and is left out.
    QJsonValue newValue(
        FileMerge& context, const QJsonValue& value, const std::string& filePath, const std::string& path)
    {
        context.merged.removals.erase(path);
        context.merged.origins.insert_or_assign(path, locationOf(context, filePath));
        if (!value.isObject()) {
            recordElements(context, value, filePath, path);
            return value;
        }
        QJsonObject object;
        mergeObject(context, object, value.toObject(), filePath, path);
        return object;
    }

    void removeKey(FileMerge& context, QJsonObject& target, const QString& key, const std::string& filePath,
        const std::string& path)
    {
        eraseOrigins(context.merged, target.value(key), path);
        target.remove(key);
        context.merged.removals.insert_or_assign(path, locationOf(context, filePath));
    }

    void mergeKey(FileMerge& context, QJsonObject& target, const QString& key, const QJsonValue& value,
        const std::string& filePath, const std::string& path)
    {
        if (value.isNull()) {
            removeKey(context, target, key, filePath, path);
            return;
        }
        if (isReplacement(value)) {
            const QJsonObject wrapper = value.toObject();
            const QJsonValue replacement = wrapper.value(replaceKey);
            const std::string replacementPath = base::childPath(filePath, replaceKey);
            if (wrapper.size() != 1) {
                report(context, ConfigError::Code::BadReplace, replacementPath, path,
                    "$replace must be the only key of its object");
            } else if (replacement.isNull()) {
                removeKey(context, target, key, replacementPath, path);
            } else if (isReplacement(replacement)) {
                report(context, ConfigError::Code::BadReplace, replacementPath, path,
                    "$replace must not contain another $replace directly");
            } else {
                eraseOrigins(context.merged, target.value(key), path);
                target.insert(key, newValue(context, replacement, replacementPath, path));
            }
            return;
        }
        const QJsonValue existing = target.value(key);
        if (existing.isUndefined()) {
            target.insert(key, newValue(context, value, filePath, path));
            return;
        }
        if (existing.isObject() != value.isObject()) {
            const base::Location earlier = locate(context.merged, path);
            report(context, ConfigError::Code::TypeConflict, filePath, path,
                std::string(value.isObject() ? "an object replaces a value that is not an object"
                                             : "a value that is not an object replaces an object")
                    + ", set in " + earlier.file + ":" + std::to_string(earlier.line)
                    + "; write {\"$replace\": VALUE} if this is intended");
            return;
        }
        if (value.isObject()) {
            QJsonObject object = existing.toObject();
            mergeObject(context, object, value.toObject(), filePath, path);
            target.insert(key, object);
            return;
        }
        eraseOrigins(context.merged, existing, path);
        target.insert(key, newValue(context, value, filePath, path));
    }

    void mergeObject(FileMerge& context, QJsonObject& target, const QJsonObject& source, const std::string& filePath,
        const std::string& path)
    {
        for (auto entry = source.begin(); entry != source.end(); ++entry) {
            const std::string key = entry.key().toStdString();
            mergeKey(context, target, entry.key(), entry.value(), base::childPath(filePath, key),
                base::childPath(path, key));
        }
    }

    std::string lowerCase(std::string text)
    {
        for (char& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }

    void checkNames(const Files& files, const MergeLimits& limits, ConfigErrors& errors)
    {
        std::map<std::string, std::string> byLowerCase;
        for (const auto& [name, text] : files) {
            if (!isFileName(name, limits)) {
                errors.push_back({ ConfigError::Code::BadFileName, name, 0, {}, {},
                    "letters, digits, '_', '-', '.', first a letter or digit, ending in .json, at most "
                        + std::to_string(limits.nameBytes) + " bytes",
                    "file name is not accepted" });
            }
            const auto [entry, isNew] = byLowerCase.emplace(lowerCase(name), name);
            if (!isNew) {
                errors.push_back({ ConfigError::Code::BadFileName, name, 0, {}, {}, {},
                    "file name differs from " + entry->second + " only in case" });
            }
        }
    }

    void checkSizes(const Files& files, const MergeLimits& limits, ConfigErrors& errors)
    {
        std::size_t total = 0;
        for (const auto& [name, text] : files)
            total += name.size() + text.size();
        if (total > limits.totalBytes) {
            errors.push_back({ ConfigError::Code::TooLarge, {}, 0, {}, std::to_string(total),
                "at most " + std::to_string(limits.totalBytes) + " bytes in all files", "the files are too large" });
        }
        if (files.size() > limits.files) {
            errors.push_back({ ConfigError::Code::TooLarge, {}, 0, {}, std::to_string(files.size()),
                "at most " + std::to_string(limits.files) + " files", "there are too many files" });
        }
    }

} // namespace

base::Result<MergedConfig, ConfigErrors> mergeFiles(const Files& files, const MergeLimits& limits)
{
    ConfigErrors errors;
    checkNames(files, limits, errors);
    checkSizes(files, limits, errors);
    if (!errors.empty())
        return errors;
    MergedConfig merged;
    for (const auto& [name, text] : files) {
        const auto parsed = base::parseJsonObject(text, name, { limits.fileBytes, limits.depth });
        if (parsed.has_error()) {
            for (const base::InputError& error : parsed.error())
                errors.push_back(toConfigError(error));
            continue;
        }
        FileMerge context { merged, errors, name, parsed.value().keys };
        if (parsed.value().object.contains(replaceKey)) {
            report(context, ConfigError::Code::BadReplace, replaceKey, {},
                "$replace is not accepted at the top level of a file");
            continue;
        }
        mergeObject(context, merged.object, parsed.value().object, {}, {});
    }
    if (!errors.empty())
        return errors;
    return merged;
}

base::Location locate(const MergedConfig& merged, const std::string& path)
{
    for (std::string current = path; !current.empty(); current = base::parentPath(current)) {
        const auto entry = merged.origins.find(current);
        if (entry != merged.origins.end())
            return entry->second;
    }
    return {};
}

base::Locator locatorFor(const MergedConfig& merged)
{
    return [&merged](const std::string& path) { return locate(merged, path); };
}

bool isFileName(const std::string& name, const MergeLimits& limits)
{
    constexpr std::string_view ending = ".json";
    const auto isLetterOrDigit
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); };
    if (name.size() <= ending.size() || name.size() > limits.nameBytes || !name.ends_with(ending))
        return false;
    if (!isLetterOrDigit(name.front()))
        return false;
    return std::all_of(
        name.begin(), name.end(), [&](char c) { return isLetterOrDigit(c) || c == '_' || c == '-' || c == '.'; });
}

} // namespace lacewing::config
