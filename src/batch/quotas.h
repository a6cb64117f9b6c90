// Teams: quotas and weighted fair shares.
//
// A quota is a hard limit of processors committed at one time. The share orders queued work: the team with the least
// committed processors / share goes first.
#pragma once

#include "batch/types.h"

#include <map>
#include <optional>

namespace lacewing::batch {

struct TeamPolicy {
    std::int64_t quotaCpuMilli = 0; // 0: no limit
    double share = 1;
};

struct TeamUse {
    std::int64_t cpuMilli = 0; // committed now
};

struct TeamLedger {
    std::map<base::TeamId, TeamPolicy> policies; // empty: every team has share 1 and no quota
    std::map<base::TeamId, TeamUse> use;         // by the shards of this daemon
    std::map<base::TeamId, TeamUse> elsewhere;   // by other daemons, from digests; late
};

// Whether the team may commit more. An unknown team has no right when policies exist.
bool fitsQuota(const TeamLedger& ledger, const base::TeamId& team, const Resources& resources);
bool isKnownTeam(const TeamLedger& ledger, const base::TeamId& team);
// Committed processors / share; the smallest goes first.
double fairPosition(const TeamLedger& ledger, const base::TeamId& team);
void addUse(TeamLedger& ledger, const base::TeamId& team, std::int64_t cpuMilli);

} // namespace lacewing::batch
