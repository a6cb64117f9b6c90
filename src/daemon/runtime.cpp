// Creation of the shared state, and the reachability of the store.
#include "daemon/runtime.h"

#include "daemon/client_budget.h"
#include "http/budget.h"
#include "kernel/log.h"

namespace lacewing::daemon {

namespace {

    // ms; a store that has been failing for less counts as reachable: single lost answers are common.
    constexpr scheduler::Millis storeFailingMs = 800;

    // ms between two lines about items that cannot be read; each list repeats them, and the counter has them all.
    constexpr scheduler::Millis malformedItemLogMs = 10000;

    platform::StoreSettings toStoreSettings(const Settings& settings)
    {
        platform::StoreSettings store;
        store.address = QString::fromStdString(settings.storeAddress);
        return store;
    }

} // namespace

Runtime::Runtime(Settings values)
    : settings(std::move(values))
    , incarnation(base::wallClockMs())
    , clientBudget(makeClientBudget(settings.limits))
    , store(std::make_unique<platform::Store>(toStoreSettings(settings)))
{
    work.ownLimitBytes = workLimitBytes(settings.limits.memoryMb, settings.limits.workShare);
    storeReachability = store->onReachability([](bool isReachable, const std::string& detail) {
        kernel::logEvent(isReachable ? kernel::LogLevel::Notice : kernel::LogLevel::Warning, "store",
            isReachable ? "dependencyRegained" : "dependencyLost", { { "dependency", "store" }, { "detail", detail } });
    });
    store->onMalformedItem([this, loggedAt = scheduler::Millis(0)](const std::string& key) mutable {
        const scheduler::Millis now = nowMs();
        if (loggedAt > 0 && now - loggedAt < malformedItemLogMs)
            return;
        loggedAt = now;
        kernel::logEvent(kernel::LogLevel::Warning, "store", "itemRefused",
            { { "key", key }, { "refused", static_cast<std::int64_t>(store->counters().malformedItems) } });
    });
}

scheduler::Millis nowMs() { return base::toMilliseconds(base::monotonicNow().time_since_epoch()); }

bool isStoreReachable(const Runtime& runtime)
{
    const platform::StoreHealth& health = runtime.store->health();
    return health.answeredAt > 0 && (health.failingSince == 0 || nowMs() - health.failingSince < storeFailingMs);
}

} // namespace lacewing::daemon
