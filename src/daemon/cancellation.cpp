// Records of cancelled jobs in place of accepted ones.
#include "daemon/cancellation.h"

#include "daemon/runtime.h"
#include "scheduler/record.h"

namespace lacewing::daemon {

void addAcceptance(platform::Transaction& transaction, const std::string& id, const QByteArray& record)
{
    const std::string key = storeKeys::acceptedPrefix + id;
    transaction.conditions.push_back({ key, 0 });
    transaction.writes.push_back({ key, record });
}

platform::Transaction cancelUnknown(const std::string& id, const std::string& account, std::int64_t nowUnixMs)
{
    platform::Transaction transaction;
    addAcceptance(transaction, id, scheduler::encodeEnded({ id, scheduler::JobState::Cancelled, nowUnixMs, account }));
    return transaction;
}

bool isCancelled(const platform::Item& accepted) { return stateOf(accepted) == scheduler::JobState::Cancelled; }

scheduler::JobState stateOf(const platform::Item& accepted)
{
    const auto ended = scheduler::decodeEnded(accepted.value);
    return ended ? ended->state : scheduler::JobState::Queued;
}

std::string accountOf(const platform::Item& accepted) { return scheduler::decodeAccount(accepted.value); }

bool mayCancelUnknown(UnknownCancels& cancels, scheduler::Millis now)
{
    constexpr scheduler::Millis periodMs = 1000;
    if (now - cancels.periodStartedAt >= periodMs)
        cancels = { now, 0 };
    return ++cancels.inPeriod <= maxUnknownCancelsPerSecond;
}

} // namespace lacewing::daemon
