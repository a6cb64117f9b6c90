// Parsing of responses by Boost.Beast's parser, which works on bytes without a socket.
//
// Added here: interim (1xx) responses are skipped, a response that ends only with the connection is refused, and errors
// of the parser are mapped to Failure.
#include "http/answer.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>
#include <string>

namespace lacewing::http {

namespace {

    namespace beast = boost::beast;
    using State = AnswerParser::State;
    using ErrorCode = boost::system::error_code;

    QByteArray toByteArray(beast::string_view text)
    {
        return QByteArray(text.data(), static_cast<qsizetype>(text.size()));
    }

    State fail(AnswerParser& parser, Failure failure, const QByteArray& detail)
    {
        parser.state = State::Failed;
        parser.failure = failure;
        parser.detail = detail;
        parser.body.clear();
        return parser.state;
    }

    bool isTooLarge(const ErrorCode& error)
    {
        return error == beast::http::error::header_limit || error == beast::http::error::body_limit
            || error == beast::http::error::buffer_overflow;
    }

    State failWith(AnswerParser& parser, const ErrorCode& error)
    {
        const QByteArray detail = QByteArray::fromStdString(error.message());
        if (isTooLarge(error))
            return fail(parser, Failure::TooLarge, detail);
        return fail(parser, parser.state == State::Head ? Failure::ConnectionLost : Failure::Incomplete, detail);
    }

} // namespace

struct AnswerParser::Impl {
    using Parser = beast::http::response_parser<beast::http::string_body>;

    std::optional<Parser> parser; // replaced after each interim response
    std::string input;            // not yet parsed
    qint64 headBytes = 0;         // of all heads parsed so far
};

namespace {

    // Starts the parser of the next response on the connection, interim or final.
    void restart(AnswerParser& parser)
    {
        auto& beastParser = parser.impl->parser.emplace();
        const qint64 headerBytes = std::max<qint64>(parser.headerBytes - parser.impl->headBytes, 1);
        constexpr qint64 maxHeaderBytes = std::numeric_limits<std::uint32_t>::max();
        beastParser.header_limit(static_cast<std::uint32_t>(std::min(headerBytes, maxHeaderBytes)));
        beastParser.body_limit(static_cast<std::uint64_t>(parser.bodyBytes));
        // Each call of put() parses one element, so that the headers are copied before trailers can be added to them.
        beastParser.eager(false);
        beastParser.skip(parser.isHead);
    }

    // Called when the head is complete: copies it, and refuses a body without a verifiable end or over the limit.
    State takeHead(AnswerParser& parser)
    {
        const auto& message = parser.impl->parser->get();
        const int status = static_cast<int>(message.result_int());
        if (status < 100 || status == 101 || status > 599)
            return fail(parser, Failure::ConnectionLost, "status of the answer out of range");
        parser.status = status;
        for (const auto& field : message)
            parser.headers.push_back({ toByteArray(field.name_string()), toByteArray(field.value()) });
        const bool hasBody = !parser.isHead && status != 204 && status != 304;
        if (hasBody && parser.impl->parser->need_eof())
            return fail(parser, Failure::Incomplete, "the end of the answer cannot be verified");
        // Checked here too, because Beast 1.74 can go on with a body whose Content-Length exceeds body_limit.
        const auto length = parser.impl->parser->content_length();
        if (hasBody && length && *length > static_cast<std::uint64_t>(parser.bodyBytes))
            return fail(parser, Failure::TooLarge, "body larger than the limit");
        return parser.state = State::Body;
    }

    bool isInterim(const AnswerParser& parser)
    {
        const unsigned status = parser.impl->parser->get().result_int();
        return status >= 100 && status < 200 && status != 101;
    }

    // Some servers omit the space after the status code when there is no reason phrase; Beast refuses such a line.
    void completeStatusLine(std::string& input)
    {
        constexpr std::size_t shortLineBytes = std::string_view("HTTP/1.1 404").size();
        if (input.find("\r\n") == shortLineBytes)
            input.insert(shortLineBytes, " ");
    }

    // Passes the buffered bytes to the parser. Returns true when parsing can continue with the remaining bytes.
    bool advance(AnswerParser& parser)
    {
        AnswerParser::Impl& impl = *parser.impl;
        if (parser.state == State::Head && !impl.parser->got_some()) {
            // Beast validates even a partial status line, so the line is passed only when it is complete.
            if (impl.input.find("\r\n") == std::string::npos) {
                if (static_cast<qint64>(impl.input.size()) > parser.headerBytes)
                    fail(parser, Failure::TooLarge, "headers larger than the limit");
                return false;
            }
            completeStatusLine(impl.input);
        }
        ErrorCode error;
        const std::size_t used = impl.parser->put(boost::asio::buffer(impl.input), error);
        impl.input.erase(0, used);
        const bool needsMore = error == beast::http::error::need_more;
        if (error && !needsMore) {
            failWith(parser, error);
            return false;
        }
        if (!impl.parser->is_header_done()) {
            if (static_cast<qint64>(impl.input.size()) > parser.headerBytes)
                fail(parser, Failure::TooLarge, "headers larger than the limit");
            return false;
        }
        if (parser.state == State::Head) {
            if (isInterim(parser)) {
                impl.headBytes += static_cast<qint64>(used);
                if (impl.headBytes >= parser.headerBytes) {
                    fail(parser, Failure::TooLarge, "headers larger than the limit");
                    return false;
                }
                restart(parser);
                return !impl.input.empty();
            }
            if (takeHead(parser) == State::Failed)
                return false;
        }
        if (impl.parser->is_done()) {
            parser.body = QByteArray::fromStdString(impl.parser->get().body());
            parser.state = State::Done;
            return false;
        }
        return used > 0 && !impl.input.empty();
    }

    // Returns true if the bytes can be the start of an HTTP/1.x response. Detects another protocol before the time
    // limit.
    bool startsLikeHttp(const std::string& input)
    {
        constexpr std::string_view start = "HTTP/1.";
        const std::size_t count = std::min(start.size(), input.size());
        return input.compare(0, count, start.substr(0, count)) == 0;
    }

} // namespace

AnswerParser makeAnswerParser(const ClientLimits& limits, const QByteArray& method)
{
    AnswerParser parser;
    parser.headerBytes = limits.responseHeaderBytes;
    parser.bodyBytes = limits.responseBodyBytes;
    parser.isHead = method == "HEAD";
    parser.impl = std::make_shared<AnswerParser::Impl>();
    restart(parser);
    return parser;
}

AnswerParser::State feedAnswer(AnswerParser& parser, const QByteArray& bytes)
{
    if (parser.state == State::Done || parser.state == State::Failed)
        return parser.state;
    AnswerParser::Impl& impl = *parser.impl;
    impl.input.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    while (!impl.input.empty()) {
        if (parser.state == State::Head && !impl.parser->got_some() && !startsLikeHttp(impl.input))
            return fail(parser, Failure::ConnectionLost, "the answer is not HTTP/1.x");
        if (!advance(parser))
            break;
    }
    return parser.state;
}

void endAnswer(AnswerParser& parser)
{
    if (parser.state == State::Head)
        fail(parser, Failure::ConnectionLost, "connection closed before the end of the headers");
    else if (parser.state == State::Body)
        fail(parser, Failure::Incomplete, "connection closed before the end of the body");
}

} // namespace lacewing::http
