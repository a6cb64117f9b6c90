// Scan of encoded bytes without building values: checks nesting depth and the number of items.
#pragma once

#include "codec/codec.h"

#include <optional>

namespace lacewing::codec {

// First violation of the limits, or of the structure in CBOR; nullopt when the bytes may be given to the parser.
std::optional<CodecError> scanCbor(const QByteArray& bytes, const CodecLimits& limits);
std::optional<CodecError> scanJson(const QByteArray& bytes, const CodecLimits& limits);

} // namespace lacewing::codec
