// Clients, disruptions and verdicts of the cases.
#include "cases.h"

#include "platform.h"

#include <QCoreApplication>
#include <QJsonArray>
#include <QJsonDocument>
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>

namespace lacewing::review {

namespace {

    constexpr int daemonCount = 3;
    constexpr int clientRetries = 4;
    constexpr std::int64_t readyLimitMs = 20000;
    const QByteArray hostName = "desk.example";

    struct Daemon {
        std::uint16_t readiness = 0;
        std::uint16_t callers = 0;
    };

    void putConfiguration(Store& store)
    {
        store.put("op/config",
            { { "version", 1 },
                { "routes",
                    QJsonArray { QJsonObject { { "name", "jobs" }, { "hostname", QString::fromLatin1(hostName) },
                        { "prefix", "/jobs/" }, { "timeout_ms", clientDeadlineMs }, { "goal_ms", 1000 },
                        { "priority", 0 }, { "backend", "pool" }, { "max_attempts", 3 }, { "stretch", 2 } } } },
                { "services", QJsonArray { QJsonObject { { "name", "pool" }, { "rejects_overload", true } } } },
                { "limits", QJsonObject {} } });
    }

    // A small deployment: one store, three daemons that run.sh has started, executors in three zones.
    struct Deployment {
        explicit Deployment(const CaseSettings& settings, int executors)
            : record(settings.record)
        {
            for (std::size_t i = 0; i < daemonCount; ++i)
                daemons.push_back({ settings.ports[1 + 2 * i], settings.ports[2 + 2 * i] });
            const std::vector<std::string> zones { "zone-a", "zone-b", "zone-c" };
            for (int i = 0; i < executors; ++i) {
                const auto index = static_cast<std::size_t>(i);
                WorkerSettings worker;
                worker.id = "w" + std::to_string(i);
                worker.backend = "pool";
                worker.zone = zones[index % zones.size()];
                worker.rack = "rack-" + std::to_string(index / 8);
                worker.port = settings.ports[1 + 2 * daemonCount + index];
                workers.push_back(std::make_unique<Worker>(worker, store, record, runs));
            }
            isListening = store.listen(settings.ports[0]);
            putConfiguration(store);
            for (const auto& worker : workers)
                isListening = isListening && worker->start();
        }

        Record record;
        Store store;
        std::deque<Run> runs;
        std::vector<std::unique_ptr<Worker>> workers;
        std::vector<Daemon> daemons;
        bool isListening = false;
    };

    // Calls `ready` once all daemons are ready; ends the program with 2 when they are not in time.
    void awaitDaemons(const Deployment& deployment, std::size_t index, std::function<void()> ready)
    {
        if (index == deployment.daemons.size()) {
            ready();
            return;
        }
        call(deployment.daemons[index].readiness, "GET", "/readiness", "ready", {}, 500,
            [&deployment, index, ready = std::move(ready)](int status, const QJsonObject&) {
                if (status == 200) {
                    awaitDaemons(deployment, index + 1, ready);
                } else if (nowMs() > readyLimitMs) {
                    std::printf("the daemons are not ready\n");
                    QCoreApplication::exit(2);
                } else {
                    after(100, [&deployment, index, ready] { awaitDaemons(deployment, index, ready); });
                }
            });
    }

    QByteArray jobBody(int tasks, int runMs, int cpu)
    {
        const QJsonObject spec { { "run_ms", runMs }, { "cpu", cpu }, { "mem_mb", 500 } };
        const QJsonObject step { { "count", tasks }, { "cpu", cpu }, { "mem_mb", 500 }, { "estimate_ms", runMs } };
        return QJsonDocument(
            QJsonObject { { "spec", QString::fromUtf8(QJsonDocument(spec).toJson(QJsonDocument::Compact)) },
                { "steps", QJsonArray { step } } })
            .toJson(QJsonDocument::Compact);
    }

    QByteArray lastingBody(int tasks, int cpu)
    {
        const QJsonObject spec { { "run_ms", 0 }, { "cpu", cpu }, { "mem_mb", 500 }, { "ticket", true } };
        const QJsonObject step { { "count", tasks }, { "cpu", cpu }, { "mem_mb", 500 }, { "estimate_ms", 500 },
            { "long_running", true } };
        return QJsonDocument(
            QJsonObject { { "spec", QString::fromUtf8(QJsonDocument(spec).toJson(QJsonDocument::Compact)) },
                { "steps", QJsonArray { step } } })
            .toJson(QJsonDocument::Compact);
    }

    QByteArray jobId(int number) { return QByteArray::number(number, 16).rightJustified(16, '0'); }

