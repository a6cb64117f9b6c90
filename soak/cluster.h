// The processes of one run: the stand-in, the daemons, and the proxies between them.
//
// Ports from the base port on: the store, the operator's address, the proxies of the store and of the peer addresses by
// daemon, the addresses of the daemons, of the workers and of the workers' proxies.
//
// Only processes that this program started are signalled, by their QProcess.
#pragma once

#include "http/channel.h"
#include "soak/proxy.h"
#include "soak/terms.h"

#include <QObject>
#include <QProcess>
#include <QString>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::soak {

struct ClusterSettings {
    int basePort = 22000;
    int daemons = 3;
    int workers = 12;
    double weakShare = 0.1; // processor share of every second daemon, cores
    int oddEntries = 0;     // entries that name no worker
    QString programs;       // folder of lacewingd and lacewing-standin
    QString folder;         // of settings and logs
};

constexpr int mostDaemons = 30; // by the ranges of ports
constexpr int mostWorkers = 200;

inline const QByteArray callersHost = "127.0.0.1"; // as in the addresses that clients call
inline const QByteArray callersPrefix = "/jobs/";

class Cluster : public QObject {
public:
    explicit Cluster(ClusterSettings settings);
    ~Cluster() override; // ends all processes

    // Starts everything; false, with the reason in `error`, when it does not come up.
    bool start(std::string& error);
    // Ends all daemons with SIGTERM. Returns those that did not end with code 0.
    std::vector<std::string> stopDaemons();

    // --- Daemons, by index ---
    // While a process that was told to end has not ended yet, the start waits for its end.
    void startDaemon(int index);
    void signalDaemon(int index, int number);
    bool isRunning(int index) const;
    bool hasEnded(int index) const; // also before the kernel has released the process
    // Name of the daemon and the number of its process.
    std::string processName(int index) const;
    // When the running process was told to stop by SIGTERM, ms of the steady clock; 0: it was not.
    std::int64_t stopSentAt(int index) const { return m_daemons[static_cast<std::size_t>(index)].stopSentAt; }
    // Index of the daemon that schedules, by the log; nullopt: none is known to.
    std::optional<int> leader() const;
    QString callersAddress(int index) const;
    // Status document of the daemon, from its admin address.
    void readStatus(int index, http::ClientCallback callback);
    static std::string nameOf(int index) { return "d" + std::to_string(index); }

    // --- Faults ---
    void sendToOperator(
        http::ChannelRequest request, http::ClientCallback callback = [](const http::ClientResult&) {});
    Proxy& storeProxy(int daemon) { return *m_storeProxies[static_cast<std::size_t>(daemon)]; }
    Proxy& peerProxy(int daemon) { return *m_peerProxies[static_cast<std::size_t>(daemon)]; }
    Proxy& workerProxy(int worker) { return *m_workerProxies[static_cast<std::size_t>(worker)]; }

    // Processes that ended by themselves, with their exit codes.
    const std::vector<std::string>& unexpectedEnds() const { return m_unexpectedEnds; }
    const TermLog& terms() const { return m_terms; }
    // The callback runs at each start of a daemon.
    void onDaemonStart(std::function<void()> callback) { m_onDaemonStart = std::move(callback); }

private:
    struct Daemon {
        std::unique_ptr<QProcess> process;
        bool isEndExpected = false; // it was signalled to end
        bool startsAgain = false;   // when it has ended
        int starts = 0;
        std::int64_t stopSentAt = 0;
    };

    int port(int offset) const { return m_settings.basePort + offset; }
    bool writeSettings(int index);
    std::unique_ptr<QProcess> makeProcess(const QString& name, std::function<void(const QByteArray&)> onLine);
    void onDaemonEnd(int index, int exitCode, QProcess::ExitStatus status);

    ClusterSettings m_settings;
    std::unique_ptr<QProcess> m_standin;
    bool m_isStandinReady = false;
    std::vector<Daemon> m_daemons;
    std::vector<std::unique_ptr<Proxy>> m_storeProxies;
    std::vector<std::unique_ptr<Proxy>> m_peerProxies;
    std::vector<std::unique_ptr<Proxy>> m_workerProxies;
    http::ChannelCounters m_counters;
    std::unique_ptr<http::Channel> m_operator;
    std::vector<std::unique_ptr<http::Channel>> m_admins; // by daemon
    std::vector<std::string> m_unexpectedEnds;
    TermLog m_terms;
    std::function<void()> m_onDaemonStart = [] {};
};

} // namespace lacewing::soak
