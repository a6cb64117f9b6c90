// Settings, start and end of the processes of a run.
#include "soak/cluster.h"

#include "platform/standin/client.h"
#include "soak/wait.h"

#include <QCoreApplication>
#include <QDir>
#include <QEventLoop>
#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <algorithm>
#include <csignal>
#include <sys/prctl.h>

namespace lacewing::soak {

namespace {

    // --- Offsets of the ports ---
    constexpr int storePort = 0;
    constexpr int operatorPort = 1;
    constexpr int storeProxyPort = 10;
    constexpr int peerProxyPort = 40;
    constexpr int daemonPort = 100; // callers, readiness, admin, peers of each
    constexpr int portsPerDaemon = 4;
    constexpr int workerPort = 300;
    constexpr int workerProxyPort = 500;

    constexpr int startLimitMs = 30000;     // of the whole cluster, on a busy machine
    constexpr int operatorTimeoutMs = 5000; // of a call of the stand-in
    constexpr int gracefulEndMs = 6000;     // the platform's bound, after which it kills the process
    constexpr int killedEndMs = 5000;       // until a killed process has been reaped
    // Until the kernel has released an exited process: it may wait for locks of the libraries that hundreds of
    // processes map.
    constexpr int releaseMs = 60000;

    QString loopback(int port) { return QStringLiteral("127.0.0.1:%1").arg(port); }