    // Submits the job; like a client, repeats it at another daemon after no answer, 502 or 504.
    void submit(Deployment& deployment, int number, const QByteArray& body, const QByteArray& prefix = "/jobs/",
        int attempt = 0)
    {
        const auto daemon = static_cast<std::size_t>(number + attempt) % deployment.daemons.size();
        const QByteArray id = jobId(number);
        deployment.record.line(QString("send  POST %1 to daemon %2").arg(QString::fromLatin1(id)).arg(daemon));
        call(deployment.daemons[daemon].callers, "POST", prefix + id, hostName, body, clientDeadlineMs,
            [&deployment, number, body, prefix, attempt, id, daemon](int status, const QJsonObject&) {
                deployment.record.line(
                    QString("recv  POST %1 from daemon %2: %3").arg(QString::fromLatin1(id)).arg(daemon).arg(status));
                if ((status == 0 || status == 502 || status == 504) && attempt < clientRetries)
                    after(200, [&deployment, number, body, prefix, attempt] {
                        submit(deployment, number, body, prefix, attempt + 1);
                    });
            });
    }

    int conclude(Record& record, std::size_t runs, const std::vector<QString>& breaches)
    {
        for (const QString& breach : breaches)
            record.line("BROKEN " + breach);
        record.line(QString("%1 runs, %2 breaches").arg(runs).arg(breaches.size()));
        std::printf("%zu runs, %zu breaches\n", runs, breaches.size());
        for (const QString& breach : breaches)
            std::printf("%s\n", qPrintable(breach));
        return breaches.empty() ? 0 : 1;
    }

    // Rule TWICE: an executor loses power, silently, and is back under the same id a moment later.
    int playRestartedExecutor(const CaseSettings& settings)
    {
        constexpr int executors = 8;
        constexpr int jobs = 16;
        constexpr std::int64_t firstJobMs = 3000;
        constexpr std::int64_t jobPeriodMs = 1500;
        constexpr int crashes = 4;
        constexpr std::int64_t firstCrashMs = 7800;
        constexpr std::int64_t crashPeriodMs = 4600; // at another phase of the traffic each time
        constexpr std::int64_t downMs = 900;
        constexpr std::int64_t endMs = 6000;                           // after the last job
        Deployment& deployment = *new Deployment(settings, executors); // lives until the process ends
        if (!deployment.isListening)
            return 2;
        awaitDaemons(deployment, 0, [&] {
            for (int job = 1; job <= jobs; ++job)
                after(firstJobMs + job * jobPeriodMs, [&, job] { submit(deployment, job, jobBody(48, 150, 1000)); });
            for (int crash = 0; settings.hasTrouble && crash < crashes; ++crash) {
                after(firstCrashMs + crash * crashPeriodMs,
                    [&, crash] { deployment.workers[static_cast<std::size_t>(crash % executors)]->losePower(downMs); });
            }
            after(firstJobMs + jobs * jobPeriodMs + endMs, [] { QCoreApplication::exit(0); });
        });
        if (const int code = QCoreApplication::exec(); code != 0)
            return code;
        return conclude(deployment.record, deployment.runs.size(), findRepeatedRuns(deployment.runs));
    }

    QByteArray gangBody(int members, int runMs, int cpu)
    {
        const QJsonObject spec { { "run_ms", runMs }, { "cpu", cpu }, { "mem_mb", 500 }, { "gang", members } };
        const QJsonObject step { { "count", members }, { "cpu", cpu }, { "mem_mb", 500 }, { "estimate_ms", runMs },
            { "gang", true } };
        return QJsonDocument(
            QJsonObject { { "spec", QString::fromUtf8(QJsonDocument(spec).toJson(QJsonDocument::Compact)) },
                { "steps", QJsonArray { step } } })
            .toJson(QJsonDocument::Compact);
    }

    // Asks for the state of the job every 500 ms until it is final, and keeps it in `states`.
    void follow(Deployment& deployment, int number, std::map<int, std::string>& states)
    {
        const auto daemon = static_cast<std::size_t>(number) % deployment.daemons.size();
        const QByteArray id = jobId(number);
        call(deployment.daemons[daemon].callers, "GET", "/jobs/" + id, hostName, {}, clientDeadlineMs,
            [&deployment, &states, number, id](int status, const QJsonObject& body) {
                const std::string state = body["state"].toString().toStdString();
                if (status == 200 && states[number] != state) {
                    deployment.record.line(
                        QString("recv  GET %1: %2").arg(QString::fromLatin1(id), body["state"].toString()));
                    states[number] = state;
                }
                if (state != "completed" && state != "failed" && state != "cancelled")
                    after(500, [&deployment, &states, number] { follow(deployment, number, states); });
            });
    }

