// Pieces of a list and their division by the next digit of the key.
#include "daemon/list_cursor.h"

#include <string_view>
#include <vector>

namespace lacewing::daemon {

namespace {

    constexpr std::string_view digits = "0123456789ABCDEFabcdef"; // in the order of their bytes

    // The parts of the piece that are left to read, in order.
    std::vector<ListPiece> divide(const ListPiece& piece)
    {
        std::vector<ListPiece> parts;
        for (const char digit : digits) {
            ListPiece part { piece.prefix + digit, {} };
            if (piece.after.starts_with(part.prefix))
                part.after = piece.after;
            else if (part.prefix < piece.after)
                continue; // read
            parts.push_back(std::move(part));
        }
        return parts;
    }

} // namespace

ListCursor beginList(std::string prefix)
{
    ListCursor cursor;
    cursor.pieces.push_back({ prefix, {} });
    cursor.prefix = std::move(prefix);
    return cursor;
}

bool isComplete(const ListCursor& cursor) { return cursor.pieces.empty(); }

void applyPage(ListCursor& cursor, const std::string& lastKey, bool isLast, std::int64_t revision, std::int64_t bytes)
{
    if (cursor.pages == 0)
        cursor.revision = revision;
    ++cursor.pages;
    cursor.bytes += bytes;
    if (isLast)
        cursor.pieces.pop_front();
    else
        cursor.pieces.front().after = lastKey;
}

void applyFailure(ListCursor& cursor, std::int64_t receivedBytes)
{
    ++cursor.failures;
    if (receivedBytes < minDividedBytes)
        return;
    ++cursor.interruptions;
    const ListPiece piece = cursor.pieces.front();
    if (piece.prefix.size() >= cursor.prefix.size() + maxDivisions)
        return;
    cursor.pieces.pop_front();
    const std::vector<ListPiece> parts = divide(piece);
    cursor.pieces.insert(cursor.pieces.begin(), parts.begin(), parts.end());
}

} // namespace lacewing::daemon
