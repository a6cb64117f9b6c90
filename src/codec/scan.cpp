// Iterative scanners: their own memory is bounded by the depth limit.
#include "codec/scan.h"

#include <vector>

namespace lacewing::codec {

namespace {

    using Code = CodecError::Code;

    constexpr int majorBytes = 2;
    constexpr int majorText = 3;
    constexpr int majorArray = 4;
    constexpr int majorMap = 5;
    constexpr int majorTag = 6;

    CodecError tooDeep(const CodecLimits& limits)
    {
        return { Code::TooDeep, "deeper than " + std::to_string(limits.maxDepth) };
    }

    CodecError tooManyItems(const CodecLimits& limits)
    {
        return { Code::TooManyItems, "more than " + std::to_string(limits.maxItems) + " items" };
    }

    struct CborHead {
        int major = 0;
        std::uint64_t argument = 0;
    };

    // Reads one head. nullopt when the bytes end or the head uses an indefinite length or a reserved value.
    std::optional<CborHead> readHead(const QByteArray& bytes, std::size_t& at)
    {
        const std::size_t size = static_cast<std::size_t>(bytes.size());
        if (at >= size)
            return std::nullopt;
        const auto initial = static_cast<unsigned char>(bytes[static_cast<qsizetype>(at++)]);
        CborHead head;
        head.major = initial >> 5;
        const unsigned info = initial & 0x1FU;
        if (info < 24) {
            head.argument = info;
            return head;
        }
        if (info > 27)
            return std::nullopt;
        const std::size_t length = std::size_t { 1 } << (info - 24);
        if (length > size - at)
            return std::nullopt;
        for (std::size_t index = 0; index < length; ++index)
            head.argument = (head.argument << 8) | static_cast<unsigned char>(bytes[static_cast<qsizetype>(at++)]);
        return head;
    }

} // namespace

std::optional<CodecError> scanCbor(const QByteArray& bytes, const CodecLimits& limits)
{
    const std::size_t size = static_cast<std::size_t>(bytes.size());
    std::size_t at = 0;
    std::size_t items = 0;
    std::vector<std::uint64_t> open { 1 }; // items that are still to come, by level
    while (!open.empty()) {
        if (open.back() == 0) {
            open.pop_back();
            continue;
        }
        --open.back();
        if (++items > limits.maxItems)
            return tooManyItems(limits);
        const std::optional<CborHead> head = readHead(bytes, at);
        if (!head)
            return CodecError { Code::Malformed, "incomplete or unsupported CBOR item" };
        if (head->major == majorTag)
            return CodecError { Code::Malformed, "CBOR tags are not used" };
        if (head->major == majorBytes || head->major == majorText) {
            if (head->argument > size - at)
                return CodecError { Code::Malformed, "string is longer than the message" };
            at += static_cast<std::size_t>(head->argument);
        } else if (head->major == majorArray || head->major == majorMap) {
            // Each item takes at least one byte, so a longer claim is false.
            if (head->argument > size - at)
                return CodecError { Code::Malformed, "array or map is longer than the message" };
            if (open.size() > limits.maxDepth)
                return tooDeep(limits);
            open.push_back(head->major == majorMap ? head->argument * 2 : head->argument);
        }
    }
    if (at != size)
        return CodecError { Code::Malformed, "bytes after the value" };
    return std::nullopt;
}

std::optional<CodecError> scanJson(const QByteArray& bytes, const CodecLimits& limits)
{
    std::size_t depth = 0;
    std::size_t items = 1;
    bool isInString = false;
    bool isEscaped = false;
    for (const char character : bytes) {
        if (isInString) {
            if (isEscaped)
                isEscaped = false;
            else if (character == '\\')
                isEscaped = true;
            else if (character == '"')
                isInString = false;
            continue;
        }
        switch (character) {
        case '"':
            isInString = true;
            break;
        case '[':
        case '{':
            if (++depth > limits.maxDepth)
                return tooDeep(limits);
            ++items;
            break;
        case ']':
        case '}':
            if (depth > 0)
                --depth;
            break;
        case ',':
        case ':':
            ++items;
            break;
        default:
            break;
        }
        if (items > limits.maxItems)
            return tooManyItems(limits);
    }
    return std::nullopt; // the parser finds malformed text
}

} // namespace lacewing::codec