    // Rule LOST: an executor fails all that it starts, and is given several members of a gang.
    int playFailingExecutor(const CaseSettings& settings)
    {
        constexpr int executors = 12;
        constexpr int jobs = 2;
        constexpr int members = 36;
        constexpr int membersCpu = 5000; // three of them on each executor of 16 cores
        constexpr std::int64_t firstJobMs = 4000;
        constexpr std::int64_t jobPeriodMs = 8000;
        constexpr std::int64_t failForMs = 6500;
        constexpr std::size_t maxAttempts = 3;                         // of the queue
        Deployment& deployment = *new Deployment(settings, executors); // lives until the process ends
        auto& states = *new std::map<int, std::string>;
        if (!deployment.isListening)
            return 2;
        awaitDaemons(deployment, 0, [&] {
            if (settings.hasTrouble) {
                after(firstJobMs - 500, [&] {
                    deployment.record.line("executor w5 fails all that it starts from now on");
                    deployment.workers[5]->failAllRuns(true);
                });
                after(firstJobMs - 500 + failForMs, [&] {
                    deployment.record.line("executor w5 is sound again");
                    deployment.workers[5]->failAllRuns(false);
                });
            }
            for (int job = 1; job <= jobs; ++job) {
                after(firstJobMs + (job - 1) * jobPeriodMs, [&, job] {
                    submit(deployment, job, gangBody(members, 1000, membersCpu));
                    follow(deployment, job, states);
                });
            }
            after(firstJobMs + jobs * jobPeriodMs, [] { QCoreApplication::exit(0); });
        });
        if (const int code = QCoreApplication::exec(); code != 0)
            return code;
        std::vector<QString> breaches;
        for (const auto& [number, state] : states) {
            std::set<std::int64_t> failed; // runs of the gang
            int ends = 0;
            for (const Run& run : deployment.runs) {
                if (run.task.substr(0, 16) != jobId(number).toStdString() || run.how != "failed")
                    continue;
                failed.insert(run.number);
                ++ends;
            }
            if (state == "failed" && failed.size() < maxAttempts)
                breaches.push_back(QString(
                    "job %1 is shown as failed; its gang has failed in %2 runs (%3 members), max_attempts is %4")
                                       .arg(QString::fromLatin1(jobId(number)))
                                       .arg(failed.size())
                                       .arg(ends)
                                       .arg(maxAttempts));
        }
        return conclude(deployment.record, deployment.runs.size(), breaches);
    }

    // Rule LOST: an executor loses power, is back under the same id, is given work, and is lost for good.
    int playFlappingExecutor(const CaseSettings& settings)
    {
        constexpr int executors = 8;
        constexpr int jobs = 15; // the last one is longer
        constexpr int members = 48;
        constexpr std::int64_t firstJobMs = 3000;
        constexpr std::int64_t jobPeriodMs = 1500;
        constexpr std::int64_t lastJobMs = firstJobMs + jobs * jobPeriodMs;
        constexpr std::int64_t crashMs = lastJobMs - 1050;
        constexpr std::int64_t downMs = 900;
        constexpr std::int64_t lostMs = lastJobMs + 350;
        constexpr std::int64_t finishMs = 14000;                       // after the end of the traffic (`finish_s`)
        constexpr std::int64_t idleMs = 3000;                          // without a run
        Deployment& deployment = *new Deployment(settings, executors); // lives until the process ends
        auto& states = *new std::map<int, std::string>;
        if (!deployment.isListening)
            return 2;
        awaitDaemons(deployment, 0, [&] {
            for (int job = 1; job <= jobs; ++job) {
                after(firstJobMs + job * jobPeriodMs, [&, job] {
                    submit(deployment, job, jobBody(members, job < jobs ? 150 : 2000, 1000));
                    follow(deployment, job, states);
                });
            }
            if (settings.hasTrouble) {
                after(crashMs, [&] { deployment.workers[3]->losePower(downMs); });
                after(lostMs, [&] { deployment.workers[3]->losePower(finishMs * 10); });
            }
            after(lastJobMs + finishMs + idleMs, [] { QCoreApplication::exit(0); });
        });
        if (const int code = QCoreApplication::exec(); code != 0)
            return code;
        std::vector<QString> breaches;
        for (const auto& [number, state] : states) {
            if (state == "completed")
                continue;
            std::set<std::string> done;
            std::int64_t lastAtWork = 0;
            for (const Run& run : deployment.runs) {
                if (run.task.substr(0, 16) != jobId(number).toStdString())
                    continue;
                if (run.how == "done")
                    done.insert(run.task);
                lastAtWork = std::max(lastAtWork, run.endedAt < 0 ? nowMs() : run.endedAt);
            }
            if (nowMs() - lastAtWork >= idleMs)
                breaches.push_back(QString("job %1 is shown as %2 with %3 of %4 tasks done, and has had nothing "
                                           "running for %5 ms on %6 idle executors")
                                       .arg(QString::fromLatin1(jobId(number)), QString::fromStdString(state))
                                       .arg(done.size())
                                       .arg(members)
                                       .arg(nowMs() - lastAtWork)
                                       .arg(executors - 1));
        }
        return conclude(deployment.record, deployment.runs.size(), breaches);
    }

