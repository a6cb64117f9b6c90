// Quotas and fair shares of teams.
#include "batch/quotas.h"

#include <algorithm>

namespace lacewing::batch {

namespace {

    std::int64_t usedBy(const TeamLedger& ledger, const base::TeamId& team)
    {
        const auto use = ledger.use.find(team);
        const auto elsewhere = ledger.elsewhere.find(team);
        return (use == ledger.use.end() ? 0 : use->second.cpuMilli)
            + (elsewhere == ledger.elsewhere.end() ? 0 : elsewhere->second.cpuMilli);
    }

} // namespace

bool isKnownTeam(const TeamLedger& ledger, const base::TeamId& team)
{
    return ledger.policies.empty() || ledger.policies.contains(team);
}

bool fitsQuota(const TeamLedger& ledger, const base::TeamId& team, const Resources& resources)
{
    if (ledger.policies.empty())
        return true;
    const auto policy = ledger.policies.find(team);
    if (policy == ledger.policies.end())
        return false;
    if (policy->second.quotaCpuMilli <= 0)
        return true;
    return usedBy(ledger, team) + resources.cpuMilli <= policy->second.quotaCpuMilli;
}

double fairPosition(const TeamLedger& ledger, const base::TeamId& team)
{
    const auto policy = ledger.policies.find(team);
    const double share = policy == ledger.policies.end() ? 1 : std::max(policy->second.share, 1e-6);
    return static_cast<double>(usedBy(ledger, team)) / share;
}

void addUse(TeamLedger& ledger, const base::TeamId& team, std::int64_t cpuMilli)
{
    const auto entry = ledger.use.try_emplace(team).first;
    entry->second.cpuMilli += cpuMilli;
    if (entry->second.cpuMilli <= 0)
        ledger.use.erase(entry);
}

} // namespace lacewing::batch
