// lacewingd: reads its settings, starts the services, and stops them gracefully on SIGTERM or SIGINT.
//
// Exit codes: 0 planned stop, 1 settings refused, 2 usage, 3 a service failed to start, 4 the planned stop ran into
// drainTimeoutMs with requests still open.
#include "daemon/admin_service.h"
#include "daemon/configuration_service.h"
#include "daemon/dispatcher_service.h"
#include "daemon/gateway_service.h"
#include "daemon/membership_service.h"
#include "daemon/runtime.h"
#include "daemon/settings.h"
#include "daemon/store_service.h"
#include "kernel/log.h"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

enum class ExitCode { Stopped = 0, SettingsRefused = 1, Usage = 2, StartFailed = 3, DrainTimeout = 4 };

constexpr int idleCheckMs = 20;

int signalPipe[2] = { -1, -1 };

// Only async-signal-safe calls: the event loop does the work.
void onSignal(int)
{
    const char byte = 1;
    [[maybe_unused]] const ssize_t written = ::write(signalPipe[0], &byte, 1);
}

// The planned stop: drain, wait until idle or until the time limit, say goodbye, stop the services.
class PlannedStop {
public:
    explicit PlannedStop(Runtime& runtime)
        : m_runtime(runtime)
    {
        QObject::connect(&m_timer, &QTimer::timeout, &m_timer, [this] { check(); });
    }

    void begin()
    {
        if (m_isBegun)
            return;
        m_isBegun = true;
        kernel::logEvent(kernel::LogLevel::Info, "daemon", "stopBegun");
        const auto* dispatcher = kernel::find<DispatcherService>(m_runtime.kernel, serviceNames::dispatcher);
        m_shards = dispatcher->ownedShards();
        m_deadline = base::monotonicNow() + base::milliseconds(m_runtime.settings.drainTimeoutMs);
        kernel::beginStopAll(m_runtime.kernel);
        m_timer.start(idleCheckMs);
    }

private:
    void check()
    {
        const bool isIdle = kernel::isIdle(m_runtime.kernel);
        if (!isIdle && base::monotonicNow() < m_deadline)
            return;
        m_timer.stop();
        auto* membership = kernel::find<MembershipService>(m_runtime.kernel, serviceNames::membership);
        membership->sayGoodbye(m_shards);
        kernel::logEvent(
            isIdle ? kernel::LogLevel::Info : kernel::LogLevel::Error, "daemon", "stopped", { { "graceful", isIdle } });
        // One more turn of the event loop hands the goodbyes to the sockets.
        constexpr int goodbyeMs = 100;
        QTimer::singleShot(goodbyeMs, &m_timer, [isIdle] {
            QCoreApplication::exit(static_cast<int>(isIdle ? ExitCode::Stopped : ExitCode::DrainTimeout));
        });
    }

    Runtime& m_runtime;
    QTimer m_timer;
    base::TimePoint m_deadline;
    std::vector<std::string> m_shards;
    bool m_isBegun = false;
};

int run(int argc, char** argv, Settings settings)
{
    QCoreApplication application(argc, argv);
    kernel::openLog(settings.logLevel, settings.dataCentre.value, settings.daemon.value);
    Runtime runtime(std::move(settings));
    PlannedStop plannedStop(runtime);

    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, signalPipe) != 0)
        return static_cast<int>(ExitCode::StartFailed);
    QSocketNotifier notifier(signalPipe[1], QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&plannedStop, &notifier] {
        notifier.setEnabled(false);
        plannedStop.begin();
    });
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);

    registerStoreService(runtime);
    registerMembershipService(runtime);
    registerConfigurationService(runtime);
    registerGatewayService(runtime);
    registerDispatcherService(runtime);
    registerAdminService(runtime, [&plannedStop] { plannedStop.begin(); });
    const auto started = kernel::startAll(runtime.kernel);
    if (started.has_error()) {
        kernel::logEvent(kernel::LogLevel::Error, "daemon", "startFailed",
            { { "failedService", QString::fromStdString(started.error().service) },
                { "cause", QString::fromStdString(started.error().detail) } });
        std::cerr << "lacewingd: service '" << started.error().service << "' did not start: " << started.error().detail
                  << std::endl;
        return static_cast<int>(ExitCode::StartFailed);
    }
    kernel::logEvent(kernel::LogLevel::Info, "daemon", "started",
        { { "version", LACEWING_VERSION }, { "httpPort", runtime.settings.http.listen.port },
            { "incarnation", static_cast<qint64>(runtime.incarnation) } });
    const int code = QCoreApplication::exec();
    kernel::stopAll(runtime.kernel);
    return code;
}

int runProgram(int argc, char** argv)
{
    cxxopts::Options options("lacewingd", "Scheduler daemon for urgent requests and batch work.\n");
    options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>(), "FILE")("check-settings",
        "check the settings file and exit")("settings-schema", "print a table of all settings and exit")(
        "version", "print the version and exit")("h,help", "print this help and exit");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help()
                      << "\nExit codes: 0 planned stop, 1 settings refused, 2 usage, 3 start failed, 4 drain time "
                         "limit reached.\n";
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
        if (!arguments.count("settings") || !arguments.unmatched().empty()) {
            std::cerr << "lacewingd: --settings FILE is required and takes no further arguments; see --help"
                      << std::endl;
            return static_cast<int>(ExitCode::Usage);
        }
        auto settings = readSettings(arguments["settings"].as<std::string>());
        if (settings.has_error()) {
            for (const base::InputError& error : settings.error())
                std::cerr << base::describe(error) << std::endl;
            return static_cast<int>(ExitCode::SettingsRefused);
        }
        if (arguments.count("check-settings")) {
            std::cout << "settings are valid" << std::endl;
            return static_cast<int>(ExitCode::Stopped);
        }
        return run(argc, argv, std::move(settings.value()));
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
