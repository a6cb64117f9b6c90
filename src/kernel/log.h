// Structured logs: one JSON object a line on standard error, written through log4cxx.
//
// Fields of every line: time (UTC, ISO 8601 with milliseconds), level, dataCentre, daemon, service, event. Callers add
// identities (request, job, worker ...) and numbers with their unit in the key. Request bodies, header values of
// callers and secrets are never logged.
#pragma once

#include "base/names.h"

#include <QJsonValue>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace lacewing::kernel {

enum class LogLevel { Debug, Info, Warning, Error };

constexpr base::EnumNames<LogLevel, 4> logLevelNames { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} };

struct LogField {
    const char* key;
    QJsonValue value;
};

using LogFields = std::initializer_list<LogField>;

// Sets up the appender and the fields that are equal on every line of this process. Call once.
void openLog(LogLevel level, const std::string& dataCentre, const std::string& daemon);

// Takes effect on the next line; may be called while the daemon runs.
void setLogLevel(LogLevel level);
LogLevel logLevel();

// Writes one line when the level is enabled.
void logEvent(LogLevel level, std::string_view service, std::string_view event, LogFields fields = {});

} // namespace lacewing::kernel
