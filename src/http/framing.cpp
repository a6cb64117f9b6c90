// Parsing of request heads and chunked bodies.
#include "http/framing.h"

#include <QList>
#include <algorithm>
#include <array>
#include <optional>

namespace lacewing::http {

namespace {

    constexpr qint64 chunkLineBytes = 256; // longest size line of a chunk, extensions included

    bool isTokenChar(char c)
    {
        if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'))
            return true;
        return c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    }

    bool isToken(const QByteArray& text)
    {
        return !text.isEmpty() && std::all_of(text.begin(), text.end(), isTokenChar);
    }

    bool isFieldValue(const QByteArray& text)
    {
        return std::none_of(text.begin(), text.end(), [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return (byte < 0x20 && byte != '\t') || byte == 0x7f;
        });
    }

    bool isTargetText(const QByteArray& text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte > 0x20 && byte < 0x7f && byte != '#';
        });
    }

    std::optional<qint64> parseDecimal(const QByteArray& text)
    {
        if (text.isEmpty() || text.size() > 16)
            return std::nullopt;
        qint64 value = 0;
        for (const char c : text) {
            if (c < '0' || c > '9')
                return std::nullopt;
            value = value * 10 + (c - '0');
        }
        return value;
    }

    std::optional<qint64> parseHex(const QByteArray& text)
    {
        if (text.isEmpty() || text.size() > 12)
            return std::nullopt;
        qint64 value = 0;
        for (const char c : text) {
            int digit = 0;
            if (c >= '0' && c <= '9')
                digit = c - '0';
            else if (c >= 'a' && c <= 'f')
                digit = c - 'a' + 10;
            else if (c >= 'A' && c <= 'F')
                digit = c - 'A' + 10;
            else
                return std::nullopt;
            value = value * 16 + digit;
        }
        return value;
    }

    std::optional<FramingError> parseRequestLine(const QByteArray& line, RequestHead& head)
    {
        static const std::array<QByteArray, 7> allowed { "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS" };
        const QList<QByteArray> parts = line.split(' ');
        if (parts.size() != 3 || !isToken(parts[0]) || parts[1].isEmpty() || !isTargetText(parts[1]))
            return FramingError { Refusal::BadRequest, "malformed request line" };
        const QByteArray& version = parts[2];
        if (version.size() != 8 || !version.startsWith("HTTP/") || version[6] != '.')
            return FramingError { Refusal::BadRequest, "malformed HTTP version" };
        if (version != "HTTP/1.1" && version != "HTTP/1.0")
            return FramingError { Refusal::VersionUnsupported, "HTTP/1.1 and HTTP/1.0 are supported" };
        head.method = parts[0];
        head.minorVersion = version[7] - '0';
        if (head.method == "CONNECT" || head.method == "TRACE")
            return FramingError { Refusal::MethodNotAllowed, "method " + head.method + " is not allowed" };
        if (std::find(allowed.begin(), allowed.end(), head.method) == allowed.end())
            return FramingError { Refusal::MethodUnknown, "unknown method" };
        head.target = parts[1];
        if (head.target == "*" && head.method == "OPTIONS") {
            head.target = "/*";
        } else if (head.target.left(7).toLower() == "http://") {
            // Absolute form (RFC 9112, 3.2.2): the authority is not used.
            const qsizetype slash = head.target.indexOf('/', 7);
            head.target = slash < 0 ? QByteArray("/") : head.target.mid(slash);
        }
        if (!head.target.startsWith('/'))
            return FramingError { Refusal::BadRequest, "malformed request target" };
        return std::nullopt;
    }

    // Values of all headers with the name, split at commas.
    QList<QByteArray> listValues(const Headers& headers, const QByteArray& name)
    {
        QList<QByteArray> values;
        for (const Header& header : headers) {
            if (header.name.compare(name, Qt::CaseInsensitive) != 0)
                continue;
            for (const QByteArray& part : header.value.split(','))
                values.append(part.trimmed());
        }
        return values;
    }

    std::optional<FramingError> applyBodyFraming(RequestHead& head)
    {
        const std::optional<BodyFraming> framing = findBodyFraming(head.headers);
        if (!framing) {
            const QList<QByteArray> encodings = listValues(head.headers, "Transfer-Encoding");
            const bool isUnknown = !encodings.isEmpty() && !hasHeader(head.headers, "Content-Length")
                && (encodings.size() != 1 || encodings[0].toLower() != "chunked");
            if (isUnknown)
                return FramingError { Refusal::EncodingUnknown, "only the transfer encoding chunked is supported" };
            return FramingError { Refusal::BadLength,
                "bad or differing Content-Length, or a length with chunked encoding" };
        }
        if (framing->isChunked && head.minorVersion == 0)
            return FramingError { Refusal::BadLength, "Transfer-Encoding in HTTP/1.0" };
        const bool needsLength = head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
        if (needsLength && !framing->isChunked && !framing->length)
            return FramingError { Refusal::LengthRequired, "Content-Length or chunked encoding is required" };
        head.isChunked = framing->isChunked;
        head.contentLength = framing->length.value_or(0);
        return std::nullopt;
    }

    std::optional<FramingError> applyConnectionHeaders(RequestHead& head)
    {
        qsizetype hosts = 0;
        for (const Header& header : head.headers)
            hosts += header.name.compare("Host", Qt::CaseInsensitive) == 0 ? 1 : 0;
        if (hosts > 1 || (hosts == 0 && head.minorVersion == 1))
            return FramingError { Refusal::BadRequest, "exactly one Host header is required" };
        head.closeAfter = hasToken(head.headers, "Connection", "close")
            || (head.minorVersion == 0 && !hasToken(head.headers, "Connection", "keep-alive"));
        if (hasHeader(head.headers, "Expect")) {
            if (headerValue(head.headers, "Expect").toLower() != "100-continue")
                return FramingError { Refusal::ExpectationFailed, "only the expectation 100-continue is supported" };
            head.expectsContinue = head.minorVersion == 1;
        }
        return std::nullopt;
    }

} // namespace

