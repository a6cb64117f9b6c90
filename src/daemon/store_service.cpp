// Budget, breaker and reply times around each call to the store.
#include "daemon/store_service.h"

#include "daemon/platform_store.h"
#include "kernel/log.h"

#include <QTimer>

namespace lacewing::daemon {

namespace {

    // An answer that shows that the store works, also when it refused the call.
    template <typename T> bool isAnswer(const store::Result<T>& result)
    {
        return result.has_value() || result.error().code != store::Error::Code::Unavailable;
    }

} // namespace

StoreService::StoreService(Runtime& runtime, std::unique_ptr<store::Client> platform)
    : m_runtime(runtime)
    , m_platform(std::move(platform))
    , m_budget(runtime.settings.platform.storeWritesPerSecond, runtime.settings.platform.storeReadsPerSecond,
          base::monotonicNow())
{
    m_groupCommit.limits.smallest = base::milliseconds(runtime.settings.batch.commitIntervalMs);
    m_groupCommit.interval = m_groupCommit.limits.smallest;
}

std::optional<store::Error> StoreService::refusal(Kind kind)
{
    const base::TimePoint now = base::monotonicNow();
    const bool isInBudget = kind == Kind::Write ? store::takeWrite(m_budget, now) : store::takeRead(m_budget, now);
    if (!isInBudget) {
        m_runtime.metrics
            .counter("lacewing_store_calls_refused_total", "Store calls not sent.", { { "reason", "budget" } })
            .value
            += 1;
        return store::Error { store::Error::Code::Budget, "call budget of this daemon is used up", 0, {} };
    }
    if (!store::allowCall(m_breaker, now)) {
        m_runtime.metrics
            .counter("lacewing_store_calls_refused_total", "Store calls not sent.", { { "reason", "breaker" } })
            .value
            += 1;
        return store::Error { store::Error::Code::NotSent, "circuit breaker is open", 0, {} };
    }
    return std::nullopt;
}

void StoreService::onAnswer(Kind kind, base::TimePoint sentAt, bool isAnswered)
{
    const base::TimePoint now = base::monotonicNow();
    if (isAnswered) {
        store::onSuccess(m_breaker);
        // A watch waits on purpose; its reply time says nothing about the store.
        if (kind != Kind::Watch)
            store::onReplyTime(m_groupCommit, now - sentAt);
    } else {
        store::onFailure(m_breaker, now, m_runtime.rng);
        m_runtime.metrics.counter("lacewing_store_calls_unanswered_total", "Store calls without an answer.").value += 1;
    }
    if (isAnswered == m_hasAccess)
        return;
    m_hasAccess = isAnswered;
    kernel::logEvent(isAnswered ? kernel::LogLevel::Info : kernel::LogLevel::Warning, "store",
        isAnswered ? "storeAvailable" : "storeUnavailable");
    for (const auto& listener : m_accessListeners)
        listener(isAnswered);
}

template <typename T>
std::function<void(store::Result<T>)> StoreService::observed(Kind kind, std::function<void(store::Result<T>)> done)
{
    const char* name = kind == Kind::Write ? "write" : kind == Kind::Read ? "read" : "watch";
    m_runtime.metrics.counter("lacewing_store_calls_total", "Store calls sent.", { { "kind", name } }).value += 1;
    const base::TimePoint sentAt = base::monotonicNow();
    return [this, kind, sentAt, done = std::move(done)](store::Result<T> result) {
        onAnswer(kind, sentAt, isAnswer(result));
        done(std::move(result));
    };
}

template <typename T> bool StoreService::refuse(Kind kind, const std::function<void(store::Result<T>)>& done)
{
    const std::optional<store::Error> error = refusal(kind);
    if (!error)
        return false;
    QTimer::singleShot(0, &m_loop, [done, error] { done(*error); });
    return true;
}

void StoreService::get(const std::string& key, std::function<void(store::Result<store::Entry>)> done)
{
    if (!refuse(Kind::Read, done))
        m_platform->get(key, observed<store::Entry>(Kind::Read, std::move(done)));
}

void StoreService::put(const std::string& key, const std::string& value, store::Version expected,
    const std::string& operation, std::function<void(store::Result<store::Version>)> done)
{
    if (!refuse(Kind::Write, done))
        m_platform->put(key, value, expected, operation, observed<store::Version>(Kind::Write, std::move(done)));
}

void StoreService::remove(const std::string& key, store::Version expected, const std::string& operation,
    std::function<void(store::Result<void>)> done)
{
    if (!refuse(Kind::Write, done))
        m_platform->remove(key, expected, operation, observed<void>(Kind::Write, std::move(done)));
}

void StoreService::list(const std::string& prefix, std::function<void(store::Result<store::Listing>)> done)
{
    if (!refuse(Kind::Read, done))
        m_platform->list(prefix, observed<store::Listing>(Kind::Read, std::move(done)));
}

void StoreService::watch(const std::string& prefix, std::uint64_t after, base::Duration wait,
    std::function<void(store::Result<store::WatchAnswer>)> done)
{
    if (!refuse(Kind::Watch, done))
        m_platform->watch(prefix, after, wait, observed<store::WatchAnswer>(Kind::Watch, std::move(done)));
}

base::Duration StoreService::commitInterval(base::TimePoint now)
{
    return store::commitInterval(m_groupCommit, m_budget, now);
}

void registerStoreService(Runtime& runtime)
{
    struct State {
        std::unique_ptr<http::Client> client;
        std::unique_ptr<StoreService> service;
    };
    auto state = std::make_shared<State>();
    kernel::Service service;
    service.name = serviceNames::store;
    service.start = [&runtime, state] {
        state->client = std::make_unique<http::Client>();
        const PlatformSettings& platform = runtime.settings.platform;
        state->service = std::make_unique<StoreService>(
            runtime, std::make_unique<PlatformStore>(*state->client, platform.storeUrl, platform.storeTimeoutMs));
        kernel::publish(runtime.kernel, serviceNames::store, state->service.get());
        return std::string();
    };
    service.stop = [state] {
        state->client.reset();
        state->service.reset();
    };
    static_cast<void>(kernel::registerService(runtime.kernel, std::move(service)));
}

} // namespace lacewing::daemon
