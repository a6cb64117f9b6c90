// Difference between two merged configurations.
#include "config/diff.h"

#include "base/names.h"

#include <QJsonValue>
#include <algorithm>
#include <set>

namespace lacewing::config {

namespace {

    constexpr base::EnumNames<Change::Kind, 3> kindNames { {
        { Change::Kind::Added, "added" },
        { Change::Kind::Removed, "removed" },
        { Change::Kind::Changed, "changed" },
    } };

    struct Comparison {
        const MergedConfig& before;
        const MergedConfig& after;
        std::vector<Change> changes;
    };

    // Location of the null that removed the path or the closest of its parents.
    base::Location removalOf(const MergedConfig& merged, const std::string& path)
    {
        for (std::string current = path; !current.empty(); current = base::parentPath(current)) {
            const auto entry = merged.removals.find(current);
            if (entry != merged.removals.end())
                return entry->second;
        }
        return {};
    }

    void appendLeaves(Comparison& comparison, Change::Kind kind, const QJsonValue& value, const std::string& path)
    {
        if (value.isObject() && !value.toObject().isEmpty()) {
            const QJsonObject object = value.toObject();
            for (auto entry = object.begin(); entry != object.end(); ++entry)
                appendLeaves(comparison, kind, entry.value(), base::childPath(path, entry.key().toStdString()));
            return;
        }
        Change change;
        change.kind = kind;
        change.path = path;
        if (kind == Change::Kind::Added) {
            change.after = base::jsonText(value);
            change.afterOrigin = locate(comparison.after, path);
        } else {
            change.before = base::jsonText(value);
            change.beforeOrigin = locate(comparison.before, path);
            change.afterOrigin = removalOf(comparison.after, path);
        }
        comparison.changes.push_back(std::move(change));
    }

    void compare(Comparison& comparison, const QJsonObject& before, const QJsonObject& after, const std::string& path)
    {
        std::set<QString> keys;
        for (const QString& key : before.keys())
            keys.insert(key);
        for (const QString& key : after.keys())
            keys.insert(key);
        for (const QString& key : keys) {
            const std::string child = base::childPath(path, key.toStdString());
            const QJsonValue old = before.value(key);
            const QJsonValue now = after.value(key);
            if (old == now)
                continue;
            if (old.isUndefined())
                appendLeaves(comparison, Change::Kind::Added, now, child);
            else if (now.isUndefined())
                appendLeaves(comparison, Change::Kind::Removed, old, child);
            else if (old.isObject() && now.isObject())
                compare(comparison, old.toObject(), now.toObject(), child);
            else
                comparison.changes.push_back({ Change::Kind::Changed, child, base::jsonText(old), base::jsonText(now),
                    locate(comparison.before, child), locate(comparison.after, child) });
        }
    }

    std::string originText(const base::Location& location)
    {
        return location.file.empty() ? std::string() : " (" + location.file + ":" + std::to_string(location.line) + ")";
    }

} // namespace

std::string_view nameOf(Change::Kind kind) { return base::nameOf(kindNames, kind); }

std::vector<Change> diff(const MergedConfig& before, const MergedConfig& after)
{
    Comparison comparison { before, after, {} };
    compare(comparison, before.object, after.object, {});
    std::sort(comparison.changes.begin(), comparison.changes.end(),
        [](const Change& a, const Change& b) { return a.path < b.path; });
    return std::move(comparison.changes);
}

std::string describe(const Change& change)
{
    std::string head = std::string(nameOf(change.kind)) + " " + change.path + " ";
    switch (change.kind) {
    case Change::Kind::Added:
        return head + change.after + originText(change.afterOrigin);
    case Change::Kind::Removed:
        return head + change.before
            + originText(change.afterOrigin.file.empty() ? change.beforeOrigin : change.afterOrigin);
    case Change::Kind::Changed:
        return head + change.before + " -> " + change.after + originText(change.afterOrigin);
    }
    return head;
}

} // namespace lacewing::config