int refusalStatus(Refusal refusal)
{
    switch (refusal) {
    case Refusal::BadRequest:
    case Refusal::BadLength:
        return 400;
    case Refusal::MethodNotAllowed:
        return 405;
    case Refusal::HeaderTimeout:
    case Refusal::BodyTimeout:
        return 408;
    case Refusal::LengthRequired:
        return 411;
    case Refusal::BodyTooLarge:
        return 413;
    case Refusal::ExpectationFailed:
        return 417;
    case Refusal::HeaderTooLarge:
        return 431;
    case Refusal::MethodUnknown:
    case Refusal::EncodingUnknown:
        return 501;
    case Refusal::TooManyConnections:
    case Refusal::OverBudget:
        return 503;
    case Refusal::VersionUnsupported:
        return 505;
    case Refusal::IdleTimeout:
    case Refusal::WriteTimeout:
    case Refusal::ClosedForBudget:
        return 0;
    }
    return 0;
}

std::optional<Header> parseHeaderField(const QByteArray& line)
{
    const qsizetype colon = line.indexOf(':');
    if (colon <= 0)
        return std::nullopt;
    Header header { line.left(colon), line.mid(colon + 1).trimmed() };
    // A folded line starts with white space, which is not a token character.
    if (!isToken(header.name) || !isFieldValue(header.value))
        return std::nullopt;
    return header;
}

std::optional<BodyFraming> findBodyFraming(const Headers& headers)
{
    const QList<QByteArray> lengths = listValues(headers, "Content-Length");
    const QList<QByteArray> encodings = listValues(headers, "Transfer-Encoding");
    BodyFraming framing;
    if (!encodings.isEmpty()) {
        if (!lengths.isEmpty() || encodings.size() != 1 || encodings[0].toLower() != "chunked")
            return std::nullopt;
        framing.isChunked = true;
        return framing;
    }
    for (const QByteArray& text : lengths) {
        framing.length = parseDecimal(text);
        if (!framing.length || text != lengths[0])
            return std::nullopt;
    }
    return framing;
}

