// Checks on JSON answers of the platform. Answers are foreign bytes: size and depth are bounded before they are parsed,
// and every field is checked before use.
#pragma once

#include "http/client.h"

#include <QJsonObject>
#include <QJsonValue>
#include <cstdint>
#include <optional>
#include <string>

namespace lacewing::daemon {

// The answer's body as a JSON object; nothing when it is too large, too deep or not an object.
std::optional<QJsonObject> readObject(const QByteArray& body);

// Whole number from 0; nothing for another type, a fraction or a negative number.
std::optional<std::uint64_t> readCount(const QJsonValue& value);

// String of at most `longest` bytes; nothing for another type or a longer one.
std::optional<std::string> readText(const QJsonValue& value, std::size_t longest);

// GET or other request without a body, safe to repeat.
http::ClientRequest platformRequest(const QByteArray& method, const std::string& url, int timeoutMs);
// Request with a JSON body, never sent twice by the client.
http::ClientRequest platformRequest(
    const QByteArray& method, const std::string& url, const QJsonObject& body, int timeoutMs);

} // namespace lacewing::daemon
