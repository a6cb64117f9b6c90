// lacewingd: reads its settings, starts the services, and stops them gracefully on SIGTERM or SIGINT.
//
// SIGHUP reloads the settings file: log.level, commitGapMs, workerListMs, leaseWaitMs and leaseGapMs take effect at
// once, all other settings at the next start.
//
// Exit codes: 0 planned stop, 1 settings refused, 2 usage, 3 a service failed to start, 4 the planned stop ran into
// bounds.graceSeconds with requests still open.
#include "daemon/admin_service.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/gateway_service.h"
#include "daemon/job_table.h"
#include "daemon/policy_service.h"
#include "daemon/runtime.h"
#include "daemon/settings.h"
#include "daemon/sync_service.h"
#include "daemon/term_service.h"
#include "kernel/event_dispatcher.h"
#include "kernel/log.h"
#include "platform/documents.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <unistd.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

enum class ExitCode { Stopped = 0, SettingsRefused = 1, Usage = 2, StartFailed = 3, DrainTimeout = 4 };

constexpr int idleCheckMs = 20;           // ms between checks whether the planned stop can end
constexpr int stopMarginMs = 1000;        // ms kept in reserve before the platform kills the process
constexpr int logFlushMs = 50;            // ms between writes of buffered log lines
constexpr int jobCleanupPeriodMs = 10000; // ms between removals of expired job states

int signalPipe[2] = { -1, -1 };

// Makes only async-signal-safe calls; the event loop reads the pipe and acts.
void onSignal(int number)
{
    const char byte = number == SIGHUP ? 'h' : 's';
    [[maybe_unused]] const ssize_t written = ::write(signalPipe[1], &byte, 1);
}

// The planned stop: refuses new connections, resigns the term, waits until idle or until the time limit, then exits.
class PlannedStop {
public:
    explicit PlannedStop(Runtime& runtime)
        : m_runtime(runtime)
    {
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { check(); });
    }

    void begin()
    {
        if (m_runtime.isStopping)
            return;
        m_runtime.isStopping = true;
        kernel::logEvent(kernel::LogLevel::Notice, "daemon", "stopBegun");
        m_deadline = nowMs() + m_runtime.settings.bounds.graceMs - stopMarginMs;
        auto* term = kernel::find<TermService>(m_runtime.kernel, serviceNames::term);
        term->state().isStopping = true;
        auto* dispatcher = kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
        std::vector<platform::Write> records = dispatcher->resignationRecords();
        if (records.empty())
            records = dispatcher->openStartRecords();
        term->resign("planned stop", std::move(records), [this] { m_hasResigned = true; });
        kernel::beginStopAll(m_runtime.kernel);
        m_timer.start(idleCheckMs);
    }

private:
    void check()
    {
        const bool isIdle = kernel::isIdle(m_runtime.kernel) && m_hasResigned;
        if (!isIdle && nowMs() < m_deadline)
            return;
        m_timer.stop();
        kernel::logEvent(isIdle ? kernel::LogLevel::Notice : kernel::LogLevel::Error, "daemon", "stopped",
            { { "graceful", isIdle } });
        QCoreApplication::exit(static_cast<int>(isIdle ? ExitCode::Stopped : ExitCode::DrainTimeout));
    }

    Runtime& m_runtime;
    QTimer m_timer;
    scheduler::Millis m_deadline = 0;
    bool m_hasResigned = false;
};

void reload(Runtime& runtime, const std::string& file)
{
    auto settings = readSettings(file);
    if (settings.has_error()) {
        for (const base::InputError& error : settings.error())
            kernel::logEvent(
                kernel::LogLevel::Error, "daemon", "reloadRefused", { { "detail", base::describe(error) } });
        return;
    }
    runtime.settings.logLevel = settings.value().logLevel;
    kernel::setLogLevel(runtime.settings.logLevel);
    runtime.settings.commitGapMs = settings.value().commitGapMs;
    runtime.settings.workerListMs = settings.value().workerListMs;
    runtime.settings.leaseWaitMs = settings.value().leaseWaitMs;
    runtime.settings.leaseGapMs = settings.value().leaseGapMs;
    kernel::logEvent(kernel::LogLevel::Notice, "daemon", "reloaded", { { "file", file } });
}

