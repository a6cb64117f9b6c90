// Lists all keys once and then watches for changes; lists again when the store no longer has the history.
#include "daemon/configuration_service.h"

#include "kernel/log.h"
#include "platform/documents.h"

#include <QTimer>

namespace lacewing::daemon {

namespace {

    constexpr int watchWaitMs = 2000; // ms; a dead connection is detected within this time plus the store's margin
    constexpr int watchGapMs = 150;   // ms between watch calls; combines changes in quick succession
    constexpr int retryMs = 250;      // ms after a failed call

    bool startsWith(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

} // namespace

ConfigurationService::ConfigurationService(Runtime& runtime)
    : m_runtime(runtime)
{
}

void ConfigurationService::start() { list(); }

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

void ConfigurationService::list()
{
    m_runtime.store->list(platform::operatorPrefix, platform::Freshness::Linearizable,
        [this, askedAt = nowMs()](const base::Result<platform::ItemList, platform::StoreError>& result) {
            if (result.has_error()) {
                retry(true, result.error(), askedAt);
                return;
            }
            m_withdrawnByOperator.clear();
            for (const platform::Item& item : result.value().items)
                apply(item);
            m_revision = result.value().revision;
            m_askedAt = askedAt;
            notify();
            watch();
        });
}

void ConfigurationService::watch()
{
    m_runtime.store->watch("configuration", platform::operatorPrefix, m_revision, watchWaitMs,
        [this, askedAt = nowMs()](const base::Result<platform::ItemList, platform::StoreError>& result) {
            if (result.has_error()) {
                retry(result.error().code == platform::StoreCode::HistoryGone, result.error(), askedAt);
                return;
            }
            for (const platform::Item& item : result.value().items)
                apply(item);
            m_revision = std::max(m_revision, result.value().revision);
            m_askedAt = askedAt;
            if (!result.value().items.empty())
                notify();
            QTimer::singleShot(result.value().items.empty() ? 0 : watchGapMs, this, [this] { watch(); });
        });
}

void ConfigurationService::retry(bool fromList, const platform::StoreError& error, scheduler::Millis askedAt)
{
    kernel::logEvent(kernel::LogLevel::Warning, "configuration", "watchFailed",
        { { "waitedMs", nowMs() - askedAt }, { "ageMs", ageMs() }, { "revision", m_revision },
            { "detail", error.detail } });
    m_runtime.metrics
        .counter("lacewing_watch_failures_total", "Calls of a watch that failed, by watch.",
            { { "watch", "configuration" } })
        .value++;
    QTimer::singleShot(retryMs, this, [this, fromList] {
        if (fromList)
            list();
        else
            watch();
    });
}

void ConfigurationService::apply(const platform::Item& item)
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
    std::optional<scheduler::Configuration> decoded = platform::decodeConfiguration(item.value);
    if (!decoded) {
        kernel::logEvent(kernel::LogLevel::Error, "configuration", "configurationRefused",
            { { "revision", item.revision }, { "bytes", static_cast<std::int64_t>(item.value.size()) } });
        return;
    }
    if (m_current && decoded->version <= m_current->version)
        return;
    kernel::logEvent(kernel::LogLevel::Notice, "configuration", "configurationInForce",
        { { "version", decoded->version }, { "revision", item.revision },
            { "queues", static_cast<std::int64_t>(decoded->queues.size()) }, { "ageMs", ageMs() } });
    m_current = std::move(decoded);
}

scheduler::Millis ConfigurationService::ageMs() const { return m_askedAt > 0 ? nowMs() - m_askedAt : -1; }

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
