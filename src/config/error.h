// Errors of the configuration layer.
#pragma once

#include "base/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewing::config {

struct ConfigError {
    enum class Code {
        BadText,       // file is not a JSON object, or an object has a duplicate key
        BadFileName,   // file name is not valid, or differs from another only in case
        TooLarge,      // a file, all files together, their number or the stored value exceeds its limit
        TooDeep,       // nesting exceeds its limit
        TypeConflict,  // object and non-object at the same path without $replace
        BadReplace,    // $replace with sibling keys, directly nested, or at the top level of a file
        UnknownKey,    // key that is not in the schema
        BadValue,      // value missing, of the wrong type or out of range
        Contradiction, // values that contradict each other
        BadStored,     // stored value cannot be decoded
    };

    Code code = Code::BadText;
    std::string file;
    int line = 0;    // from 1; 0: unknown
    std::string key; // path, see base/json.h
    std::string value;
    std::string accepted;
    std::string detail;
};

using ConfigErrors = std::vector<ConfigError>;

std::string_view nameOf(ConfigError::Code code);

// `FILE:LINE: KEY: DETAIL (value VALUE, accepted RANGE)`.
std::string describe(const ConfigError& error);

ConfigError toConfigError(const base::InputError& error);
ConfigErrors toConfigErrors(const base::InputErrors& errors);

} // namespace lacewing::config
