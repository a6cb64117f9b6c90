// Framing of HTTP/1.x requests: finds the end of a request and validates its head.
//
// Pure functions over bytes. Input that two parsers could interpret differently (bare line feeds, folded lines,
// differing lengths, length together with chunked encoding) is refused to prevent request smuggling, where a second
// request is hidden in the first.
#pragma once

#include "base/result.h"
#include "http/message.h"
#include "http/server.h"

#include <optional>

namespace lacewing::http {

struct RequestHead {
    // --- Request line ---
    QByteArray method;
    QByteArray target; // origin form: path and query
    int minorVersion = 1;

    // --- Headers ---
    Headers headers;
    qint64 contentLength = 0; // bytes; 0 when chunked
    bool isChunked = false;
    bool closeAfter = false;      // close the connection after the response
    bool expectsContinue = false; // `Expect: 100-continue`
};

struct FramingError {
    Refusal refusal = Refusal::BadRequest;
    QByteArray detail;
};

// HTTP status of a refusal; 0 when the connection is closed without a response.
int refusalStatus(Refusal refusal);

// Parses a head without the empty line at its end. Checks the number of headers; the calling function checks the size.
base::Result<RequestHead, FramingError> parseHead(const QByteArray& bytes, const ServerLimits& limits);

// Body limit for a target in bytes.
qint64 bodyLimit(const ServerLimits& limits, const QByteArray& target);

// Splits one header line without its line end; nullopt when it is folded, malformed or has control characters.
std::optional<Header> parseHeaderField(const QByteArray& line);

struct BodyFraming {
    std::optional<qint64> length; // bytes
    bool isChunked = false;
};

// How the headers delimit a body; nullopt when they contradict each other or name an encoding other than chunked.
std::optional<BodyFraming> findBodyFraming(const Headers& headers);

// Incremental decoder of chunked bodies; the input may be split at any byte.
struct ChunkDecoder {
    enum class State { Size, Data, DataEnd, Trailer, Done };

    // --- Limits ---
    qint64 bodyBytes = 0;    // of the decoded body
    qint64 trailerBytes = 0; // of all trailer lines

    // --- State ---
    State state = State::Size;
    qint64 remaining = 0; // bytes left of the current chunk
    qint64 trailerRead = 0;
    QByteArray body;
};

// Consumes what can be decoded from the front of `input`; returns true when the body is complete.
base::Result<bool, FramingError> decodeChunks(ChunkDecoder& decoder, QByteArray& input);

} // namespace lacewing::http
