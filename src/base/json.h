// JSON parser that reports syntax errors and keys by file and line.
//
// QJsonDocument reports only an offset, accepts duplicate keys (the last one wins silently) and does not record where
// a key was. The scanner adds line numbers, duplicate detection, and size and depth limits checked before any value is
// built.
//
// A path identifies a value: `services.quotes.deadlineMs`, `hosts[2].port`.
// A key with characters other than letters, digits, `_` and `-` is quoted: `services["a.b"].deadlineMs`.
#pragma once

#include "base/result.h"

#include <QByteArray>
#include <QJsonObject>
#include <QJsonValue>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lacewing::base {

// One error in a settings file or in operator input. `line` counts from 1; 0 means that the line is unknown.
struct InputError {
    enum class Code {
        Syntax,
        NotAnObject,
        DuplicateKey,
        TooLarge,
        TooDeep,
        UnknownKey,
        WrongType,
        OutOfRange,
        Missing,
        Contradiction,
    };

    Code code = Code::Syntax;
    std::string file;
    int line = 0;
    std::string key;      // path of the value; empty for the whole file
    std::string value;    // the value as JSON text, at most 80 bytes; empty when there is none
    std::string accepted; // accepted type and range; empty when it does not apply
    std::string detail;   // one sentence without a full stop
};

using InputErrors = std::vector<InputError>;

std::string_view nameOf(InputError::Code code);

// `FILE:LINE: KEY: DETAIL (value VALUE, accepted RANGE)`; absent parts are left out.
std::string describe(const InputError& error);

struct JsonLimits {
    std::size_t bytes = 1'000'000; // longest text
    int depth = 32;                // deepest nesting of objects and arrays
};

// Line numbers of the keys of one text, by path. A path that begins on the line of its parent is omitted.
struct KeyLines {
    std::unordered_map<std::string, int> lines;
};

struct ParsedJson {
    QJsonObject object;
    KeyLines keys;
};

// Position of a path in the input. `file` is empty and `line` 0 when unknown.
struct Location {
    std::string file;
    int line = 0;

    bool operator==(const Location&) const = default;
};

using Locator = std::function<Location(const std::string& path)>;

// Parses a text whose top level is an object. All duplicate keys are reported, not only the first.
Result<ParsedJson, InputErrors> parseJsonObject(std::string_view text, std::string_view file, const JsonLimits& = {});

// Line of the key at `path`, or of the closest parent that is known; 1 when none is known.
int lineOfPath(const KeyLines& keys, std::string_view path);

// Line of the key at `path` in a text that may contain errors.
int lineOfPath(std::string_view text, std::string_view path);

// Locator for a single file. `keys` is copied.
Locator locatorFor(std::string file, KeyLines keys);

// Path of `key` inside `parent`, and of element `index` of the array at `parent`.
std::string childPath(std::string_view parent, std::string_view key);
std::string elementPath(std::string_view parent, std::size_t index);

// Path of the value that contains `path`; empty at the top level.
std::string parentPath(std::string_view path);

// Value of a JSON string; empty when the value is not a string.
std::string textOf(const QJsonValue& value);

// The object in stored or received bytes; nullopt if they hold no object. parseJsonObject() locates errors.
std::optional<QJsonObject> parseObject(const QByteArray& bytes);

// Compact JSON text of any value; longer text is truncated to `bytes` and ends in "...".
std::string jsonText(const QJsonValue& value, std::size_t bytes = 80);

} // namespace lacewing::base
