// HTTP messages as plain values: headers, the request that a handler receives, and the response that it gives.
//
// Header names are compared case-insensitively. Values are bytes without surrounding white space. The contents are
// untrusted: the server has checked sizes and framing, not the meaning of a value.
#pragma once

#include <QByteArray>
#include <QString>
#include <cstdint>
#include <vector>

namespace lacewing::http {

struct Header {
    QByteArray name;
    QByteArray value;
};

using Headers = std::vector<Header>;

// Value of the first header with the name, or an empty array.
QByteArray headerValue(const Headers& headers, const QByteArray& name);
bool hasHeader(const Headers& headers, const QByteArray& name);
// Replaces all headers with the name by one.
void setHeader(Headers& headers, const QByteArray& name, const QByteArray& value);
void removeHeader(Headers& headers, const QByteArray& name);
// True when the comma-separated header contains the token, compared case-insensitively ("Connection: close, x").
bool hasToken(const Headers& headers, const QByteArray& name, const QByteArray& token);
// True for hop-by-hop headers, which apply to one connection (RFC 9110, 7.6.1) and must not be forwarded.
bool isHopByHop(const QByteArray& name);

struct Request {
    // --- Request line ---
    QByteArray method; // upper case: GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS
    QByteArray path;   // as received (percent-encoded), starts with '/'; "*" becomes "/*"
    QByteArray query;  // as received, without '?'

    // --- Content ---
    Headers headers; // without Content-Length, Connection, Transfer-Encoding, Expect and other hop-by-hop headers
    QByteArray body; // complete

    // --- Connection ---
    QString peerAddress; // IP address of the caller
    std::uint16_t peerPort = 0;
};

// Percent-decoded value of the first query parameter with the name, or an empty string.
QString queryValue(const Request& request, const QString& name);

struct Response {
    int status = 200;
    Headers headers; // Content-Length, Connection and Transfer-Encoding are set by the server
    QByteArray body;
    bool closeAfter = false; // close the connection after this response
};

struct HostAndPort {
    QString host;
    std::uint16_t port = 0; // 0: the text names no port
};

// Splits HOST:PORT at the last colon.
HostAndPort splitAddress(const QString& address);

// Reason phrase of a status, "Unknown" when there is none.
const char* reasonPhrase(int status);

Response jsonResponse(int status, const QByteArray& json);
Response textResponse(int status, const QByteArray& text);

} // namespace lacewing::http
