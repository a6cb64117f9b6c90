// Decodes and applies what the watch delivers.
#include "daemon/configuration_service.h"

#include "daemon/access.h"
#include "kernel/log.h"
#include "platform/documents.h"

#include <algorithm>

namespace lacewing::daemon {

namespace {

    constexpr int watchGapMs = 150; // ms between watch calls; combines changes in quick succession

    // ms; as the least of `bounds.configurationMs`. Below it, requests ask the store themselves where they must.
    constexpr scheduler::Millis shortestBoundMs = 400;

    WatchTimes watchTimes(const Settings& settings)
    {
        const auto boundMs = std::max(shortestBoundMs, keyedMaxAgeMs(settings.bounds));
        WatchTimes times = watchTimesWithin(static_cast<int>(boundMs));
        times.gapMs = watchGapMs;
        return times;
    }

    constexpr std::size_t maxFaultLines = 20; // for each version; a faulty document has as many faults as entries

    void logFaults(std::int64_t version, const std::vector<platform::DocumentFault>& faults)
    {
        for (std::size_t i = 0; i < std::min(maxFaultLines, faults.size()); ++i)
            kernel::logEvent(kernel::LogLevel::Error, "configuration", "configurationFault",
                { { "version", version }, { "position", faults[i].position }, { "detail", faults[i].reason },
                    { "faults", static_cast<std::int64_t>(faults.size()) } });
    }

    bool startsWith(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

} // namespace

ConfigurationService::ConfigurationService(Runtime& runtime)
    : m_runtime(runtime)
    , m_watch(runtime, "configuration", platform::operatorPrefix, watchTimes(runtime.settings),
          [this](const StoreWatch::Changes& changes) { apply(changes); })
{
}

void ConfigurationService::start() { m_watch.start(); }

const scheduler::Queue* ConfigurationService::findQueue(const std::string& host, const std::string& path) const
{
    const scheduler::Queue* best = nullptr;
    if (!m_current)
        return best;
    for (const scheduler::Queue& queue : m_current->queues) {
        if (queue.host == host && startsWith(path, queue.prefix)
            && (!best || queue.prefix.size() > best->prefix.size()))
            best = &queue;
    }
    return best;
}

void ConfigurationService::apply(const StoreWatch::Changes& changes)
{
    if (changes.isComplete)
        m_withdrawnByOperator.clear();
    const scheduler::Millis formerAgeMs = changes.formerAskedAt > 0 ? nowMs() - changes.formerAskedAt : -1;
    for (const platform::Item& item : changes.items)
        apply(item, formerAgeMs);
    notify();
}

void ConfigurationService::apply(const platform::Item& item, scheduler::Millis formerAgeMs)
{
    if (startsWith(item.key, platform::withdrawnPrefix)) {
        const std::string dataCentre = item.key.substr(platform::withdrawnPrefix.size());
        if (item.isDeleted)
            m_withdrawnByOperator.erase(dataCentre);
        else
            m_withdrawnByOperator.insert(dataCentre);
        kernel::logEvent(kernel::LogLevel::Notice, "configuration",
            item.isDeleted ? "dataCentreReturned" : "dataCentreWithdrawn",
            { { "dataCentreName", dataCentre }, { "revision", item.revision } });
        return;
    }
    if (item.key != platform::configurationKey || item.isDeleted)
        return;
    std::vector<platform::DocumentFault> faults;
    std::optional<scheduler::Configuration> decoded = platform::decodeConfiguration(item.value, &faults);
    if (!decoded) {
        kernel::logEvent(kernel::LogLevel::Error, "configuration", "configurationRefused",
            { { "revision", item.revision }, { "bytes", static_cast<std::int64_t>(item.value.size()) } });
        return;
    }
    if (m_current && decoded->version <= m_current->version)
        return;
    kernel::logEvent(kernel::LogLevel::Notice, "configuration", "configurationInForce",
        { { "version", decoded->version }, { "revision", item.revision },
            { "queues", static_cast<std::int64_t>(decoded->queues.size()) }, { "hasAccounts", decoded->hasAccounts },
            { "accounts", static_cast<std::int64_t>(decoded->accounts.size()) },
            { "keys", static_cast<std::int64_t>(decoded->accountByKey.size()) }, { "ageMs", formerAgeMs } });
    logFaults(decoded->version, faults);
    m_current = std::move(decoded);
}

scheduler::Millis ConfigurationService::ageMs() const
{
    return m_watch.askedAt() > 0 ? nowMs() - m_watch.askedAt() : -1;
}

void ConfigurationService::confirm(std::function<void(bool)> callback)
{
    confirm(m_runtime.settings.bounds.configurationMs, std::move(callback));
}

void ConfigurationService::confirm(scheduler::Millis maxAgeMs, std::function<void(bool)> callback)
{
    const scheduler::Millis notBefore = nowMs() - maxAgeMs;
    if (m_watch.askedAt() < notBefore && !isStoreReachable(m_runtime))
        callback(false);
    else
        m_watch.check(notBefore, std::move(callback));
}

std::set<std::string> ConfigurationService::withdrawn() const
{
    std::set<std::string> all = m_withdrawnByOperator;
    all.insert(m_withdrawnByPolicy.begin(), m_withdrawnByPolicy.end());
    return all;
}

void ConfigurationService::setWithdrawnByPolicy(std::set<std::string> dataCentres)
{
    if (dataCentres == m_withdrawnByPolicy)
        return;
    m_withdrawnByPolicy = std::move(dataCentres);
    notify();
}

void ConfigurationService::notify()
{
    for (const auto& listener : m_listeners)
        listener();
}

void registerConfigurationService(Runtime& runtime)
{
    auto service = std::make_shared<ConfigurationService>(runtime);
    kernel::Service entry;
    entry.name = serviceNames::configuration;
    entry.start = [&runtime, service] {
        kernel::publish(runtime.kernel, serviceNames::configuration, service.get());
        service->start();
        return std::string();
    };
    kernel::registerService(runtime.kernel, std::move(entry)).assume_value();
}

} // namespace lacewing::daemon