    // Rule LOST: tasks that last, and need an approval, lose their executor while the others are full of short tasks.
    int playApprovedRestart(const CaseSettings& settings)
    {
        constexpr int executors = 8;
        constexpr int lastingTasks = 6;
        constexpr int batchJobs = 22;
        constexpr int batchTasks = 36;
        constexpr std::int64_t lastingAtMs = 3000;
        constexpr std::int64_t batchAtMs = 6000;
        constexpr std::int64_t crashMs = 16000;
        constexpr std::int64_t endMs = 46000;
        constexpr std::int64_t sinceLastRunMs = 6000;                  // from which on a task that lasts is judged
        constexpr std::int64_t idleMs = 3000;                          // without a run
        Deployment& deployment = *new Deployment(settings, executors); // lives until the process ends
        auto& advice
            = *new Advice(deployment.record, [](const std::string& worker) { return (worker.back() - '0') % 2 == 0; });
        if (!deployment.isListening || !advice.listen(settings.ports[1 + 2 * daemonCount + executors]))
            return 2;
        const auto route = [](const char* name, int priority) {
            return QJsonObject { { "name", name }, { "hostname", QString::fromLatin1(hostName) },
                { "prefix", QString("/%1/").arg(name) }, { "timeout_ms", clientDeadlineMs }, { "goal_ms", 1000 },
                { "priority", priority }, { "backend", "pool" }, { "max_attempts", 3 }, { "stretch", 2 } };
        };
        QJsonObject watch = route("watch", 0);
        watch["recommendation"] = QJsonObject { { "decision_ms", Advice::decisionMs },
            { "per_item_ms", Advice::perItemMs }, { "valid_ms", Advice::validMs } };
        deployment.store.put("op/config",
            { { "version", 2 }, { "routes", QJsonArray { watch, route("batch", 2) } },
                { "services", QJsonArray { QJsonObject { { "name", "pool" }, { "rejects_overload", true } } } },
                { "limits", QJsonObject {} } });
        for (const auto& worker : deployment.workers)
            worker->useAdvice(advice);
        auto& crashedAt = *new std::int64_t(0);
        awaitDaemons(deployment, 0, [&] {
            after(lastingAtMs, [&] { submit(deployment, 1, lastingBody(lastingTasks, 3000), "/watch/"); });
            for (int job = 0; job < batchJobs; ++job)
                after(batchAtMs + 100 * job,
                    [&, job] { submit(deployment, 2 + job, jobBody(batchTasks, 3000, 4000), "/batch/"); });
            after(crashMs, [&] {
                const auto isLasting = [](const Run& run) {
                    return run.task.substr(0, 16) == jobId(1).toStdString() && run.endedAt < 0;
                };
                const auto run = std::find_if(deployment.runs.begin(), deployment.runs.end(), isLasting);
                crashedAt = nowMs();
                if (settings.hasTrouble && run != deployment.runs.end())
                    deployment.workers[static_cast<std::size_t>(run->worker.back() - '0')]->losePower(10 * endMs);
            });
            after(endMs, [] { QCoreApplication::exit(0); });
        });
        if (const int code = QCoreApplication::exec(); code != 0)
            return code;
        std::vector<QString> breaches;
        for (int index = 0; index < lastingTasks; ++index) {
            const std::string task = jobId(1).toStdString() + ".0.0." + std::to_string(index);
            std::int64_t lastEnd = -1;
            std::int64_t backAt = nowMs();
            for (const Run& run : deployment.runs) {
                if (run.task != task)
                    continue;
                if (lastEnd >= 0 && run.startedAt > lastEnd)
                    backAt = std::min(backAt, run.startedAt);
                if (lastEnd < 0 && run.endedAt >= crashedAt)
                    lastEnd = run.endedAt;
            }
            if (lastEnd >= 0 && backAt - lastEnd >= sinceLastRunMs + idleMs)
                breaches.push_back(QString("task %1 is to last and has not run from %2 ms to %3 ms (%4 ms)")
                                       .arg(QString::fromStdString(task))
                                       .arg(lastEnd)
                                       .arg(backAt)
                                       .arg(backAt - lastEnd));
        }
        return conclude(deployment.record, deployment.runs.size(), breaches);
    }

} // namespace

Case findCase(const QString& name)
{
    if (name == "restarted-executor")
        return playRestartedExecutor;
    if (name == "flapping-executor")
        return playFlappingExecutor;
    if (name == "approved-restart")
        return playApprovedRestart;
    if (name == "failing-executor")
        return playFailingExecutor;
    return {};
}

} // namespace lacewing::review
