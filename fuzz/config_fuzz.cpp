// Fuzz target for the operator's configuration. The input is split at NUL bytes into files, which are merged and
// validated as a policy, and is also decoded as a stored value. Whatever is accepted must survive encoding and
// decoding.
#include "config/policy.h"
#include "config/revision.h"

#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    using namespace lacewing::config;
    const std::string input(reinterpret_cast<const char*>(data), size);
    Files files;
    std::size_t start = 0;
    constexpr std::size_t maxFiles = 8;
    while (files.size() < maxFiles) {
        const std::size_t end = input.find('\0', start);
        files.emplace(std::to_string(files.size()) + ".json", input.substr(start, end - start));
        if (end == std::string::npos)
            break;
        start = end + 1;
    }
    const auto policy = parseFiles(files);
    if (policy.has_value() && !parsePolicy(toJson(policy.value())).has_value())
        std::abort();
    const auto stored = decodeStored(input);
    if (stored.has_value()) {
        const auto text = encode(stored.value());
        if (text.has_value() && !(decodeStored(text.value()).value() == stored.value()))
            std::abort();
    }
    return 0;
}
