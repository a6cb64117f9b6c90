// Fuzz target: messages between daemons. The first byte selects the codec. What decodes must encode to bytes that
// decode to the same message.
#include "codec/codec.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    using namespace lacewing::codec;
    if (size == 0)
        return 0;
    const Codec codec = data[0] % 2 == 0 ? Codec::Cbor : Codec::Json;
    const QByteArray bytes(reinterpret_cast<const char*>(data + 1), static_cast<qsizetype>(size - 1));
    const auto message = decode(bytes, codec);
    if (!message)
        return 0;
    const auto again = decode(encode(message.value(), codec), codec);
    if (!again || again.value() != message.value())
        std::abort();
    return 0;
}
