// Report for operators: what a new term still waits for, and how far it has come. It influences no decision.
#pragma once

#include "base/names.h"
#include "scheduler/types.h"

#include <array>
#include <string>

namespace lacewing::scheduler {

struct Scheduler;
struct Task;
struct Worker;

// --- Accounting of a term ---

// Why the runs of earlier terms on a worker are not known yet.
enum class AccountingDelay {
    None,
    NotReported,      // no answer in this term yet
    LeaseNotOver,     // does not answer, and its lease may not have expired on the slowest clock
    EndListTruncated, // has reported, but may hold more ends than one report lists
};

constexpr base::EnumNames<AccountingDelay, 4> accountingDelayNames { {
    { AccountingDelay::None, "none" },
    { AccountingDelay::NotReported, "notReported" },
    { AccountingDelay::LeaseNotOver, "leaseNotOver" },
    { AccountingDelay::EndListTruncated, "endListTruncated" },
} };

AccountingDelay accountingDelay(const Worker& worker);
// ms until the worker's lease is over on the slowest clock; 0: it is over, or the worker holds a lease of this term.
Millis leaseLeftMs(const Scheduler& scheduler, const Worker& worker, Millis now);

struct AccountingStatus {
    int workers = 0;
    int unreachable = 0; // do not answer, whether their leases are over or not
    std::array<int, accountingDelayNames.size()> byDelay {};
    // The worker whose lease ends last among those that delay the accounting; empty: none does.
    std::string lastWorker;
    AccountingDelay lastDelay = AccountingDelay::None;
    Millis lastLeftMs = 0;
};

AccountingStatus accountingStatus(const Scheduler& scheduler, Millis now);

struct UnknownTasks {
    int tasks = 0;
    int lasting = 0;
};

UnknownTasks countUnknownTasks(const Scheduler& scheduler);

// --- State of the report of a term ---

struct RecoveryReport {
    Millis accountedAt = 0;       // 0: not yet
    Millis firstFreedStartAt = 0; // first start of a task that was Unknown when the term began; 0: none yet
    UnknownTasks unknown;         // at the last count
    std::string lastWorker;       // the last one that delayed the accounting
    AccountingDelay lastDelay = AccountingDelay::None;
    Millis waitingReportedAt = 0; // last line `termWaiting`
};

// Follows the accounting: logs `termWaiting` at most once a second, and `termAccounted` once. Called by each plan after
// reconcileWorkers and before the review of the jobs.
void reportAccounting(Scheduler& scheduler, Millis now);
// Called for each start order.
void reportStart(Scheduler& scheduler, Task& task, Millis now);

} // namespace lacewing::scheduler
