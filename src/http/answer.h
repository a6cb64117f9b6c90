// Incremental parser of one HTTP/1.x answer.
//
// An answer is complete only when its end is verified: by its length, by the last chunk, or because it has no body.
// An answer that only ends with the connection is refused, because its truncation would be invisible.
#pragma once

#include "http/client.h"

#include <memory>

namespace lacewing::http {

struct AnswerParser {
    enum class State { Head, Body, Done, Failed };

    // --- Limits ---
    qint64 headerBytes = 0; // of all heads, interim answers included
    qint64 bodyBytes = 0;
    bool isHead = false; // answer to a HEAD request: no body

    // --- State ---
    struct Impl; // Boost.Beast stays out of this header, because it is slow to compile
    std::shared_ptr<Impl> impl;
    State state = State::Head;

    // --- Answer ---
    int status = 0; // 0 until the head is complete
    Headers headers;
    QByteArray body;

    // --- Failure; valid in state Failed ---
    Failure failure = Failure::None;
    QByteArray detail;
};

AnswerParser makeAnswerParser(const ClientLimits& limits, const QByteArray& method);

// Adds bytes and returns the new state. Bytes after the end are ignored: the connection is not used again.
AnswerParser::State feedAnswer(AnswerParser& parser, const QByteArray& bytes);

// The connection has ended: an answer that is not complete becomes a failure.
void endAnswer(AnswerParser& parser);

} // namespace lacewing::http
