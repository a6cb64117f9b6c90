// Parsing of answers.
#include "http/answer.h"

#include <QList>
#include <optional>

namespace lacewing::http {

namespace {

    using State = AnswerParser::State;

    State fail(AnswerParser& parser, Failure failure, const QByteArray& detail)
    {
        parser.state = State::Failed;
        parser.failure = failure;
        parser.detail = detail;
        parser.body.clear();
        return parser.state;
    }

    // Status of a status line, or nullopt.
    std::optional<int> parseStatusLine(const QByteArray& line)
    {
        const bool hasVersion = line.startsWith("HTTP/1.1 ") || line.startsWith("HTTP/1.0 ");
        if (!hasVersion || line.size() < 12 || (line.size() > 12 && line[12] != ' '))
            return std::nullopt;
        int status = 0;
        for (const char c : line.mid(9, 3)) {
            if (c < '0' || c > '9')
                return std::nullopt;
            status = status * 10 + (c - '0');
        }
        return status >= 100 && status <= 599 ? std::optional<int>(status) : std::nullopt;
    }

    bool parseHeaders(const QByteArray& lines, Headers& headers)
    {
        qsizetype start = 0;
        while (start < lines.size()) {
            qsizetype end = lines.indexOf("\r\n", start);
            if (end < 0)
                end = lines.size();
            const QByteArray line = lines.mid(start, end - start);
            start = end + 2;
            std::optional<Header> header = parseHeaderField(line);
            if (!header)
                return false;
            headers.push_back(std::move(*header));
        }
        return true;
    }

    // Chooses how the body ends.
    State startBody(AnswerParser& parser)
    {
        if (parser.isHead || parser.status == 204 || parser.status == 304)
            return parser.state = State::Done;
        const std::optional<BodyFraming> framing = findBodyFraming(parser.headers);
        if (!framing)
            return fail(parser, Failure::Incomplete, "bad or differing Content-Length or Transfer-Encoding");
        if (framing->isChunked) {
            parser.chunks.bodyBytes = parser.bodyBytes;
            parser.chunks.trailerBytes = parser.headerBytes;
            return parser.state = State::Chunked;
        }
        if (!framing->length)
            return fail(parser, Failure::Incomplete, "the end of the answer cannot be verified");
        if (*framing->length > parser.bodyBytes)
            return fail(parser, Failure::TooLarge, "body larger than the limit");
        parser.remaining = *framing->length;
        return parser.state = parser.remaining == 0 ? State::Done : State::Length;
    }

    // True when a final head has been parsed.
    bool takeHead(AnswerParser& parser)
    {
        while (parser.state == State::Head) {
            const qsizetype end = parser.input.indexOf("\r\n\r\n", parser.scanned);
            const qsizetype size = end < 0 ? parser.input.size() : end + 4;
            if (parser.headBytes + size > parser.headerBytes) {
                fail(parser, Failure::TooLarge, "headers larger than the limit");
                return false;
            }
            // Another protocol is recognised before the time limit.
            if (!parser.input.startsWith(
                    QByteArrayView("HTTP/1.").first(std::min<qsizetype>(7, parser.input.size())))) {
                fail(parser, Failure::ConnectionLost, "the answer is not HTTP/1.x");
                return false;
            }
            if (end < 0) {
                parser.scanned = std::max<qsizetype>(0, size - 3);
                return false;
            }
            const QByteArray head = parser.input.left(end);
            parser.input.remove(0, size);
            parser.scanned = 0;
            parser.headBytes += size;
            qsizetype lineEnd = head.indexOf("\r\n");
            if (lineEnd < 0)
                lineEnd = head.size();
            const std::optional<int> status = parseStatusLine(head.left(lineEnd));
            Headers headers;
            if (!status || *status == 101 || !parseHeaders(head.mid(lineEnd + 2), headers)) {
                fail(parser, Failure::ConnectionLost, "malformed head of the answer");
                return false;
            }
            if (*status >= 200) {
                parser.status = *status;
                parser.headers = std::move(headers);
                startBody(parser);
                return parser.state != State::Failed;
            }
        }
        return false;
    }

} // namespace

AnswerParser makeAnswerParser(const ClientLimits& limits, const QByteArray& method)
{
    AnswerParser parser;
    parser.headerBytes = limits.responseHeaderBytes;
    parser.bodyBytes = limits.responseBodyBytes;
    parser.isHead = method == "HEAD";
    return parser;
}

AnswerParser::State feedAnswer(AnswerParser& parser, const QByteArray& bytes)
{
    if (parser.state == State::Done || parser.state == State::Failed)
        return parser.state;
    parser.input += bytes;
    if (parser.state == State::Head && !parser.input.isEmpty() && !takeHead(parser))
        return parser.state;
    if (parser.state == State::Length) {
        const qint64 count = std::min<qint64>(parser.remaining, parser.input.size());
        parser.body += parser.input.left(count);
        parser.input.clear();
        parser.remaining -= count;
        if (parser.remaining == 0)
            parser.state = State::Done;
    } else if (parser.state == State::Chunked) {
        const base::Result<bool, Refused> isComplete = decodeChunks(parser.chunks, parser.input);
        if (!isComplete) {
            const bool isTooLarge = isComplete.error().refusal == Refusal::BodyTooLarge;
            return fail(parser, isTooLarge ? Failure::TooLarge : Failure::Incomplete, isComplete.error().detail);
        }
        if (isComplete.value()) {
            parser.body = std::move(parser.chunks.body);
            parser.state = State::Done;
        }
    }
    return parser.state;
}

void endAnswer(AnswerParser& parser)
{
    if (parser.state == State::Head)
        fail(parser, Failure::ConnectionLost, "connection closed before the end of the headers");
    else if (parser.state == State::Length || parser.state == State::Chunked)
        fail(parser, Failure::Incomplete, "connection closed before the end of the body");
}

} // namespace lacewing::http
