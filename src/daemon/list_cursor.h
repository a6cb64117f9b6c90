// Position in a list of records that is read in pieces: what has been read stays read when a call fails, and a long
// piece that does not come through completely is divided.
//
// Pure: the caller makes the calls.
//
// Invariants
//   - Every key under the prefix that was there throughout lies in exactly one piece that has been or will be read.
//   - Keys continue with a hexadecimal digit for the first `maxDivisions` characters after the prefix, as ids of jobs
//     do; pieces are divided by that digit.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace lacewing::daemon {

// The keys that begin with `prefix` and follow `after`, which is empty or begins with it.
struct ListPiece {
    std::string prefix;
    std::string after;
};

struct ListCursor {
    std::string prefix;
    std::deque<ListPiece> pieces; // not read yet; the front is next
    std::int64_t revision = 0;    // store revision as of the first page: later changes are read by a watch; 0: no page
    std::int64_t pages = 0;       // read
    std::int64_t bytes = 0;       // of these pages
    std::int64_t failures = 0;    // calls
    std::int64_t interruptions = 0; // failed calls after which a piece was divided, or could not be divided further
};

// Most digits by which a piece is narrowed: 16^4 pieces, of a few records each at a million of them.
constexpr std::size_t maxDivisions = 4;
// Bytes of an answer from which a piece is divided when the rest does not arrive: a quarter of the store's longest
// page. The length of a shorter one is not the reason for the failure, and dividing it would cost more calls than it
// saves.
constexpr std::int64_t minDividedBytes = 256LL * 1024;

ListCursor beginList(std::string prefix);
bool isComplete(const ListCursor& cursor);
// A page of the first piece was read up to lastKey.
void applyPage(ListCursor& cursor, const std::string& lastKey, bool isLast, std::int64_t revision, std::int64_t bytes);
// The call for the first piece failed after so many bytes of its answer.
void applyFailure(ListCursor& cursor, std::int64_t receivedBytes);

} // namespace lacewing::daemon
