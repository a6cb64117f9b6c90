// Tests of the request and response parsers without sockets.
#include "http/answer.h"
#include "http/framing.h"

#include <QList>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing::http;
using State = AnswerParser::State;

// Complete responses, at least one for each kind of framing.
const std::vector<QByteArray>& completeAnswers()
{
    static const QByteArray chunkedHead
        = "HTTP/1.1 503 Service Unavailable\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n";
    static const QByteArray interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    static const std::vector<QByteArray> answers {
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        chunkedHead + "5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\nT: u\r\n\r\n",
        interim + "HTTP/1.0 201 Created\r\nContent-Length: 1\r\n\r\nx",
        "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n",
        "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n",
    };
    return answers;
}

AnswerParser parserFor(const QByteArray& method = "GET") { return makeAnswerParser(ClientLimits {}, method); }

class HttpParserTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpParserTest);
    CPPUNIT_TEST(answerDoesNotDependOnSegmentation);
    CPPUNIT_TEST(truncatedAnswerIsNeverComplete);
    CPPUNIT_TEST(arbitraryBytesEndInAState);
    CPPUNIT_TEST(chunksDoNotDependOnSegmentation);
    CPPUNIT_TEST(changedRequestHeadsNeverHideABody);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a result that depends on how the network splits the response.
    void answerDoesNotDependOnSegmentation()
    {
        CPPUNIT_ASSERT(rc::check("any pieces of an answer give the same result", [] {
            const QByteArray bytes = *rc::gen::elementOf(completeAnswers());
            AnswerParser whole = parserFor();
            RC_ASSERT(feedAnswer(whole, bytes) == State::Done);
            AnswerParser pieces = parserFor();
            qsizetype position = 0;
            while (position < bytes.size()) {
                const qsizetype size = *rc::gen::inRange<qsizetype>(1, 20);
                const State state = feedAnswer(pieces, bytes.mid(position, size));
                position += size;
                RC_ASSERT((state == State::Done) == (position >= bytes.size()));
            }
            RC_ASSERT(pieces.status == whole.status);
            RC_ASSERT(pieces.body == whole.body);
            RC_ASSERT(pieces.headers.size() == whole.headers.size());
        }));
    }

    // Guards against a truncated response that is delivered as complete (invariant I5): tries every prefix of each
    // response.
    void truncatedAnswerIsNeverComplete()
    {
        for (const QByteArray& bytes : completeAnswers()) {
            for (qsizetype size = 0; size < bytes.size(); ++size) {
                AnswerParser parser = parserFor();
                CPPUNIT_ASSERT(feedAnswer(parser, bytes.left(size)) != State::Done);
                endAnswer(parser);
                CPPUNIT_ASSERT(parser.state == State::Failed);
                CPPUNIT_ASSERT(parser.failure != Failure::None);
                CPPUNIT_ASSERT(parser.body.isEmpty());
            }
        }
    }

    // Guards against bytes that make the parser read out of bounds or loop (detected with the sanitizers).
    void arbitraryBytesEndInAState()
    {
        CPPUNIT_ASSERT(rc::check("a damaged answer is done or failed after its end", [] {
            QByteArray bytes = *rc::gen::elementOf(completeAnswers());
            const int changes = *rc::gen::inRange(1, 6);
            for (int change = 0; change < changes; ++change)
                bytes[*rc::gen::inRange<qsizetype>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            AnswerParser parser = parserFor(*rc::gen::element<QByteArray>("GET", "HEAD"));
            feedAnswer(parser, bytes);
            endAnswer(parser);
            RC_ASSERT(parser.state == State::Done || parser.state == State::Failed);
        }));
    }

    // Guards against a body that depends on how the network splits the chunks.
    void chunksDoNotDependOnSegmentation()
    {
        CPPUNIT_ASSERT(rc::check("any pieces of any chunks give the body", [] {
            const auto chunks = *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty<std::string>());
            QByteArray encoded;
            QByteArray body;
            for (const std::string& chunk : chunks) {
                const QByteArray data = QByteArray::fromStdString(chunk);
                encoded += QByteArray::number(data.size(), 16) + "\r\n" + data + "\r\n";
                body += data;
            }
            encoded += "0\r\n\r\n";
            ChunkDecoder decoder;
            decoder.bodyBytes = body.size();
            decoder.trailerBytes = 100;
            QByteArray input;
            bool isComplete = false;
            for (qsizetype position = 0; position < encoded.size();) {
                const qsizetype size = *rc::gen::inRange<qsizetype>(1, 30);
                input += encoded.mid(position, size);
                position += size;
                const auto result = decodeChunks(decoder, input);
                RC_ASSERT(result.has_value());
                RC_ASSERT(result.value() == (position >= encoded.size()));
                isComplete = result.value();
            }
            RC_ASSERT(isComplete);
            RC_ASSERT(decoder.body == body);
        }));
    }

    // Guards against request smuggling (a second request hidden in the first): an accepted head has one unambiguous
    // length.
    void changedRequestHeadsNeverHideABody()
    {
        CPPUNIT_ASSERT(rc::check("an accepted head names its length at most once", [] {
            const QByteArray line = *rc::gen::element<QByteArray>("Content-Length: 3", "content-length:3",
                "Content-Length: 4", "Content-Length: 3, 3", "Content-Length: +3", "Content-Length : 3",
                "Transfer-Encoding: chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: xchunked",
                "Transfer-Encoding:\x0b"
                "chunked",
                "X: y");
            const QByteArray second = *rc::gen::element<QByteArray>("Content-Length: 3", "Content-Length: 0x3",
                "Transfer-Encoding: chunked", " folded", "X: y", "X: y\nA: b");
            const QByteArray bytes = "POST / HTTP/1.1\r\nHost: x\r\n" + line + "\r\n" + second;
            const auto head = parseHead(bytes, ServerLimits {});
            if (!head)
                return;
            const Headers& headers = head.value().headers;
            RC_ASSERT(!hasHeader(headers, "Content-Length") || !hasHeader(headers, "Transfer-Encoding"));
            RC_ASSERT(head.value().isChunked == hasHeader(headers, "Transfer-Encoding"));
            const qint64 declared = headerValue(headers, "Content-Length").split(',')[0].toLongLong();
            RC_ASSERT(head.value().isChunked || (declared > 0 && head.value().contentLength == declared));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpParserTest);

} // namespace
