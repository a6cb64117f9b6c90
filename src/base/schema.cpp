// Table-driven validation of JSON objects.
#include "base/schema.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QSet>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <unordered_map>

namespace lacewing::base {

namespace {

    // Cache of parsed defaults: one table validates many objects, and parsing a default takes as long as validating.
    using Defaults = std::unordered_map<const Field*, QJsonValue>;

    struct Context {
        const Locator& locate;
        InputErrors errors;
        Defaults defaults;
    };

    QString toQString(std::string_view key)
    {
        return QString::fromUtf8(key.data(), static_cast<qsizetype>(key.size()));
    }

    QJsonValue defaultOf(const Field& field, Defaults& defaults)
    {
        if (field.defaultJson.empty())
            return QJsonValue(QJsonValue::Undefined);
        const auto cached = defaults.find(&field);
        if (cached != defaults.end())
            return cached->second;
        const QByteArray text(field.defaultJson.data(), static_cast<qsizetype>(field.defaultJson.size()));
        return defaults.emplace(&field, QJsonDocument::fromJson("[" + text + "]").array().at(0)).first->second;
    }

    QJsonObject fillDefaults(const QJsonObject& object, const Schema& schema, Defaults& defaults)
    {
        QJsonObject completed = object;
        for (const Field& field : schema.fields) {
            const QString key = toQString(field.key);
            const Schema inner { field.fields, field.rules };
            QJsonValue value = object.value(key);
            if (value.isUndefined())
                value = defaultOf(field, defaults);
            if (field.type == FieldType::Object) {
                value = fillDefaults(value.toObject(), inner, defaults);
            } else if (field.type == FieldType::ObjectMap) {
                QJsonObject entries = value.toObject();
                for (auto entry = entries.begin(); entry != entries.end(); ++entry)
                    entry.value() = fillDefaults(entry.value().toObject(), inner, defaults);
                value = entries;
            } else if (field.type == FieldType::ObjectList) {
                QJsonArray elements;
                for (const auto& element : value.toArray())
                    elements.append(fillDefaults(element.toObject(), inner, defaults));
                value = elements;
            }
            if (!value.isUndefined())
                completed.insert(key, value);
        }
        return completed;
    }

    std::string numberText(double value)
    {
        if (value == std::floor(value) && std::abs(value) < 1e15)
            return std::to_string(static_cast<long long>(value));
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, "%g", value);
        return buffer;
    }

    std::string rangeText(const Field& field) { return numberText(field.minimum) + ".." + numberText(field.maximum); }

    std::string choicesText(const Field& field)
    {
        std::string text(field.choices);
        for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|', at))
            text.replace(at, 1, ", ");
        return text;
    }

    bool isChoice(const Field& field, std::string_view value)
    {
        std::string_view rest = field.choices;
        while (!rest.empty()) {
            const std::size_t end = rest.find('|');
            if (rest.substr(0, end) == value)
                return true;
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return false;
    }

    // Number of single-character edits between two words.
    std::size_t editDistance(std::string_view a, std::string_view b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 0; i < a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i + 1;
            for (std::size_t j = 0; j < b.size(); ++j) {
                const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
                diagonal = row[j + 1];
                row[j + 1] = std::min({ substituted, row[j] + 1, diagonal + 1 });
            }
        }
        return row.back();
    }

    std::string closestKey(std::span<const Field> fields, std::string_view key)
    {
        std::string closest;
        std::size_t best = 4; // a key more than 3 edits away is unlikely to be a misspelling
        for (const Field& field : fields) {
            const std::size_t distance = editDistance(key.substr(0, 64), field.key);
            if (distance < best) {
                best = distance;
                closest = field.key;
            }
        }
        return closest;
    }

    void report(Context& context, InputError::Code code, const std::string& path, const QJsonValue& value,
        std::string accepted, std::string detail)
    {
        InputError error { code, {}, 0, path, {}, std::move(accepted), std::move(detail) };
        if (!value.isUndefined())
            error.value = jsonText(value);
        if (context.locate) {
            Location location = context.locate(path);
            error.file = std::move(location.file);
            error.line = location.line;
        }
        context.errors.push_back(std::move(error));
    }

    void reportType(Context& context, const Field& field, const std::string& path, const QJsonValue& value)
    {
        report(context, InputError::Code::WrongType, path, value, acceptedText(field), "wrong type");
    }

    void reportRange(Context& context, const Field& field, const std::string& path, const QJsonValue& value)
    {
        report(context, InputError::Code::OutOfRange, path, value, acceptedText(field), "value out of range");
    }

