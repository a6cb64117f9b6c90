// Errors of the configuration layer.
#pragma once

#include "base/json.h"

#include <string>
#include <string_view>
#include <vector>

namespace lacewing::config {

struct ConfigError {
    enum class Code {
        BadText,       // a file is not a JSON object, or repeats a key
        BadFileName,   // name that the merge order does not accept
        TooLarge,      // one file or the whole set exceeds its bound
        TooDeep,       // nesting exceeds its bound
        TypeConflict,  // object and non-object meet without $replace
        BadReplace,    // $replace has siblings
        UnknownKey,    // key that the policy does not know
        BadValue,      // wrong type or out of range
        Contradiction, // values that exclude each other
        BadStored,     // value of the store that cannot be decoded
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
