// JSON lines through log4cxx. The JSON text is composed here, because log4cxx 1.0's own JSON layout has no typed
// fields.
#include "kernel/log.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QJsonObject>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace lacewing::kernel {

namespace {

    struct LogContext {
        QString dataCentre;
        QString daemon;
        LogLevel level = LogLevel::Info;
    };

    LogContext& context()
    {
        static LogContext instance;
        return instance;
    }

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
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    QString toQString(std::string_view text)
    {
        return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
    }

} // namespace

void openLog(LogLevel level, const std::string& dataCentre, const std::string& daemon)
{
    context().dataCentre = toQString(dataCentre);
    context().daemon = toQString(daemon);
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    logger()->removeAllAppenders();
    logger()->setAdditivity(false);
    logger()->addAppender(appender);
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
    const log4cxx::LevelPtr target = toLog4cxx(level);
    if (!logger()->isEnabledFor(target))
        return;
    QJsonObject line;
    line["time"] = QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs);
    line["level"] = toQString(base::nameOf(logLevelNames, level));
    line["dataCentre"] = context().dataCentre;
    line["daemon"] = context().daemon;
    line["service"] = toQString(service);
    line["event"] = toQString(event);
    for (const LogField& field : fields)
        line[QLatin1String(field.key)] = field.value;
    const std::string text = QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString();
    logger()->forcedLog(target, text);
}

} // namespace lacewing::kernel
