// Incremental parser of one HTTP/1.x response.
//
// A response is complete only when its end is verified: by its length, by the last chunk, or because it has no body. A
// response that ends only with the connection is refused, because a truncation could not be detected.
#pragma once

#include "http/client.h"

#include <memory>

namespace lacewing::http {

struct AnswerParser {
    enum class State { Head, Body, Done, Failed };

    // --- Limits ---
    qint64 headerBytes = 0; // of all heads, interim (1xx) responses included
    qint64 bodyBytes = 0;
    bool isHead = false; // response to a HEAD request: no body

    // --- State ---
    struct Impl; // Boost.Beast stays out of this header, because it is slow to compile
    std::shared_ptr<Impl> impl;
    State state = State::Head;

    // --- Response ---
    int status = 0; // 0 until the head is complete
    Headers headers;
    QByteArray body;

    // --- Failure; valid in state Failed ---
    Failure failure = Failure::None;
    QByteArray detail;
};

AnswerParser makeAnswerParser(const ClientLimits& limits, const QByteArray& method);

// Adds bytes and returns the new state. Bytes after the end of the response are ignored: a Client does not use the
// connection again.
AnswerParser::State feedAnswer(AnswerParser& parser, const QByteArray& bytes);

// To be called when the connection has ended: a response that is not complete becomes a failure.
void endAnswer(AnswerParser& parser);

} // namespace lacewing::http