    std::uint16_t toPort(int port) { return static_cast<std::uint16_t>(port); }

} // namespace

Cluster::Cluster(ClusterSettings settings)
    : m_settings(std::move(settings))
    , m_daemons(static_cast<std::size_t>(m_settings.daemons))
{
    for (int i = 0; i < m_settings.daemons; ++i) {
        m_storeProxies.push_back(std::make_unique<Proxy>(toPort(port(storeProxyPort + i)), toPort(port(storePort))));
        m_peerProxies.push_back(std::make_unique<Proxy>(
            toPort(port(peerProxyPort + i)), toPort(port(daemonPort + i * portsPerDaemon + 3))));
        m_admins.push_back(std::make_unique<http::Channel>(
            loopback(port(daemonPort + i * portsPerDaemon + 2)), http::ChannelLimits {}, &m_counters));
    }
    for (int i = 0; i < m_settings.workers; ++i)
        m_workerProxies.push_back(
            std::make_unique<Proxy>(toPort(port(workerProxyPort + i)), toPort(port(workerPort + i))));
    m_operator = std::make_unique<http::Channel>(loopback(port(operatorPort)), http::ChannelLimits {}, &m_counters);
}

Cluster::~Cluster()
{
    for (Daemon& daemon : m_daemons) {
        daemon.isEndExpected = true;
        if (daemon.process) {
            daemon.process->kill();
            daemon.process->waitForFinished(killedEndMs);
        }
    }
    if (m_standin) {
        m_standin->kill();
        m_standin->waitForFinished(killedEndMs);
    }
}

std::unique_ptr<QProcess> Cluster::makeProcess(const QString& name, std::function<void(const QByteArray&)> onLine)
{
    auto process = std::make_unique<QProcess>();
    process->setProcessChannelMode(QProcess::MergedChannels);
    process->setChildProcessModifier([] { ::prctl(PR_SET_PDEATHSIG, SIGKILL); }); // none outlives a killed soak
    auto* log = new QFile(m_settings.folder + '/' + name + ".log", process.get());
    if (!log->open(QIODevice::WriteOnly | QIODevice::Append))
        qWarning("the log of %s cannot be opened", qPrintable(name));
    QObject::connect(process.get(), &QProcess::readyReadStandardOutput, this,
        [process = process.get(), log, onLine = std::move(onLine)] {
            while (process->canReadLine()) {
                const QByteArray line = process->readLine();
                log->write(line);
                onLine(line);
            }
            log->flush();
        });
    return process;
}

bool Cluster::start(std::string& error)
{
    const auto areAll = [](const std::vector<std::unique_ptr<Proxy>>& proxies) {
        return std::all_of(proxies.begin(), proxies.end(), [](const auto& proxy) { return proxy->listen(); });
    };
    if (!areAll(m_storeProxies) || !areAll(m_workerProxies)) {
        error = "a port of a proxy is in use";
        return false;
    }
    QStringList arguments { "--store", loopback(port(storePort)), "--operator", loopback(port(operatorPort)),
        "--workers", QString::number(m_settings.workers), "--first-port", QString::number(port(workerPort)),
        "--advertised-first-port", QString::number(port(workerProxyPort)) };
    for (int i = 0; i < m_settings.daemons; ++i)
        arguments << "--alias"
                  << loopback(port(daemonPort + i * portsPerDaemon + 3)) + '=' + loopback(port(peerProxyPort + i));
    m_standin = makeProcess(
        "standin", [this](const QByteArray& line) { m_isStandinReady = m_isStandinReady || line.startsWith("ready"); });
    m_standin->start(m_settings.programs + "/lacewing-standin", arguments);
    if (!waitUntil([this] { return m_isStandinReady; }, startLimitMs)) {
        error = "the stand-in did not start";
        return false;
    }
    sendToOperator(platform::standin::configurationRequest(1, callersHost, { callersPrefix }));
    for (int i = 0; i < m_settings.oddEntries; ++i)
        sendToOperator(platform::standin::oddEntryRequest(i % platform::standin::oddEntryKinds));
    if (!waitUntil([this] { return m_operator->pending() == 0; }, startLimitMs)) {
        error = "the stand-in does not answer";
        return false;
    }
    for (int i = 0; i < m_settings.daemons; ++i) {
        if (!writeSettings(i)) {
            error = "the settings cannot be written";
            return false;
        }
        startDaemon(i);
    }
    const auto isAccounted = [this] {
        return std::any_of(
            m_terms.terms.begin(), m_terms.terms.end(), [](const Term& term) { return term.accountedAt > 0; });
    };
    if (!waitUntil(isAccounted, startLimitMs)) {
        error = "no daemon began to schedule";
        return false;
    }
    return true;
}

bool Cluster::writeSettings(int index)
{
    const int first = daemonPort + index * portsPerDaemon;
    const QJsonObject settings {
        { "daemon",
            QJsonObject { { "name", QString::fromStdString(nameOf(index)) },
                { "dataCentre", QStringLiteral("dc%1").arg(index % 2 + 1) },
                { "processorShare", index % 2 == 1 ? m_settings.weakShare : 1.0 } } },
        { "listen",
            QJsonObject { { "callers", loopback(port(first)) }, { "readiness", loopback(port(first + 1)) },
                { "admin", loopback(port(first + 2)) }, { "peers", loopback(port(first + 3)) } } },
        { "store", QJsonObject { { "address", loopback(port(storeProxyPort + index)) } } },
    };
    QFile file(m_settings.folder + '/' + QString::fromStdString(nameOf(index)) + ".json");
    return file.open(QIODevice::WriteOnly) && file.write(QJsonDocument(settings).toJson()) > 0;
}

void Cluster::startDaemon(int index)
{
    Daemon& daemon = m_daemons[static_cast<std::size_t>(index)];
    if (isRunning(index)) {
        daemon.startsAgain = daemon.isEndExpected;
        return;
    }
    m_onDaemonStart();
    const std::string name = nameOf(index);
    daemon.isEndExpected = false;
    daemon.startsAgain = false;
    daemon.stopSentAt = 0;
    ++daemon.starts;
    daemon.process = makeProcess(
        QString::fromStdString(name), [this, name](const QByteArray& line) { applyLine(m_terms, name, line); });
    QObject::connect(daemon.process.get(), &QProcess::finished, this,
        [this, index](int exitCode, QProcess::ExitStatus status) { onDaemonEnd(index, exitCode, status); });
    daemon.process->start(m_settings.programs + "/lacewingd",
        { "--settings", m_settings.folder + '/' + QString::fromStdString(name) + ".json" });
    if (!peerProxy(index).listen())
        m_unexpectedEnds.push_back("the port of the peer proxy of " + name + " is in use");
}

void Cluster::onDaemonEnd(int index, int exitCode, QProcess::ExitStatus status)
{
    peerProxy(index).close();
    applyProcessEnd(m_terms, nameOf(index));
    const Daemon& daemon = m_daemons[static_cast<std::size_t>(index)];
    if (daemon.startsAgain) // not here: the process object is in use
        QTimer::singleShot(0, this, [this, index] { startDaemon(index); });
    if (!daemon.isEndExpected)
        m_unexpectedEnds.push_back(nameOf(index) + " ended by itself, "
            + (status == QProcess::CrashExit ? "signal" : "code " + std::to_string(exitCode)));
}

void Cluster::signalDaemon(int index, int number)
{
    if (!isRunning(index))
        return;
    Daemon& daemon = m_daemons[static_cast<std::size_t>(index)];
    daemon.isEndExpected = daemon.isEndExpected || number == SIGKILL || number == SIGTERM;
    if (number == SIGTERM && daemon.stopSentAt == 0)
        daemon.stopSentAt = nowMs();
    ::kill(static_cast<pid_t>(daemon.process->processId()), number);
}

std::string Cluster::processName(int index) const
{
    return nameOf(index) + '#' + std::to_string(m_daemons[static_cast<std::size_t>(index)].starts);
}

bool Cluster::isRunning(int index) const
{
    const auto& process = m_daemons[static_cast<std::size_t>(index)].process;
    return process && process->state() != QProcess::NotRunning && process->processId() > 0;
}

std::optional<int> Cluster::leader() const
{
    if (m_terms.terms.empty() || m_terms.terms.back().endedAt > 0)
        return std::nullopt;
    return std::stoi(m_terms.terms.back().daemon.substr(1));
}

QString Cluster::callersAddress(int index) const { return loopback(port(daemonPort + index * portsPerDaemon)); }

void Cluster::sendToOperator(http::ChannelRequest request, http::ClientCallback callback)
{
    request.timeoutMs = operatorTimeoutMs;
    m_operator->send(std::move(request), std::move(callback));
}

void Cluster::readStatus(int index, http::ClientCallback callback)
{
    http::ChannelRequest request;
    request.target = "/v1/status";
    request.timeoutMs = operatorTimeoutMs;
    m_admins[static_cast<std::size_t>(index)]->send(std::move(request), std::move(callback));
}

bool Cluster::hasEnded(int index) const
{
    return !isRunning(index) || hasExited(m_daemons[static_cast<std::size_t>(index)].process->processId());
}

std::vector<std::string> Cluster::stopDaemons()
{
    const auto areAll = [this](const std::function<bool(int)>& condition) {
        for (int i = 0; i < m_settings.daemons; ++i) {
            if (!condition(i))
                return false;
        }
        return true;
    };
    for (int i = 0; i < m_settings.daemons; ++i)
        signalDaemon(i, SIGTERM);
    waitUntil([&] { return areAll([this](int i) { return hasEnded(i); }); }, gracefulEndMs);
    std::vector<std::string> failed;
    std::vector<bool> isLate;
    for (int i = 0; i < m_settings.daemons; ++i) {
        isLate.push_back(!hasEnded(i));
        if (isLate.back())
            failed.push_back(nameOf(i) + " did not end within the grace period");
    }
    const auto isReleased = [&](int i) { return isLate[static_cast<std::size_t>(i)] || !isRunning(i); };
    waitUntil([&] { return areAll(isReleased); }, releaseMs);
    for (int i = 0; i < m_settings.daemons; ++i) {
        const auto& process = m_daemons[static_cast<std::size_t>(i)].process;
        if (!isReleased(i))
            failed.push_back(nameOf(i) + " has exited and was not released by the kernel in time");
        else if (process && !isRunning(i) && process->exitStatus() == QProcess::NormalExit && process->exitCode() != 0)
            failed.push_back(nameOf(i) + " ended with code " + std::to_string(process->exitCode()));
    }
    return failed;
}

} // namespace lacewing::soak
