// JSON of GET /v1/accounts.
#include "daemon/account_report.h"

#include <QJsonArray>
#include <set>

namespace lacewing::daemon {

namespace {

    struct JobCounts {
        int running = 0;
        int waiting = 0; // nothing has been started
    };

    std::map<std::string, JobCounts> countJobs(const scheduler::Scheduler& scheduler)
    {
        std::map<std::string, JobCounts> counts;
        for (const std::string& id : scheduler.active) {
            const scheduler::Job& job = *scheduler.jobs.at(id);
            if (job.request.account.empty())
                continue;
            JobCounts& count = counts[job.request.account];
            ++(job.hasStarted ? count.running : count.waiting);
        }
        return counts;
    }

    QJsonObject refusalsToJson(const AccountRefusals& refusals, const std::string& account)
    {
        QJsonObject json;
        const auto found = refusals.byAccount.find(account);
        if (found == refusals.byAccount.end())
            return json;
        for (const auto& [cause, count] : found->second)
            json[QLatin1String(base::nameOf(refusalCauseNames, cause))] = static_cast<qint64>(count);
        return json;
    }

} // namespace

QJsonObject accountReport(const scheduler::Configuration& configuration, const AccountRefusals& refusals,
    const scheduler::Scheduler* scheduler)
{
    const std::map<std::string, JobCounts> counts
        = scheduler ? countJobs(*scheduler) : std::map<std::string, JobCounts>();
    std::set<std::string> names;
    for (const auto& [name, account] : configuration.accounts)
        names.insert(name);
    for (const auto& [name, count] : counts)
        names.insert(name);
    for (const auto& [name, causes] : refusals.byAccount) {
        if (!name.empty())
            names.insert(name);
    }
    QJsonArray list;
    for (const std::string& name : names) {
        QJsonObject json { { "name", QString::fromStdString(name) }, { "refusals", refusalsToJson(refusals, name) } };
        if (const auto found = configuration.accounts.find(name); found != configuration.accounts.end()) {
            const scheduler::Account& account = found->second;
            json["weight"] = account.weight;
            json["cap"] = QJsonObject { { "cpuMilli", account.cap.cpuMillicores }, { "memoryMb", account.cap.memoryMb },
                { "accelerators", account.cap.gpus } };
        } else {
            json["isRemoved"] = true;
        }
        if (scheduler) {
            const auto count = counts.find(name);
            json["running"] = count == counts.end() ? 0 : count->second.running;
            json["waiting"] = count == counts.end() ? 0 : count->second.waiting;
        }
        list.append(json);
    }
    return { { "hasAccounts", configuration.hasAccounts },
        { "platformVersion", static_cast<qint64>(configuration.version) }, { "accounts", list },
        { "refusalsWithoutAccount", refusalsToJson(refusals, {}) } };
}

} // namespace lacewing::daemon
