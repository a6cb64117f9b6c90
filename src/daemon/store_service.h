// Service `store`: the platform's store with this daemon's call budget and circuit breaker in front of it.
//
// Every call is counted. A call over the budget ends with Budget, a call while the breaker is open with NotSent; both
// are certain not to have taken effect. Listeners learn when access to the store is lost and when it returns.
#pragma once

#include "daemon/runtime.h"
#include "http/client.h"
#include "store/breaker.h"
#include "store/call_budget.h"
#include "store/client.h"
#include "store/group_commit.h"

#include <QObject>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing::daemon {

class StoreService : public store::Client {
public:
    StoreService(Runtime& runtime, std::unique_ptr<store::Client> platform);

    void get(const std::string& key, std::function<void(store::Result<store::Entry>)> done) override;
    void put(const std::string& key, const std::string& value, store::Version expected, const std::string& operation,
        std::function<void(store::Result<store::Version>)> done) override;
    void remove(const std::string& key, store::Version expected, const std::string& operation,
        std::function<void(store::Result<void>)> done) override;
    void list(const std::string& prefix, std::function<void(store::Result<store::Listing>)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, base::Duration wait,
        std::function<void(store::Result<store::WatchAnswer>)> done) override;

    // True when the latest call was answered.
    bool hasAccess() const { return m_hasAccess; }
    // Called with each change of hasAccess.
    void onAccessChanged(std::function<void(bool)> listener) { m_accessListeners.push_back(std::move(listener)); }
    // Time between two writes of one shard, from the budget and the reply times.
    base::Duration commitInterval(base::TimePoint now);
    const store::CallBudget& budget() const { return m_budget; }
    const store::Breaker& breaker() const { return m_breaker; }

private:
    enum class Kind { Read, Write, Watch };

    // The reason why a call must not be sent now, if any.
    std::optional<store::Error> refusal(Kind kind);
    template <typename T>
    std::function<void(store::Result<T>)> observed(Kind kind, std::function<void(store::Result<T>)> done);
    template <typename T> bool refuse(Kind kind, const std::function<void(store::Result<T>)>& done);
    void onAnswer(Kind kind, base::TimePoint sentAt, bool isAnswered);

    Runtime& m_runtime;
    std::unique_ptr<store::Client> m_platform;
    store::CallBudget m_budget;
    store::Breaker m_breaker;
    store::GroupCommit m_groupCommit;
    bool m_hasAccess = false;
    std::vector<std::function<void(bool)>> m_accessListeners;
    QObject m_loop; // delays refusals to the event loop
};

// Registers the service in the runtime's kernel.
void registerStoreService(Runtime& runtime);

} // namespace lacewing::daemon