    bool isWithin(const Field& field, double value) { return value >= field.minimum && value <= field.maximum; }

    void checkObject(Context& context, const QJsonObject& object, const Schema& schema, const std::string& path);

    void checkTextList(Context& context, const Field& field, const std::string& path, const QJsonArray& array)
    {
        if (!isWithin(field, static_cast<double>(array.size())))
            reportRange(context, field, path, array);
        QSet<QString> seen;
        for (qsizetype index = 0; index < array.size(); ++index) {
            const QJsonValue element = array.at(index);
            const bool isText = element.isString();
            if (isText && !seen.contains(element.toString())) {
                seen.insert(element.toString());
                continue;
            }
            const std::string elementAt = elementPath(path, static_cast<std::size_t>(index));
            if (isText)
                report(context, InputError::Code::Contradiction, elementAt, element, {}, "entry appears twice");
            else
                reportType(context, field, elementAt, element);
        }
    }

    void checkContainer(Context& context, const Field& field, const std::string& path, const QJsonValue& value)
    {
        const Schema schema { field.fields, field.rules };
        if (field.type == FieldType::Object) {
            checkObject(context, value.toObject(), schema, path);
            return;
        }
        if (field.type == FieldType::ObjectMap) {
            const QJsonObject object = value.toObject();
            for (auto entry = object.begin(); entry != object.end(); ++entry) {
                const std::string child = childPath(path, entry.key().toStdString());
                if (entry.value().isObject())
                    checkObject(context, entry.value().toObject(), schema, child);
                else
                    report(context, InputError::Code::WrongType, child, entry.value(), "object", "wrong type");
            }
            return;
        }
        const QJsonArray array = value.toArray();
        if (!isWithin(field, static_cast<double>(array.size())))
            reportRange(context, field, path, value);
        for (qsizetype index = 0; index < array.size(); ++index) {
            const std::string child = elementPath(path, static_cast<std::size_t>(index));
            if (array.at(index).isObject())
                checkObject(context, array.at(index).toObject(), schema, child);
            else
                report(context, InputError::Code::WrongType, child, array.at(index), "object", "wrong type");
        }
    }

    void checkValue(Context& context, const Field& field, const std::string& path, const QJsonValue& value)
    {
        switch (field.type) {
        case FieldType::Boolean:
            if (!value.isBool())
                reportType(context, field, path, value);
            return;
        case FieldType::Integer:
            if (!value.isDouble() || value.toDouble() != std::floor(value.toDouble()))
                reportType(context, field, path, value);
            else if (!isWithin(field, value.toDouble()))
                reportRange(context, field, path, value);
            return;
        case FieldType::Number:
            if (!value.isDouble())
                reportType(context, field, path, value);
            else if (!isWithin(field, value.toDouble()))
                reportRange(context, field, path, value);
            return;
        case FieldType::Text:
            if (!value.isString())
                reportType(context, field, path, value);
            else if (!isWithin(field, static_cast<double>(value.toString().size())))
                reportRange(context, field, path, value);
            return;
        case FieldType::Choice:
            if (!value.isString())
                reportType(context, field, path, value);
            else if (!isChoice(field, value.toString().toStdString()))
                reportRange(context, field, path, value);
            return;
        case FieldType::TextList:
            if (!value.isArray())
                reportType(context, field, path, value);
            else
                checkTextList(context, field, path, value.toArray());
            return;
        case FieldType::Object:
        case FieldType::ObjectMap:
            if (!value.isObject())
                reportType(context, field, path, value);
            else
                checkContainer(context, field, path, value);
            return;
        case FieldType::ObjectList:
            if (!value.isArray())
                reportType(context, field, path, value);
            else
                checkContainer(context, field, path, value);
            return;
        }
    }

