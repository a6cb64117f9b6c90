// Watches the operator's configuration and the withdrawn data centres in the store.
//
// Every daemon watches them itself, so that an accepted version takes effect without depending on another daemon.
// Within a process the version never decreases. While the store is unreachable, the last version stays in force, but a
// request that another version may handle otherwise is checked with the store first (see confirm()).
#pragma once

#include "daemon/runtime.h"
#include "daemon/store_watch.h"
#include "scheduler/types.h"

#include <QObject>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing::daemon {

class ConfigurationService : public QObject {
public:
    explicit ConfigurationService(Runtime& runtime);

    void start();
    bool isLoaded() const { return m_current.has_value(); }
    // Valid after isLoaded().
    const scheduler::Configuration& current() const { return *m_current; }
    // Data centres that are withdrawn by the operator's keys or by the product's own configuration.
    std::set<std::string> withdrawn() const;
    void setWithdrawnByPolicy(std::set<std::string> dataCentres);
    // Queue of a request by host and longest matching prefix; nullptr when there is none.
    const scheduler::Queue* findQueue(const std::string& host, const std::string& path) const;
    // Time since the store was asked for what is known here, -1 before the first answer. Changes that the store
    // accepted earlier than that are known.
    scheduler::Millis ageMs() const;
    // Calls back with true once the configuration is known to be that of at most `bounds.configurationMs` ago: at once
    // with a working watch, else after asking the store. With false when the store does not answer.
    void confirm(std::function<void(bool isCurrent)> callback);
    // As above, for another age.
    void confirm(scheduler::Millis maxAgeMs, std::function<void(bool isCurrent)> callback);
    // The callback runs after each change, for the lifetime of the service.
    void onChange(std::function<void()> callback) { m_listeners.push_back(std::move(callback)); }

private:
    void apply(const StoreWatch::Changes& changes);
    void apply(const platform::Item& item, scheduler::Millis formerAgeMs);
    void notify();

    Runtime& m_runtime;
    std::optional<scheduler::Configuration> m_current;
    StoreWatch m_watch;
    std::set<std::string> m_withdrawnByOperator;
    std::set<std::string> m_withdrawnByPolicy;
    std::vector<std::function<void()>> m_listeners;
};

void registerConfigurationService(Runtime& runtime);

} // namespace lacewing::daemon
