// Which requests of callers are served where the operator's configuration has client accounts, and which jobs they may
// use. The load: callers that try keys, keys that have just been added or withdrawn, and daemons that are cut from the
// store, or paused, while that happens.
//
// A refusal because of a key claims that the configuration in force does not have it, so that it needs a configuration
// that is known to be recent. Where revocation is enforced, so does serving. Pure: the age of the configuration is
// passed in. Keys are hashed at once and kept nowhere.
#pragma once

#include "base/names.h"
#include "daemon/settings.h"
#include "http/message.h"
#include "scheduler/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing::daemon {

// Why a request of a caller was refused, for metrics, logs and operators.
enum class RefusalCause {
    None,
    NoKey,
    SeveralHeaders, // of Authorization
    OtherScheme,
    NoToken, // the scheme without a key
    UnknownKey,
    ConfigurationOutdated,
    OtherAccount, // the job is of another account
    OverCap,      // a gang that needs more than the cap of its account
    WorkTooLarge, // a job that needs more memory than all accepted jobs may take
    WorkFull,     // a job for which the accepted ones leave no memory
    Malformed,
    TooMany,
    Unavailable,
    UnknownOutcome,
};

constexpr base::EnumNames<RefusalCause, 15> refusalCauseNames { {
    { RefusalCause::None, "none" },
    { RefusalCause::NoKey, "noKey" },
    { RefusalCause::SeveralHeaders, "severalHeaders" },
    { RefusalCause::OtherScheme, "otherScheme" },
    { RefusalCause::NoToken, "noToken" },
    { RefusalCause::UnknownKey, "unknownKey" },
    { RefusalCause::ConfigurationOutdated, "configurationOutdated" },
    { RefusalCause::OtherAccount, "otherAccount" },
    { RefusalCause::OverCap, "overCap" },
    { RefusalCause::WorkTooLarge, "workTooLarge" },
    { RefusalCause::WorkFull, "workFull" },
    { RefusalCause::Malformed, "malformed" },
    { RefusalCause::TooMany, "tooMany" },
    { RefusalCause::Unavailable, "unavailable" },
    { RefusalCause::UnknownOutcome, "unknownOutcome" },
} };

// --- Keys ---

// What the age of the configuration allows for requests that need a key.
struct AccessBasis {
    bool isCurrent = false;     // a key that is not in the configuration is known to be invalid
    bool mayServeKnown = false; // a key that is in the configuration is served
};

// Largest age of the configuration by which a request with a key is handled. A key that was withdrawn before a request
// by the revocation time is then known to be withdrawn, because the store was asked within that time.
scheduler::Millis keyedMaxAgeMs(const PlatformBounds& bounds);

// ageMs: time since the store was asked for the configuration, at the time of the decision; -1: not known.
AccessBasis basisFor(scheduler::Millis ageMs, const PlatformBounds& bounds);

bool needsKey(const scheduler::Queue& queue, const scheduler::Configuration& configuration);

struct Access {
    int status = 200;                        // 200: allowed, 401 or 503
    RefusalCause cause = RefusalCause::None; // of a refusal
    std::string account;                     // of the key, also of a known one that is not served; empty: none
};

Access decideAccess(const http::Headers& headers, const scheduler::Queue& queue,
    const scheduler::Configuration& configuration, const AccessBasis& basis);

// --- Jobs ---

// Whether callers of an account (empty: none) may read, cancel and repeat a job. Jobs without an account, of public
// queues or from before there were accounts, are open to all callers that reach their queue.
bool mayUseJob(const std::string& account, const std::string& jobAccount);

// A gang needs all its tasks at a time, so that one above the cap never starts. Returns the reason, or an empty text.
// A single task above the cap may run while its account has nothing else running.
std::string gangOverCap(const scheduler::JobRequest& job, const scheduler::Capacity& cap);

// --- Refusals ---

// Cause of a refusal that has none of its own; None for an answer that refuses nothing.
RefusalCause causeOfStatus(int status);

constexpr std::size_t maxCountedAccounts = 100;     // with series of their own; limit of the operators' monitoring
inline const std::string otherAccounts = "(other)"; // series of all the others

// Counts of refusals by account and cause. Requests without a known key are counted under the empty name.
struct AccountRefusals {
    std::map<std::string, std::map<RefusalCause, std::uint64_t>> byAccount;
};

// Returns the name under which it was counted.
std::string countRefusal(AccountRefusals& refusals, const std::string& account, RefusalCause cause);

} // namespace lacewing::daemon
