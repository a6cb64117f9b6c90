// Fuzz target for request heads, chunked bodies and answers. The first byte sets the size of the pieces in which the
// answer is fed to the parser; the result must not depend on it.
#include "http/answer.h"
#include "http/framing.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    using namespace lacewing::http;
    if (size == 0)
        return 0;
    const QByteArray bytes(reinterpret_cast<const char*>(data + 1), static_cast<qsizetype>(size - 1));
    static_cast<void>(parseHead(bytes, ServerLimits {}));
    ChunkDecoder decoder;
    decoder.bodyBytes = 1000;
    decoder.trailerBytes = 1000;
    QByteArray chunks = bytes;
    static_cast<void>(decodeChunks(decoder, chunks));

    AnswerParser whole = makeAnswerParser(ClientLimits {}, "GET");
    feedAnswer(whole, bytes);
    endAnswer(whole);
    AnswerParser pieces = makeAnswerParser(ClientLimits {}, "GET");
    const qsizetype step = data[0] % 16 + 1;
    for (qsizetype position = 0; position < bytes.size(); position += step)
        feedAnswer(pieces, bytes.mid(position, step));
    endAnswer(pieces);
    const bool isSame
        = whole.state == pieces.state && (whole.state != AnswerParser::State::Done || whole.body == pieces.body);
    if (!isSame)
        std::abort();
    return 0;
}
