// Checked access to JSON members.
#include "standin/json_reader.h"

#include "base/json.h"

#include <cmath>

namespace lacewing::standin {

std::optional<QJsonObject> parseForeignObject(const QByteArray& text, qint64 maxBytes, int maxDepth)
{
    base::JsonLimits limits;
    limits.bytes = static_cast<std::size_t>(maxBytes);
    limits.depth = maxDepth;
    const std::string_view view(text.constData(), static_cast<std::size_t>(text.size()));
    const auto parsed = base::parseJsonObject(view, "", limits);
    if (!parsed)
        return std::nullopt;
    return parsed.value().object;
}

JsonReader::JsonReader(QJsonObject object)
    : m_object(std::move(object))
{
}

void JsonReader::setFault(const char* key)
{
    if (m_fault.empty())
        m_fault = key;
}

QJsonValue JsonReader::take(const char* key)
{
    m_asked.insert(key);
    return m_object.value(QLatin1String(key));
}

std::string JsonReader::unknown() const
{
    for (const QString& key : m_object.keys()) {
        if (!m_asked.contains(key.toStdString()))
            return key.toStdString();
    }
    return {};
}

std::string JsonReader::text(const char* key, qsizetype maxBytes)
{
    const QJsonValue value = take(key);
    const QByteArray bytes = value.toString().toUtf8();
    if (!value.isString() || bytes.size() > maxBytes) {
        setFault(key);
        return {};
    }
    return bytes.toStdString();
}

std::int64_t JsonReader::integer(const char* key, std::int64_t least, std::int64_t greatest)
{
    const QJsonValue value = take(key);
    const double number = value.toDouble(0.5); // 0.5 is no integer
    const auto bound = static_cast<double>(maxJsonInteger);
    if (!value.isDouble() || std::floor(number) != number || std::fabs(number) > bound || value.toInteger() < least
        || value.toInteger() > greatest) {
        setFault(key);
        return least;
    }
    return value.toInteger();
}

double JsonReader::number(const char* key, double least, double greatest)
{
    const QJsonValue value = take(key);
    const double number = value.toDouble();
    if (!value.isDouble() || !std::isfinite(number) || number < least || number > greatest) {
        setFault(key);
        return least;
    }
    return number;
}

QJsonObject JsonReader::object(const char* key)
{
    const QJsonValue value = take(key);
    if (!value.isObject())
        setFault(key);
    return value.toObject();
}

QJsonArray JsonReader::array(const char* key, qsizetype maxItems)
{
    const QJsonValue value = take(key);
    if (!value.isArray() || value.toArray().size() > maxItems) {
        setFault(key);
        return {};
    }
    return value.toArray();
}

std::string JsonReader::text(const char* key, const std::string& fallback, qsizetype maxBytes)
{
    m_asked.insert(key);
    return has(key) ? text(key, maxBytes) : fallback;
}

std::int64_t JsonReader::integer(const char* key, std::int64_t least, std::int64_t greatest, std::int64_t fallback)
{
    m_asked.insert(key);
    return has(key) ? integer(key, least, greatest) : fallback;
}

double JsonReader::number(const char* key, double least, double greatest, double fallback)
{
    m_asked.insert(key);
    return has(key) ? number(key, least, greatest) : fallback;
}

bool JsonReader::flag(const char* key, bool fallback)
{
    const QJsonValue value = take(key);
    if (value.isUndefined())
        return fallback;
    if (!value.isBool())
        setFault(key);
    return value.toBool(fallback);
}

} // namespace lacewing::standin
