// Writes JSON lines through log4cxx with an appender that never blocks. The JSON text is composed here, because the
// JSON layout of log4cxx 1.0 has no typed fields.
#include "kernel/log.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

namespace lacewing::kernel {

namespace {

    struct LogContext {
        std::string identity; // `"dataCentre":...,"daemon":...`
        LogLevel level = LogLevel::Info;
        LogLimits limits;
        LogCounters counters;
        int descriptor = 1;
        std::string buffer;      // lines not yet written
        std::int64_t second = 0; // Unix time that linesThisSecond counts for
        std::size_t linesThisSecond = 0;
        base::EventBudget secondBudget;   // for linesPerSecond
        base::EventBudget bufferBudget;   // for bufferBytes
        base::EventDrops reportedDrops;   // included in a line `linesDropped`
        std::int64_t dropsReportedAt = 0; // Unix time of that line
        std::time_t timeTextSecond = 0;   // Unix time of timeText
        std::string timeText;             // empty until the first line
        std::string line;                 // kept to save an allocation for each line
    };

    LogContext& context()
    {
        static LogContext instance;
        return instance;
    }

    // Appends lines to the context's buffer, because writing them could block.
    class BufferAppender : public log4cxx::ConsoleAppender {
    public:
        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override
        {
            const log4cxx::LogString& line = event->getMessage();
            LogContext& log = context();
            log.buffer.append(line.begin(), line.end());
            log.buffer += '\n';
            ++log.counters.written;
        }
    };

    log4cxx::LoggerPtr& logger()
    {
        static log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("lacewing");
        return instance;
    }

    log4cxx::LevelPtr toLog4cxx(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
        case LogLevel::Notice: // has no level of log4cxx
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    void appendText(std::string& line, std::string_view text)
    {
        line += '"';
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\') {
                line += '\\';
                line += c;
            } else if (byte < 0x20) {
                char escaped[8];
                std::snprintf(escaped, sizeof escaped, "\\u%04x", byte);
                line += escaped;
            } else {
                line += c;
            }
        }
        line += '"';
    }

    void appendField(std::string& line, const LogField& field)
    {
        line += ",\"";
        line += field.key;
        line += "\":";
        if (const auto* number = std::get_if<std::int64_t>(&field.value))
            line += std::to_string(*number);
        else if (const auto* flag = std::get_if<bool>(&field.value))
            line += *flag ? "true" : "false";
        else
            appendText(line, std::get<std::string>(field.value));
    }

    // UTC time with milliseconds. The part down to the second is formatted once a second and cached.
    void appendTime(std::string& line, const timespec& now)
    {
        LogContext& log = context();
        if (log.timeText.empty() || now.tv_sec != log.timeTextSecond) {
            tm parts {};
            ::gmtime_r(&now.tv_sec, &parts);
            char text[40];
            log.timeText.assign(text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts));
            log.timeTextSecond = now.tv_sec;
        }
        const auto milliseconds = static_cast<int>(now.tv_nsec / 1000000);
        line += log.timeText;
        line += '.';
        line += static_cast<char>('0' + milliseconds / 100);
        line += static_cast<char>('0' + milliseconds / 10 % 10);
        line += static_cast<char>('0' + milliseconds % 10);
        line += 'Z';
    }

    void beginSecond(std::int64_t second)
    {
        LogContext& log = context();
        if (second == log.second)
            return;
        log.second = second;
        log.linesThisSecond = 0;
        base::renew(log.secondBudget);
        base::renew(log.bufferBudget);
    }

    // Rate limit: returns false, and counts the line as dropped, when it exceeds the limit of this second.
    bool admitLine(LogLevel level, base::Significance significance, std::string_view event)
    {
        LogContext& log = context();
        const auto limit = static_cast<std::size_t>(log.limits.linesPerSecond);
        if (level != LogLevel::Error
            && !base::admitEvent(log.secondBudget, significance, event, log.linesThisSecond, 1, limit)) {
            base::countDrop(log.counters.dropped, significance);
            return false;
        }
        ++log.linesThisSecond;
        return true;
    }

    // Returns false, and counts the line as dropped, when it does not fit into the buffer.
    bool admitBytes(base::Significance significance, std::string_view event, std::size_t bytes)
    {
        LogContext& log = context();
        const bool isAdmitted
            = base::admitEvent(log.bufferBudget, significance, event, log.buffer.size(), bytes, log.limits.bufferBytes);
        if (!isAdmitted)
            base::countDrop(log.counters.dropped, significance);
        return isAdmitted;
    }

    void reportDrops()
    {
        LogContext& log = context();
        const base::EventDrops dropped = log.counters.dropped;
        const base::EventDrops reported = log.reportedDrops;
        timespec now {};
        ::clock_gettime(CLOCK_REALTIME, &now);
        if (dropped == reported || now.tv_sec == log.dropsReportedAt)
            return;
        log.reportedDrops = dropped;
        log.dropsReportedAt = now.tv_sec;
        logEvent(LogLevel::Warning, "log", "linesDropped",
            { { "routine", dropped.routine - reported.routine },
                { "significant", dropped.significant - reported.significant } });
    }

    // Writes of at most this many bytes to a pipe do not interleave with those of other processes (PIPE_BUF).
    constexpr std::size_t atomicWriteBytes = 4096;

    // Length of the whole lines from the position on that fit into one atomic write; a longer line is written alone.
    std::size_t nextWriteLength(const std::string& buffer, std::size_t position)
    {
        if (buffer.size() - position <= atomicWriteBytes)
            return buffer.size() - position;
        const std::size_t end = buffer.rfind('\n', position + atomicWriteBytes - 1);
        if (end != std::string::npos && end >= position)
            return end + 1 - position;
        return buffer.find('\n', position) + 1 - position;
    }

} // namespace

