// Reads members of a JSON object of foreign origin: types, lengths and ranges are checked, unknown members are ignored.
//
// The first fault is kept and every later read returns its fallback, so that a caller checks once at the end.
#pragma once

#include "base/names.h"

#include <QJsonArray>
#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace lacewing::standin {

// Object of a text within the limits of bytes and nesting, or nullopt.
std::optional<QJsonObject> parseForeignObject(const QByteArray& text, qint64 maxBytes, int maxDepth = 16);

class JsonReader {
public:
    explicit JsonReader(QJsonObject object);

    bool isValid() const { return m_fault.empty(); }
    // Name of the first wrong member; empty when there is none.
    const std::string& fault() const { return m_fault; }
    // First member that no read has asked for; empty when there is none.
    std::string unknown() const;
    bool has(const char* key) const { return m_object.contains(QLatin1String(key)); }

    // Required members.
    std::string text(const char* key, qsizetype maxBytes = 256);
    std::int64_t integer(const char* key, std::int64_t least, std::int64_t greatest);
    double number(const char* key, double least, double greatest);
    QJsonObject object(const char* key);
    QJsonArray array(const char* key, qsizetype maxItems);

    template <typename Enum, std::size_t count>
    Enum choice(const char* key, const base::EnumNames<Enum, count>& names, Enum fallback)
    {
        const std::optional<Enum> value = base::valueOf(names, text(key));
        if (!value)
            setFault(key);
        return value.value_or(fallback);
    }

    // Members that may be absent.
    std::string text(const char* key, const std::string& fallback, qsizetype maxBytes);
    std::int64_t integer(const char* key, std::int64_t least, std::int64_t greatest, std::int64_t fallback);
    double number(const char* key, double least, double greatest, double fallback);
    bool flag(const char* key, bool fallback);

private:
    void setFault(const char* key);

    QJsonValue take(const char* key);

    QJsonObject m_object;
    std::string m_fault;
    std::set<std::string> m_asked;
};

// Greatest integer that every JSON parser represents exactly (RFC 8259, section 6).
constexpr std::int64_t maxJsonInteger = 9007199254740991;

} // namespace lacewing::standin