int run(int argc, char** argv, Settings settings, const std::string& file)
{
    QCoreApplication::setEventDispatcher(new kernel::EventDispatcher); // the application becomes its owner
    QCoreApplication application(argc, argv);
    kernel::LogLimits logLimits;
    logLimits.linesPerSecond = settings.logLinesPerSecond;
    kernel::openLog(settings.logLevel, settings.dataCentre, settings.daemon, logLimits);
    Runtime runtime(std::move(settings));
    PlannedStop plannedStop(runtime);

    if (::pipe(signalPipe) != 0)
        return static_cast<int>(ExitCode::StartFailed);
    QSocketNotifier notifier(signalPipe[0], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&] {
        char byte = 0;
        if (::read(signalPipe[0], &byte, 1) != 1)
            return;
        if (byte == 'h')
            reload(runtime, file);
        else
            plannedStop.begin();
    });
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);

    JobTable table;
    kernel::Service tableEntry;
    tableEntry.name = serviceNames::jobTable;
    tableEntry.start = [&] {
        kernel::publish(runtime.kernel, serviceNames::jobTable, &table);
        return std::string();
    };
    kernel::registerService(runtime.kernel, std::move(tableEntry)).assume_value();
    registerConfigurationService(runtime);
    registerPolicyService(runtime);
    registerTermService(runtime);
    registerDispatcherService(runtime);
    registerSyncService(runtime);
    registerGatewayService(runtime);
    registerAdminService(runtime, [&plannedStop] { plannedStop.begin(); });
    const auto started = kernel::startAll(runtime.kernel);
    if (started.has_error()) {
        kernel::logEvent(kernel::LogLevel::Error, "daemon", "startFailed",
            { { "failedService", started.error().service }, { "cause", started.error().detail } });
        kernel::flushLog();
        std::cerr << "lacewingd: service '" << started.error().service << "' did not start: " << started.error().detail
                  << std::endl;
        return static_cast<int>(ExitCode::StartFailed);
    }
    kernel::logEvent(kernel::LogLevel::Notice, "daemon", "started",
        { { "version", LACEWING_VERSION }, { "callers", runtime.settings.callerAddress },
            { "incarnation", runtime.incarnation } });
    QTimer flushTimer;
    QObject::connect(&flushTimer, &QTimer::timeout, &flushTimer, [] { kernel::flushLog(); });
    flushTimer.start(logFlushMs);
    QTimer cleanupTimer;
    QObject::connect(&cleanupTimer, &QTimer::timeout, &cleanupTimer,
        [&] { evictExpiredJobs(table, statusRetentionFactor * runtime.settings.bounds.statusMs, nowMs()); });
    cleanupTimer.start(jobCleanupPeriodMs);
    const int code = QCoreApplication::exec();
    kernel::stopAll(runtime.kernel);
    kernel::flushLog();
    return code;
}

int runProgram(int argc, char** argv)
{
    cxxopts::Options options("lacewingd", "Scheduler daemon for urgent and background jobs.\n");
    options.add_options()("settings", "settings file (JSON); default: path in the platform's environment variable",
        cxxopts::value<std::string>(), "FILE")("check-settings", "check the settings file and exit")(
        "settings-schema", "print a table of all settings and exit")("version", "print the version and exit")(
        "h,help", "print this help and exit");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 planned stop, 1 settings refused, 2 usage, 3 start failed, 4 grace period "
                         "over with requests open.\n";
            return static_cast<int>(ExitCode::Stopped);
        }
        if (arguments.count("version")) {
            std::cout << "lacewingd " << LACEWING_VERSION << std::endl;
            return static_cast<int>(ExitCode::Stopped);
        }
        if (arguments.count("settings-schema")) {
            std::cout << base::schemaMarkdown(settingsSchema());
            return static_cast<int>(ExitCode::Stopped);
        }
        const char* environmentPath = std::getenv(platform::settingsVariable);
        if ((!arguments.count("settings") && !environmentPath) || !arguments.unmatched().empty()) {
            std::cerr << "lacewingd: --settings FILE is required and takes no further arguments; see --help"
                      << std::endl;
            return static_cast<int>(ExitCode::Usage);
        }
        const std::string file
            = arguments.count("settings") ? arguments["settings"].as<std::string>() : environmentPath;
        auto settings = readSettings(file);
        if (settings.has_error()) {
            for (const base::InputError& error : settings.error())
                std::cerr << base::describe(error) << std::endl;
            return static_cast<int>(ExitCode::SettingsRefused);
        }
        if (arguments.count("check-settings")) {
            std::cout << "settings are valid" << std::endl;
            return static_cast<int>(ExitCode::Stopped);
        }
        return run(argc, argv, std::move(settings.value()), file);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "lacewingd: " << error.what() << "; see --help" << std::endl;
        return static_cast<int>(ExitCode::Usage);
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "lacewingd: " << error.what() << std::endl;
        return static_cast<int>(ExitCode::StartFailed);
    }
}
