// Errors of the configuration layer.
#include "config/error.h"

#include "base/names.h"

namespace lacewing::config {

namespace {

    constexpr base::EnumNames<ConfigError::Code, 10> codeNames { {
        { ConfigError::Code::BadText, "badText" },
        { ConfigError::Code::BadFileName, "badFileName" },
        { ConfigError::Code::TooLarge, "tooLarge" },
        { ConfigError::Code::TooDeep, "tooDeep" },
        { ConfigError::Code::TypeConflict, "typeConflict" },
        { ConfigError::Code::BadReplace, "badReplace" },
        { ConfigError::Code::UnknownKey, "unknownKey" },
        { ConfigError::Code::BadValue, "badValue" },
        { ConfigError::Code::Contradiction, "contradiction" },
        { ConfigError::Code::BadStored, "badStored" },
    } };

    ConfigError::Code codeOf(base::InputError::Code code)
    {
        switch (code) {
        case base::InputError::Code::TooLarge:
            return ConfigError::Code::TooLarge;
        case base::InputError::Code::TooDeep:
            return ConfigError::Code::TooDeep;
        case base::InputError::Code::UnknownKey:
            return ConfigError::Code::UnknownKey;
        case base::InputError::Code::WrongType:
        case base::InputError::Code::OutOfRange:
        case base::InputError::Code::Missing:
            return ConfigError::Code::BadValue;
        case base::InputError::Code::Contradiction:
            return ConfigError::Code::Contradiction;
        case base::InputError::Code::Syntax:
        case base::InputError::Code::NotAnObject:
        case base::InputError::Code::DuplicateKey:
            return ConfigError::Code::BadText;
        }
        return ConfigError::Code::BadText;
    }

} // namespace

std::string_view nameOf(ConfigError::Code code) { return base::nameOf(codeNames, code); }

std::string describe(const ConfigError& error)
{
    return base::describe(base::InputError {
        base::InputError::Code::Syntax, error.file, error.line, error.key, error.value, error.accepted, error.detail });
}

ConfigError toConfigError(const base::InputError& error)
{
    return { codeOf(error.code), error.file, error.line, error.key, error.value, error.accepted, error.detail };
}

ConfigErrors toConfigErrors(const base::InputErrors& errors)
{
    ConfigErrors converted;
    converted.reserve(errors.size());
    for (const base::InputError& error : errors)
        converted.push_back(toConfigError(error));
    return converted;
}

} // namespace lacewing::config
