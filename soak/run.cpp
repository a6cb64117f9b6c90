// Plays one schedule of faults.
#include "soak/run.h"

#include "soak/wait.h"

#include <QJsonDocument>
#include <QTimer>
#include <algorithm>
#include <csignal>

namespace lacewing::soak {

namespace {

    constexpr int tickMs = 25;      // between looks at what clients have to send
    constexpr int runsPollMs = 100; // between reads of the log of runs
    constexpr int tasksPerLastingJob = 3;
    constexpr int jobsPerBurst = 60;
    constexpr int firstStartsMs = 30000; // until all lasting tasks run before the faults, on a busy machine
    constexpr int graceMs = 6000;        // platform's bound of a planned stop, after which it kills the process
    constexpr int freshFeedMs = 1500;    // age up to which a daemon answers from its copy of the states of jobs
    constexpr int feedLimitMs = 5000;    // until all daemons have a fresh copy, in the calm phase

    class Player : public QObject {
    public:
        explicit Player(const RunPlan& plan)
            : m_plan(plan)
            , m_cluster(plan.cluster)
            , m_clients(m_cluster, m_checks, plan.seed, plan.cluster.daemons)
            , m_queues(m_cluster, m_checks, plan.seed, plan.cluster.daemons)
        {
            m_cluster.onDaemonStart([this] { m_checks.disturbances.push_back({ nowMs(), nowMs(), false }); });
            m_checks.workers = plan.cluster.workers;
            QObject::connect(&m_tick, &QTimer::timeout, this, [this] { tick(); });
        }

        RunResult play();

    private:
        void tick();
        void readRuns();
        void begin(const Fault& fault);
        void beginLinkFault(const Fault& fault, Proxy& proxy);
        void after(int delayMs, std::function<void()> action);
        void waitForEnd();
        void checkFeeds();
        RunResult result() const;

        const RunPlan& m_plan;
        Checks m_checks;
        Cluster m_cluster;
        Clients m_clients;
        Queues m_queues;
        QTimer m_tick;
        bool m_hasTraffic = false;
        bool m_isReading = false;
        std::int64_t m_readAt = 0;
        std::int64_t m_origin = 0;
    };

    RunResult Player::play()
    {
        std::string error;
        if (!m_cluster.start(error)) {
            addViolation(m_checks, "the cluster did not start: " + error);
            return result();
        }
        for (int i = 0; i < m_plan.lastingJobs; ++i)
            m_clients.submitLasting(tasksPerLastingJob);
        m_tick.start(tickMs);
        if (!waitUntil([this] { return areFirstStepsRunning(m_checks); }, firstStartsMs)) {
            addViolation(m_checks, "the lasting tasks do not start before the faults");
            return result();
        }
        for (int i = 0; i < m_plan.traffic.longJobs; ++i)
            m_clients.submitLong(tasksPerLastingJob);
        if (!waitUntil([this] { return areFirstStepsRunning(m_checks); }, firstStartsMs)) {
            addViolation(m_checks, "the long tasks do not start before the faults");
            return result();
        }
        m_origin = nowMs();
        m_checks.origin = m_origin;
        m_hasTraffic = true;
        for (const Fault& fault : m_plan.faults)
            after(fault.atMs, [this, fault] { begin(fault); });
        for (const int atMs : m_plan.traffic.burstsAtMs)
            after(atMs, [this] { m_clients.submitBurst(jobsPerBurst); });
        waitUntil([this] { return nowMs() - m_origin >= m_plan.durationMs; }, m_plan.durationMs);
        m_hasTraffic = false;
        waitForEnd();
        checkFeeds();
        m_tick.stop();
        for (const std::string& end : m_cluster.unexpectedEnds())
            addViolation(m_checks, end);
        for (const std::string& end : m_cluster.stopDaemons())
            addViolation(m_checks, "planned stop at the end: " + end);
        return result();
    }

    // Until every bound on the time after the last disturbance has passed, and every job has ended.
    void Player::waitForEnd()
    {
        const auto calmFrom = [this] { return std::max(m_origin + m_plan.durationMs, lastEnd(m_checks.disturbances)); };
        std::string open;
        waitUntil(
            [&] {
                const std::int64_t calm = std::min(nowMs(), m_checks.knownUntil) - calmFrom();
                const bool isOver = calm > calmMs + lastingDownMs && m_clients.isFinished(open);
                return isOver || calm > finishMs;
            },
            m_plan.durationMs + 2 * finishMs);
        if (m_checks.knownUntil - calmFrom() <= calmMs + lastingDownMs)
            addViolation(m_checks, "the log of runs could not be read until the end of the calm phase");
        if (!m_clients.isFinished(open))
            addViolation(m_checks,
                "a job has no final state " + std::to_string(nowMs() - calmFrom())
                    + " ms after the last disturbance: " + open);
    }

    // Every running daemon gets the states of jobs from the scheduling one.
    void Player::checkFeeds()
    {
        for (int index = 0; index < m_plan.cluster.daemons; ++index) {
            if (!m_cluster.isRunning(index))
                continue; // killed for good
            std::int64_t ageMs = -1;
            bool isReading = false;
            const bool isFresh = waitUntil(
                [&] {
                    if (ageMs >= 0 && ageMs <= freshFeedMs)
                        return true;
                    if (isReading)
                        return false;
                    isReading = true;
                    m_cluster.readStatus(index, [&](const http::ClientResult& result) {
                        isReading = false;
                        ageMs = result.ok() ? QJsonDocument::fromJson(result.body)["feedAgeMs"].toInteger(-1) : -1;
                    });
                    return false;
                },
                feedLimitMs);
            if (!isFresh)
                addViolation(m_checks,
                    Cluster::nameOf(index) + " does not get the states of jobs in the calm phase: feedAgeMs "
                        + std::to_string(ageMs));
            waitUntil([&] { return !isReading; }, 2 * feedLimitMs); // the callback refers to variables of this loop
        }
    }