base::Result<RequestHead, FramingError> parseHead(const QByteArray& bytes, const ServerLimits& limits)
{
    RequestHead head;
    qsizetype start = 0;
    bool isFirst = true;
    while (start <= bytes.size()) {
        qsizetype end = bytes.indexOf("\r\n", start);
        if (end < 0)
            end = bytes.size();
        const QByteArray line = bytes.mid(start, end - start);
        start = end + 2;
        if (line.contains('\n') || line.contains('\r'))
            return FramingError { Refusal::BadRequest, "line ending other than CR LF" };
        if (!isFirst && static_cast<qint64>(head.headers.size()) >= limits.headerCount)
            return FramingError { Refusal::HeaderTooLarge, "too many headers" };
        if (isFirst) {
            if (std::optional<FramingError> refused = parseRequestLine(line, head))
                return *refused;
        } else {
            std::optional<Header> header = parseHeaderField(line);
            if (!header)
                return FramingError { Refusal::BadRequest, "malformed header" };
            head.headers.push_back(std::move(*header));
        }
        isFirst = false;
    }
    if (std::optional<FramingError> refused = applyBodyFraming(head))
        return *refused;
    if (std::optional<FramingError> refused = applyConnectionHeaders(head))
        return *refused;
    if (head.contentLength > bodyLimit(limits, head.target))
        return FramingError { Refusal::BodyTooLarge, "body larger than the limit" };
    return head;
}

qint64 bodyLimit(const ServerLimits& limits, const QByteArray& target)
{
    for (const PathBodyLimit& entry : limits.pathBodyLimits) {
        if (target.startsWith(entry.prefix))
            return entry.bytes;
    }
    return limits.bodyBytes;
}

base::Result<bool, FramingError> decodeChunks(ChunkDecoder& decoder, QByteArray& input)
{
    using State = ChunkDecoder::State;
    qsizetype position = 0;
    bool needsMoreInput = false;
    // Next line without CR LF; nullopt when it is not complete yet.
    const auto takeLine = [&]() -> std::optional<QByteArray> {
        const qsizetype end = input.indexOf("\r\n", position);
        if (end < 0)
            return std::nullopt;
        QByteArray line = input.mid(position, end - position);
        position = end + 2;
        return line;
    };
    while (!needsMoreInput && decoder.state != State::Done) {
        switch (decoder.state) {
        case State::Size: {
            const std::optional<QByteArray> line = takeLine();
            if ((line && line->size() > chunkLineBytes) || (!line && input.size() - position > chunkLineBytes))
                return FramingError { Refusal::BadRequest, "chunk size line too long" };
            if (!line) {
                needsMoreInput = true;
                break;
            }
            const qsizetype extension = line->indexOf(';');
            const std::optional<qint64> size = parseHex(extension < 0 ? *line : line->left(extension));
            if (!size || line->contains('\n') || line->contains('\r'))
                return FramingError { Refusal::BadRequest, "malformed chunk size" };
            if (*size > decoder.bodyBytes - decoder.body.size())
                return FramingError { Refusal::BodyTooLarge, "body larger than the limit" };
            decoder.remaining = *size;
            decoder.state = *size == 0 ? State::Trailer : State::Data;
            break;
        }
        case State::Data: {
            const qint64 count = std::min<qint64>(decoder.remaining, input.size() - position);
            decoder.body.append(input.constData() + position, count);
            position += count;
            decoder.remaining -= count;
            if (decoder.remaining == 0)
                decoder.state = State::DataEnd;
            else
                needsMoreInput = true;
            break;
        }
        case State::DataEnd:
            if (input.size() - position < 2) {
                needsMoreInput = true;
                break;
            }
            if (input[position] != '\r' || input[position + 1] != '\n')
                return FramingError { Refusal::BadRequest, "chunk without CR LF at its end" };
            position += 2;
            decoder.state = State::Size;
            break;
        case State::Trailer: {
            const std::optional<QByteArray> line = takeLine();
            decoder.trailerRead += line ? line->size() + 2 : 0;
            if (decoder.trailerRead + (line ? 0 : input.size() - position) > decoder.trailerBytes)
                return FramingError { Refusal::HeaderTooLarge, "trailers too large" };
            if (!line)
                needsMoreInput = true;
            else if (line->isEmpty())
                decoder.state = State::Done;
            break;
        }
        case State::Done:
            break;
        }
    }
    input.remove(0, position);
    return decoder.state == State::Done;
}

} // namespace lacewing::http
