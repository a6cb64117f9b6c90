// Fuzz target: the value of a shard in the store. What decodes must encode, and the encoded value must decode again to
// the same text.
#include "batch/shard.h"

#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    using namespace lacewing::batch;
    const ShardLimits limits;
    auto shard = decode(std::string_view(reinterpret_cast<const char*>(data), size), limits);
    if (shard.has_error())
        return 0;
    const auto text = encode(shard.value(), limits);
    if (text.has_error())
        return 0;
    auto again = decode(text.value(), limits);
    if (again.has_error() || encode(again.value(), limits).value() != text.value())
        std::abort();
    return 0;
}