    void Player::tick()
    {
        m_clients.tick(m_hasTraffic);
        m_queues.tick(m_hasTraffic);
        if (!m_isReading && nowMs() - m_readAt >= runsPollMs)
            readRuns();
    }

    void Player::readRuns()
    {
        m_isReading = true;
        m_readAt = nowMs();
        m_cluster.sendToOperator(
            platform::standin::runsRequest(m_checks.lastEvent), [this](const http::ClientResult& result) {
                m_isReading = false;
                const auto log = result.ok() ? platform::standin::decodeRuns(result.body) : std::nullopt;
                if (!log)
                    return; // read again; the end of the run needs a recent answer
                applyRuns(m_checks, *log);
                checkRunning(m_checks);
            });
    }

    void Player::after(int delayMs, std::function<void()> action)
    {
        QTimer::singleShot(delayMs, Qt::PreciseTimer, this, std::move(action));
    }

    void Player::begin(const Fault& fault)
    {
        const std::int64_t now = nowMs();
        const bool isPlanned = fault.kind == FaultKind::StopDaemon;
        if (fault.kind != FaultKind::FailRuns) // tasks may fail at any time
            m_checks.disturbances.push_back({ now, now + fault.durationMs, isPlanned });
        const bool isOfWorker = fault.kind == FaultKind::WorkerLink || fault.kind == FaultKind::CrashWorker;
        m_checks.workerFaultAt = isOfWorker ? now : m_checks.workerFaultAt;
        m_checks.workers -= isOfWorker && fault.durationMs == 0 ? 1 : 0;
        const int target = fault.target != leaderTarget || isOfWorker ? fault.target : m_cluster.leader().value_or(0);
        const auto atEnd = [&](std::function<void()> action) {
            if (fault.durationMs > 0)
                after(fault.durationMs, std::move(action));
        };
        using namespace platform::standin;
        switch (fault.kind) {
        case FaultKind::KillDaemon:
            m_cluster.signalDaemon(target, SIGKILL);
            atEnd([this, target] { m_cluster.startDaemon(target); });
            break;
        case FaultKind::PauseDaemon:
            m_cluster.signalDaemon(target, SIGSTOP);
            atEnd([this, target] { m_cluster.signalDaemon(target, SIGCONT); });
            break;
        case FaultKind::StopDaemon:
            m_cluster.signalDaemon(target, SIGTERM);
            after(graceMs, [this, target, process = m_cluster.processName(target)] {
                if (m_cluster.processName(target) == process)
                    m_cluster.signalDaemon(target, SIGKILL);
            });
            atEnd([this, target] { m_cluster.startDaemon(target); });
            break;
        case FaultKind::StoreDown:
            m_cluster.sendToOperator(storeDownRequest(true));
            atEnd([this] { m_cluster.sendToOperator(storeDownRequest(false)); });
            break;
        case FaultKind::StoreLosesAnswers:
            m_cluster.sendToOperator(lostAnswersRequest(fault.lostAnswers));
            break;
        case FaultKind::StoreSilent:
            for (int i = 0; i < m_plan.cluster.daemons; ++i)
                beginLinkFault(fault, m_cluster.storeProxy(i));
            break;
        case FaultKind::StoreLink:
            beginLinkFault(fault, m_cluster.storeProxy(target));
            break;
        case FaultKind::PeerLink:
            beginLinkFault(fault, m_cluster.peerProxy(target));
            break;
        case FaultKind::WorkerLink:
            beginLinkFault(fault, m_cluster.workerProxy(target));
            break;
        case FaultKind::CrashWorker:
            m_cluster.sendToOperator(workerFaultRequest(target, true, fault.keepsEntry));
            atEnd([this, target] { m_cluster.sendToOperator(workerFaultRequest(target, false, false)); });
            break;
        case FaultKind::FailRuns:
            m_cluster.sendToOperator(failRunsRequest(fault.share));
            break;
        }
    }

    void Player::beginLinkFault(const Fault& fault, Proxy& proxy)
    {
        const LinkFault link = fault.kind == FaultKind::StoreSilent ? LinkFault::Silence : fault.link;
        const int number = proxy.setFault(link, fault.delayMs);
        if (fault.durationMs > 0)
            after(fault.durationMs, [&proxy, number] { proxy.clearFault(number); });
    }

    RunResult Player::result() const
    {
        RunResult result;
        result.violations = m_checks.violations;
        result.terms = describe(m_cluster.terms(), m_origin);
        result.termCount = static_cast<int>(m_cluster.terms().terms.size());
        std::copy_if(m_checks.gaps.begin(), m_checks.gaps.end(), std::back_inserter(result.gaps),
            [this](const Gap& gap) { return gap.to >= m_origin; });
        result.origin = m_origin;
        result.clients = m_clients.counts();
        result.queueAnswers = m_queues.answers();
        result.queueRefusals = m_queues.refusals();
        result.starts = m_checks.starts;
        result.repeatedNumbers = m_checks.repeatedNumbers;
        result.longestIdleMs = m_checks.longestIdleMs;
        return result;
    }

} // namespace

RunResult play(const RunPlan& plan)
{
    Player player(plan);
    return player.play();
}

} // namespace lacewing::soak
