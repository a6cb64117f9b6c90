// Merges the operators' files into one object, in the byte order of their names.
//
// Objects merge by key, arrays and scalars replace, null removes. An object and a non-object at the same path are an
// error unless the later file wraps its value as {"$replace": value}. The result depends only on the set of files:
// removing a file restores the result without it.
#pragma once

#include "base/result.h"
#include "config/error.h"

#include <QJsonObject>
#include <map>
#include <string>
#include <unordered_map>

namespace lacewing::config {

// Operators' files: name to JSON text (UTF-8).
using Files = std::map<std::string, std::string>;

struct MergeLimits {
    std::size_t fileBytes = 262'144;  // one file
    std::size_t totalBytes = 900'000; // all names and texts; the stored value is below 1 MB
    std::size_t files = 1000;
    std::size_t nameBytes = 100;
    int depth = 16; // nesting of objects and arrays
};

struct MergedConfig {
    QJsonObject object;
    std::unordered_map<std::string, base::Location> origins;  // by path: the file and line that decided the value
    std::unordered_map<std::string, base::Location> removals; // by path: the null that removed it, unless set again
};

// Merges all files. On failure every fault of every file is returned.
base::Result<MergedConfig, ConfigErrors> mergeFiles(const Files& files, const MergeLimits& limits = {});

// Location of a path in the merged object, or of its closest known parent.
base::Location locate(const MergedConfig& merged, const std::string& path);
base::Locator locatorFor(const MergedConfig& merged); // refers to `merged`

// Names consist of letters, digits, `_`, `-` and `.`, start with a letter or digit and end in `.json`. Two names that
// differ only in case are refused by mergeFiles, because some file systems hold only one of them.
bool isFileName(const std::string& name, const MergeLimits& limits = {});

} // namespace lacewing::config
