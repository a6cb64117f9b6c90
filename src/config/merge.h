// Merges the operators' configuration files into one JSON object, in the byte order of the file names.
//
// Objects are merged by key, arrays and scalars replace the earlier value, and null removes the key. An object and a
// non-object at the same path are an error unless the later file wraps its value as {"$replace": value}. The result
// depends only on the set of files: removing a file restores the result without it.
#pragma once

#include "base/result.h"
#include "config/error.h"

#include <QJsonObject>
#include <map>
#include <string>
#include <unordered_map>

namespace lacewing::config {

// Configuration files: file name to JSON text (UTF-8).
using Files = std::map<std::string, std::string>;

struct MergeLimits {
    std::size_t fileBytes = 262'144;  // of one file
    std::size_t totalBytes = 900'000; // of all names and texts; the store accepts values up to 1 MB
    std::size_t files = 1000;
    std::size_t nameBytes = 100;
    int depth = 16; // nesting of objects and arrays
};

struct MergedConfig {
    QJsonObject object;
    std::unordered_map<std::string, base::Location> origins;  // by path: file and line that set the value
    std::unordered_map<std::string, base::Location> removals; // by path: the null that removed it, unless set again
};

// Merges all files. Names and sizes are checked first; if they are valid, the errors of all files are returned
// together.
base::Result<MergedConfig, ConfigErrors> mergeFiles(const Files& files, const MergeLimits& limits = {});

// Location of a path in the merged object, or of the closest parent whose location is known.
base::Location locate(const MergedConfig& merged, const std::string& path);
base::Locator locatorFor(const MergedConfig& merged); // keeps a reference to `merged`

// True for a name of letters, digits, `_`, `-` and `.` that starts with a letter or digit and ends in `.json`.
// mergeFiles also refuses two names that differ only in case, because a case-insensitive file system can store only one
// of them.
bool isFileName(const std::string& name, const MergeLimits& limits = {});

} // namespace lacewing::config
