// Difference between two merged configurations, by path, with the file and line that set each value.
#pragma once

#include "config/merge.h"

#include <QJsonObject>
#include <string>
#include <vector>

namespace lacewing::config {

struct Change {
    enum class Kind { Added, Removed, Changed };

    Kind kind = Kind::Changed;
    std::string path;
    std::string before;          // JSON text, at most 80 bytes; empty for Added
    std::string after;           // JSON text, at most 80 bytes; empty for Removed
    base::Location beforeOrigin; // file and line of the earlier value; empty for Added
    base::Location afterOrigin;  // file and line of the later value; for Removed: of the null, if one removed the value

    bool operator==(const Change&) const = default;
};

std::string_view nameOf(Change::Kind kind);

// Changes from `before` to `after`, sorted by path. Objects are compared by key, arrays as a whole.
std::vector<Change> diff(const MergedConfig& before, const MergedConfig& after);

// `added PATH AFTER (FILE:LINE)`, `removed PATH BEFORE (FILE:LINE)`, `changed PATH BEFORE -> AFTER (FILE:LINE)`.
std::string describe(const Change& change);

} // namespace lacewing::config
