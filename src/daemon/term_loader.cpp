// Steps of the load of a term.
#include "daemon/term_loader.h"

#include "daemon/runtime.h"
#include "kernel/log.h"

namespace lacewing::daemon {

namespace {

    constexpr int retryMs = 250;     // ms after a failed call
    constexpr int sliceMs = 20;      // ms of applying records before other events have their turn
    constexpr int reportMs = 1000;   // ms between lines on a load that goes on
    constexpr int longLoadMs = 5000; // ms after which these lines are warnings: below the bounds on recovery
    constexpr int itemsPerClockRead = 8;

    const std::string& keyOf(LoadStep step)
    {
        switch (step) {
        case LoadStep::Leases:
            return storeKeys::leases;
        case LoadStep::Workers:
            return storeKeys::workers;
        case LoadStep::Placements:
            return storeKeys::placements;
        case LoadStep::OpenStarts:
            return storeKeys::openStarts;
        case LoadStep::Accepted:
            return storeKeys::acceptedPrefix;
        case LoadStep::Progress:
        case LoadStep::Done:
            break;
        }
        return storeKeys::progressPrefix;
    }

} // namespace

TermLoader::TermLoader(platform::Store& store, base::Metrics& metrics, std::int64_t token, Handlers handlers)
    : m_store(store)
    , m_metrics(metrics)
    , m_token(token)
    , m_handlers(std::move(handlers))
{
    QObject::connect(&m_reportTimer, &QTimer::timeout, this, [this] { report(); });
}

void TermLoader::start()
{
    m_startedAt = nowMs();
    m_reportTimer.start(reportMs);
    readNext();
}

void TermLoader::beginStep(LoadStep step)
{
    m_step = step;
    if (isList())
        m_cursor = beginList(keyOf(step));
    if (step == LoadStep::Accepted)
        m_acceptedAskedAt = nowMs();
}

void TermLoader::readNext()
{
    if (isList() && isComplete(m_cursor)) {
        if (m_step == LoadStep::Accepted)
            m_acceptedRevision = m_cursor.revision;
        beginStep(static_cast<LoadStep>(static_cast<int>(m_step) + 1));
    }
    if (m_step == LoadStep::Done) {
        m_reportTimer.stop();
        m_handlers.finished();
    } else if (isList()) {
        readPage();
    } else {
        readItem(keyOf(m_step));
    }
}

void TermLoader::readItem(const std::string& key)
{
    ++m_counts.calls;
    m_store.readLarge(key,
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](
            const base::Result<platform::Item, platform::StoreError>& result) {
            if (lifetime.expired())
                return;
            if (result.has_error() && result.error().code != platform::StoreCode::Missing) {
                retry(result.error());
                return;
            }
            if (result.has_value())
                m_received.push_back(result.value());
            applyItems();
        });
}

void TermLoader::readPage()
{
    ++m_counts.calls;
    const ListPiece& piece = m_cursor.pieces.front();
    m_store.listPage(piece.prefix, piece.after, platform::Freshness::Linearizable,
        [this, lifetime = std::weak_ptr<int>(m_lifetime)](
            base::Result<platform::ItemPage, platform::StoreError> result) {
            if (lifetime.expired())
                return;
            if (result.has_error()) {
                applyFailure(m_cursor, result.error().receivedBytes);
                retry(result.error());
                return;
            }
            platform::ItemPage& page = result.value();
            applyPage(m_cursor, page.lastKey, page.isLast, page.revision, page.bytes);
            m_counts.bytes += page.bytes;
            for (platform::Item& item : page.items)
                m_received.push_back(std::move(item));
            applyItems();
        });
}

void TermLoader::applyItems()
{
    const scheduler::Millis begunAt = nowMs();
    for (int i = 1; !m_received.empty(); ++i) {
        const platform::Item item = std::move(m_received.front());
        m_received.pop_front();
        ++m_counts.records;
        if (!m_handlers.apply(m_step, item))
            kernel::logEvent(kernel::LogLevel::Error, "dispatcher", "recordRefused",
                { { "key", item.key }, { "revision", item.revision } });
        if (i % itemsPerClockRead == 0 && nowMs() - begunAt >= sliceMs && !m_received.empty()) {
            QTimer::singleShot(0, this, [this] { applyItems(); });
            return;
        }
    }
    if (!isList())
        beginStep(static_cast<LoadStep>(static_cast<int>(m_step) + 1));
    readNext();
}

void TermLoader::retry(const platform::StoreError& error)
{
    ++m_counts.failures;
    m_counts.interruptions += error.receivedBytes > 0 ? 1 : 0;
    ++m_metrics
          .counter("lacewing_term_load_failures_total", "Failed calls while the records of a term were read, by step.",
              { { "step", std::string(base::nameOf(loadStepNames, m_step)) } })
          .value;
    kernel::logEvent(kernel::LogLevel::Warning, "dispatcher", "termLoadDelayed",
        { { "token", m_token }, { "step", std::string(base::nameOf(loadStepNames, m_step)) },
            { "detail", error.detail }, { "receivedBytes", error.receivedBytes }, { "sinceMs", nowMs() - m_startedAt },
            { "outcome", "the same part is read again" } });
    QTimer::singleShot(retryMs, this, [this] { readNext(); });
}

void TermLoader::report()
{
    const scheduler::Millis sinceMs = nowMs() - m_startedAt;
    m_metrics.gauge("lacewing_term_loading_seconds", "Time that the newest load of a term has taken so far.").value
        = static_cast<double>(sinceMs) / 1000;
    kernel::logEvent(sinceMs >= longLoadMs ? kernel::LogLevel::Warning : kernel::LogLevel::Notice, "dispatcher",
        "termLoading",
        { { "token", m_token }, { "step", std::string(base::nameOf(loadStepNames, m_step)) }, { "sinceMs", sinceMs },
            { "calls", m_counts.calls }, { "failures", m_counts.failures }, { "interruptions", m_counts.interruptions },
            { "records", m_counts.records }, { "listBytes", m_counts.bytes },
            { "piecesLeft", isList() ? static_cast<std::int64_t>(m_cursor.pieces.size()) : 1 } });
}

} // namespace lacewing::daemon