void openLog(LogLevel level, const std::string& dataCentre, const std::string& daemon, LogLimits limits, int descriptor)
{
    LogContext& log = context();
    log.limits = limits;
    log.descriptor = descriptor;
    log.buffer.clear();
    log.second = 0;
    log.identity = "\"dataCentre\":";
    appendText(log.identity, dataCentre);
    log.identity += ",\"daemon\":";
    appendText(log.identity, daemon);
    if (const int flags = ::fcntl(descriptor, F_GETFL); flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->addAppender(std::make_shared<BufferAppender>());
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    context().level = level;
    logger()->setLevel(toLog4cxx(level));
}

LogLevel logLevel() { return context().level; }

void logEvent(LogLevel level, std::string_view service, std::string_view event, LogFields fields)
{
    logEvent(level, significanceOf(level), service, event, fields.begin(), fields.size());
}

void logEvent(LogLevel level, base::Significance significance, std::string_view service, std::string_view event,
    const LogField* fields, std::size_t count)
{
    if (level < context().level)
        return;
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    beginSecond(now.tv_sec);
    if (!admitLine(level, significance, event))
        return;
    std::string& line = context().line;
    line.assign("{\"time\":\"");
    appendTime(line, now);
    line += "\",\"level\":\"";
    line += base::nameOf(logLevelNames, level);
    line += "\",";
    line += context().identity;
    line += ",\"service\":\"";
    line += service;
    line += "\",\"event\":\"";
    line += event;
    line += '"';
    for (std::size_t i = 0; i < count; ++i)
        appendField(line, fields[i]);
    line += '}';
    if (!admitBytes(significance, event, line.size() + 1))
        return;
    // log4cxx checks and copies the encoding byte by byte, which plain ASCII does not need.
    const bool isAscii = std::none_of(line.begin(), line.end(), [](char c) { return (c & '\x80') != 0; });
    if (isAscii)
        logger()->forcedLogLS(toLog4cxx(level), line, log4cxx::spi::LocationInfo::getLocationUnavailable());
    else
        logger()->forcedLog(toLog4cxx(level), line);
}

void flushLog()
{
    reportDrops();
    LogContext& log = context();
    std::size_t position = 0;
    while (position < log.buffer.size()) {
        const ssize_t written
            = ::write(log.descriptor, log.buffer.data() + position, nextWriteLength(log.buffer, position));
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break;
        position += static_cast<std::size_t>(written);
    }
    log.buffer.erase(0, position);
}

const LogCounters& logCounters() { return context().counters; }

} // namespace lacewing::kernel
