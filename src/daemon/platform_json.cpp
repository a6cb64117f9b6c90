// Bounds and field checks.
#include "daemon/platform_json.h"

#include <QJsonDocument>
#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr qsizetype largestAnswerBytes = 16LL * 1024 * 1024; // a list of several values of 1 MB
    constexpr int deepestAnswer = 16;

    // Depth of nesting by a scan of the bytes; strings are skipped.
    bool isShallow(const QByteArray& body)
    {
        int depth = 0;
        bool isInString = false;
        for (qsizetype index = 0; index < body.size(); ++index) {
            const char c = body[index];
            if (isInString) {
                if (c == '\\')
                    ++index;
                else if (c == '"')
                    isInString = false;
                continue;
            }
            if (c == '"')
                isInString = true;
            else if (c == '{' || c == '[') {
                if (++depth > deepestAnswer)
                    return false;
            } else if (c == '}' || c == ']')
                --depth;
        }
        return true;
    }

} // namespace

std::optional<QJsonObject> readObject(const QByteArray& body)
{
    if (body.size() > largestAnswerBytes || !isShallow(body))
        return std::nullopt;
    const QJsonDocument document = QJsonDocument::fromJson(body);
    if (!document.isObject())
        return std::nullopt;
    return document.object();
}

std::optional<std::uint64_t> readCount(const QJsonValue& value)
{
    const qint64 number = value.toInteger(-1);
    if (!value.isDouble() || number < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(number);
}

std::optional<std::string> readText(const QJsonValue& value, std::size_t longest)
{
    if (!value.isString())
        return std::nullopt;
    std::string text = value.toString().toStdString();
    if (text.size() > longest)
        return std::nullopt;
    return text;
}

http::ClientRequest platformRequest(const QByteArray& method, const std::string& url, int timeoutMs)
{
    http::ClientRequest request;
    request.method = method;
    request.url = QByteArray::fromStdString(url);
    request.timeoutMs = timeoutMs;
    request.mode = http::SendMode::Idempotent;
    return request;
}

http::ClientRequest platformRequest(
    const QByteArray& method, const std::string& url, const QJsonObject& body, int timeoutMs)
{
    http::ClientRequest request = platformRequest(method, url, timeoutMs);
    request.mode = http::SendMode::Once;
    request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    http::setHeader(request.headers, "Content-Type", "application/json");
    return request;
}

} // namespace lacewing::daemon
