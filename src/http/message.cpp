// Header lists, query parameters, addresses and small responses.
#include "http/message.h"

#include <QList>
#include <QUrl>
#include <QUrlQuery>
#include <algorithm>
#include <array>

namespace lacewing::http {

namespace {

    bool sameName(const QByteArray& left, const QByteArray& right)
    {
        return left.size() == right.size() && left.compare(right, Qt::CaseInsensitive) == 0;
    }

} // namespace

QByteArray headerValue(const Headers& headers, const QByteArray& name)
{
    for (const Header& header : headers) {
        if (sameName(header.name, name))
            return header.value;
    }
    return {};
}

bool hasHeader(const Headers& headers, const QByteArray& name)
{
    return std::any_of(
        headers.begin(), headers.end(), [&](const Header& header) { return sameName(header.name, name); });
}

void setHeader(Headers& headers, const QByteArray& name, const QByteArray& value)
{
    removeHeader(headers, name);
    headers.push_back({ name, value });
}

void removeHeader(Headers& headers, const QByteArray& name)
{
    std::erase_if(headers, [&](const Header& header) { return sameName(header.name, name); });
}

bool hasToken(const Headers& headers, const QByteArray& name, const QByteArray& token)
{
    for (const Header& header : headers) {
        if (!sameName(header.name, name))
            continue;
        for (const QByteArray& part : header.value.split(',')) {
            if (sameName(part.trimmed(), token))
                return true;
        }
    }
    return false;
}

bool isHopByHop(const QByteArray& name)
{
    static const std::array<QByteArray, 9> names { "connection", "keep-alive", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "expect", "http2-settings" };
    return std::any_of(names.begin(), names.end(), [&](const QByteArray& entry) { return sameName(entry, name); });
}

QString queryValue(const Request& request, const QString& name)
{
    QByteArray text = request.query;
    text.replace('+', "%20");
    return QUrlQuery(QString::fromUtf8(text)).queryItemValue(name, QUrl::FullyDecoded);
}

HostAndPort splitAddress(const QString& address)
{
    return { address.section(':', 0, -2), address.section(':', -1).toUShort() };
}

const char* reasonPhrase(int status)
{
    switch (status) {
    case 100:
        return "Continue";
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 204:
        return "No Content";
    case 304:
        return "Not Modified";
    case 400:
        return "Bad Request";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 415:
        return "Unsupported Media Type";
    case 417:
        return "Expectation Failed";
    case 422:
        return "Unprocessable Content";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 501:
        return "Not Implemented";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    case 505:
        return "HTTP Version Not Supported";
    default:
        return "Unknown";
    }
}

Response jsonResponse(int status, const QByteArray& json)
{
    return { status, { { "Content-Type", "application/json" } }, json, false };
}

Response textResponse(int status, const QByteArray& text)
{
    return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, text, false };
}

} // namespace lacewing::http