    void checkObject(Context& context, const QJsonObject& object, const Schema& schema, const std::string& path)
    {
        const std::size_t errorsBefore = context.errors.size();
        for (auto entry = object.begin(); entry != object.end(); ++entry) {
            const std::string key = entry.key().toStdString();
            const auto field = std::find_if(schema.fields.begin(), schema.fields.end(),
                [&](const Field& candidate) { return candidate.key == key; });
            if (field != schema.fields.end()) {
                checkValue(context, *field, childPath(path, key), entry.value());
                continue;
            }
            const std::string closest = closestKey(schema.fields, key);
            report(context, InputError::Code::UnknownKey, childPath(path, key), QJsonValue(QJsonValue::Undefined), {},
                closest.empty() ? "unknown key" : "unknown key, did you mean \"" + closest + "\"?");
        }
        for (const Field& field : schema.fields) {
            const QString key = toQString(field.key);
            if (field.isRequired && !object.contains(key)) {
                report(context, InputError::Code::Missing, childPath(path, field.key),
                    QJsonValue(QJsonValue::Undefined), acceptedText(field), "required key is missing");
            }
        }
        // A rule reads several keys, so its result is meaningless when one of them is invalid.
        if (context.errors.size() != errorsBefore || schema.rules.empty())
            return;
        const QJsonObject completed = fillDefaults(object, schema, context.defaults);
        for (const Rule& rule : schema.rules) {
            if (rule.holds(completed))
                continue;
            const std::string at = rule.key.empty() ? path : childPath(path, rule.key);
            const QString key = toQString(rule.key);
            report(context, InputError::Code::Contradiction, at, completed.value(key), {},
                "violates the rule: " + std::string(rule.doc));
        }
    }

    std::string typeName(FieldType type)
    {
        switch (type) {
        case FieldType::Boolean:
            return "boolean";
        case FieldType::Integer:
            return "integer";
        case FieldType::Number:
            return "number";
        case FieldType::Text:
            return "string";
        case FieldType::Choice:
            return "choice";
        case FieldType::TextList:
            return "array of strings";
        case FieldType::Object:
        case FieldType::ObjectMap:
            return "object";
        case FieldType::ObjectList:
            return "array of objects";
        }
        return "unknown";
    }

    std::string rangeOf(const Field& field)
    {
        switch (field.type) {
        case FieldType::Integer:
        case FieldType::Number:
            return rangeText(field);
        case FieldType::Text:
            return rangeText(field) + " characters";
        case FieldType::Choice:
            return choicesText(field);
        case FieldType::TextList:
        case FieldType::ObjectList:
            return rangeText(field) + " entries";
        default:
            return {};
        }
    }

    void appendRows(std::vector<SchemaRow>& rows, const Schema& schema, const std::string& path)
    {
        for (const Field& field : schema.fields) {
            const std::string at = childPath(path, field.key);
            rows.push_back({ at, typeName(field.type), rangeOf(field), std::string(field.defaultJson),
                std::string(field.unit), std::string(field.doc) });
            std::string inner = at;
            if (field.type == FieldType::ObjectMap)
                inner += ".<name>";
            else if (field.type == FieldType::ObjectList)
                inner += "[]";
            appendRows(rows, { field.fields, field.rules }, inner);
        }
        for (const Rule& rule : schema.rules) {
            const std::string at = rule.key.empty() ? path : childPath(path, rule.key);
            for (SchemaRow& row : rows) {
                if (row.path == at)
                    row.doc += (row.doc.empty() ? "" : "; ") + ("rule: " + std::string(rule.doc));
            }
        }
    }

} // namespace

InputErrors checkSchema(const QJsonObject& object, const Schema& schema, const Locator& locate, const std::string& path)
{
    Context context { locate, {}, {} };
    checkObject(context, object, schema, path);
    return std::move(context.errors);
}

QJsonObject withDefaults(const QJsonObject& object, const Schema& schema)
{
    Defaults defaults;
    return fillDefaults(object, schema, defaults);
}

std::vector<SchemaRow> schemaRows(const Schema& schema, const std::string& path)
{
    std::vector<SchemaRow> rows;
    appendRows(rows, schema, path);
    return rows;
}

std::string acceptedText(const Field& field)
{
    if (field.type == FieldType::Choice)
        return "one of " + choicesText(field);
    const std::string range = rangeOf(field);
    std::string text = typeName(field.type);
    if (!range.empty())
        text += " " + range;
    if (!field.unit.empty())
        text += " " + std::string(field.unit);
    return text;
}

std::string schemaMarkdown(const Schema& schema)
{
    std::string text = "| key | type | range | default | unit | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const SchemaRow& row : schemaRows(schema)) {
        const auto cell = [](const std::string& value) { return value.empty() ? std::string("-") : value; };
        const auto code = [](const std::string& value) { return value.empty() ? "-" : "`" + value + "`"; };
        text += "| " + code(row.path) + " | " + row.type + " | " + cell(row.range) + " | " + code(row.defaultJson)
            + " | " + cell(row.unit) + " | " + cell(row.doc) + " |\n";
    }
    return text;
}

} // namespace lacewing::base
