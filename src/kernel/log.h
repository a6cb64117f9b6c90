// Structured logs: one JSON object a line on standard output, through log4cxx.
//
// Fields of every line: time (UTC, ISO 8601 with milliseconds), level, dataCentre, daemon, service, event. Callers add
// identities (request, job, worker ...) and numbers with their unit in the key. Request bodies, header values of
// callers and secrets are never logged.
//
// Lines are buffered and written by flushLog(), which never blocks: when the reader is slow, the buffer fills up to its
// limit and further lines are dropped and counted. The number of lines a second is limited as well. Both limits keep a
// share for lines from LogLevel::Notice up, and for tracked ones below it, see base/event_budget.h.
#pragma once

#include "base/event_budget.h"
#include "base/names.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace lacewing::kernel {

enum class LogLevel {
    Debug,
    Info,   // routine: one of many alike
    Notice, // normal, but significant: a change of what the process believes
    Warning,
    Error,
};

constexpr base::EnumNames<LogLevel, 5> logLevelNames { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Notice, "notice" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
} };

using LogValue = std::variant<std::int64_t, bool, std::string>;

struct LogField {
    LogField(const char* fieldKey, std::string_view text)
        : key(fieldKey)
        , value(std::string(text))
    {
    }
    LogField(const char* fieldKey, const std::string& text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(const char* fieldKey, const char* text)
        : key(fieldKey)
        , value(std::string(text))
    {
    }
    LogField(const char* fieldKey, bool flag)
        : key(fieldKey)
        , value(flag)
    {
    }
    template <std::integral Number>
    LogField(const char* fieldKey, Number number)
        : key(fieldKey)
        , value(static_cast<std::int64_t>(number))
    {
    }

    const char* key;
    LogValue value;
};

using LogFields = std::initializer_list<LogField>;

struct LogLimits {
    std::size_t bufferBytes = 262144; // bytes buffered for a slow reader
    int linesPerSecond = 3000;        // more are dropped, except errors
};

struct LogCounters {
    std::uint64_t written = 0; // lines buffered for writing
    base::EventDrops dropped;  // lines over a limit
};

// Sets up the appender and the fields that are equal on every line of this process. Call once. `descriptor` is the file
// that receives the lines; it is switched to non-blocking mode.
void openLog(LogLevel level, const std::string& dataCentre, const std::string& daemon, LogLimits limits = {},
    int descriptor = 1);

// Takes effect on the next line; may be called while the daemon runs.
void setLogLevel(LogLevel level);
LogLevel logLevel();

// Buffers one line when the level is enabled.
void logEvent(LogLevel level, std::string_view service, std::string_view event, LogFields fields = {});

constexpr base::Significance significanceOf(LogLevel level)
{
    return level >= LogLevel::Notice ? base::Significance::Significant : base::Significance::Routine;
}

// For lines whose number of fields is known only at run time, and whose significance may differ from that of the level.
void logEvent(LogLevel level, base::Significance significance, std::string_view service, std::string_view event,
    const LogField* fields, std::size_t count);

// Writes buffered lines as far as the descriptor accepts them without blocking. Adds a line `linesDropped` at most once
// a second when lines were dropped since the last one.
void flushLog();
const LogCounters& logCounters();

} // namespace lacewing::kernel
