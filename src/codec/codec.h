// Encoding of messages between daemons: CBOR (default) and JSON.
//
// Both codecs carry one map {"type": <name>, ...fields}. Size, nesting depth and the number of items are checked by a
// scan of the bytes before a value is built, because the builders of Qt allocate for what the bytes claim.
// Field types are strict: a wrong type, a value out of range or a missing field is an error. Unknown fields are
// ignored, so that daemons of two versions can exchange messages while a fleet is replaced.
#pragma once

#include "base/names.h"
#include "base/result.h"
#include "codec/message.h"

#include <QByteArray>
#include <string>

namespace lacewing::codec {

enum class Codec { Cbor, Json };

constexpr base::EnumNames<Codec, 2> codecNames { { { Codec::Cbor, "cbor" }, { Codec::Json, "json" } } };

struct CodecLimits {
    std::size_t maxBytes = 3'000'000; // config/current has at most 1 MB in JSON; also for NNG_OPT_RECVMAXSZ
    std::size_t maxDepth = 8;         // nested arrays and maps; the deepest message uses 5
    std::size_t maxItems = 100'000;   // values in one message, keys included
};

struct CodecError {
    enum class Code {
        TooLarge,     // more than maxBytes
        TooDeep,      // deeper than maxDepth
        TooManyItems, // more than maxItems
        Malformed,    // not valid CBOR or JSON, or bytes after the value
        UnknownType,  // no message of this name
        MissingField,
        WrongType,
        OutOfRange,
    };

    Code code = Code::Malformed;
    std::string detail; // field path and reason, no content of the message
};

constexpr base::EnumNames<CodecError::Code, 8> codecErrorNames { {
    { CodecError::Code::TooLarge, "tooLarge" },
    { CodecError::Code::TooDeep, "tooDeep" },
    { CodecError::Code::TooManyItems, "tooManyItems" },
    { CodecError::Code::Malformed, "malformed" },
    { CodecError::Code::UnknownType, "unknownType" },
    { CodecError::Code::MissingField, "missingField" },
    { CodecError::Code::WrongType, "wrongType" },
    { CodecError::Code::OutOfRange, "outOfRange" },
} };

// Bytes of the message. Strings must be valid UTF-8; other bytes are replaced by U+FFFD. Unsigned values above 2^63-1
// are encoded as 2^63-1.
QByteArray encode(const Message& message, Codec codec);

// Message of the bytes, or the first error found.
base::Result<Message, CodecError> decode(const QByteArray& bytes, Codec codec, const CodecLimits& limits = {});

} // namespace lacewing::codec
