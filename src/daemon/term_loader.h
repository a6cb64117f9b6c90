// Reads the records that a term starts from, one call at a time.
//
// The renewal of the term shares the link with these reads. On a thin link several large answers at once would delay
// it, and each other, beyond their time limits; one call keeps the delay at one connection's window. Items are applied
// in time slices, because on a small share of a core decoding thousands of them at once would delay it as well.
//
// Only the holder of the term writes these records, except accepted jobs and cancel requests: those that arrive while
// the list is read are found by a watch from `acceptedRevision` on.
//
// Invariants
//   - One call is in flight at most.
//   - A failed call is repeated alone, after a pause; what was read before stays read.
#pragma once

#include "base/metrics.h"
#include "base/names.h"
#include "daemon/list_cursor.h"
#include "platform/store.h"
#include "scheduler/types.h"

#include <QObject>
#include <QTimer>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace lacewing::daemon {

enum class LoadStep {
    Leases,
    Workers,
    Placements,
    OpenStarts,
    Accepted, // accepted jobs and cancel requests
    Progress,
    Done,
};

constexpr base::EnumNames<LoadStep, 7> loadStepNames { {
    { LoadStep::Leases, "leases" },
    { LoadStep::Workers, "workers" },
    { LoadStep::Placements, "placements" },
    { LoadStep::OpenStarts, "openStarts" },
    { LoadStep::Accepted, "accepted" },
    { LoadStep::Progress, "progress" },
    { LoadStep::Done, "done" },
} };

struct TermLoadCounts {
    std::int64_t calls = 0;
    std::int64_t failures = 0;
    std::int64_t interruptions = 0; // failures of which a part of the answer was received
    std::int64_t records = 0;
    std::int64_t bytes = 0; // of lists
};

class TermLoader : public QObject {
public:
    struct Handlers {
        // Called for each record, in the order of the steps. False: the record does not decode.
        std::function<bool(LoadStep step, const platform::Item& item)> apply;
        std::function<void()> finished;
    };

    TermLoader(platform::Store& store, base::Metrics& metrics, std::int64_t token, Handlers handlers);

    void start();
    // Store revision as of which accepted jobs were listed. Valid once finished.
    std::int64_t acceptedRevision() const { return m_acceptedRevision; }
    // Jobs accepted before this time are in that list.
    scheduler::Millis acceptedAskedAt() const { return m_acceptedAskedAt; }
    LoadStep step() const { return m_step; }
    const TermLoadCounts& counts() const { return m_counts; }

private:
    void readNext();
    void readItem(const std::string& key);
    void readPage();
    void beginStep(LoadStep step);
    void applyItems();
    void retry(const platform::StoreError& error);
    void report();
    bool isList() const { return m_step == LoadStep::Accepted || m_step == LoadStep::Progress; }

    platform::Store& m_store;
    base::Metrics& m_metrics;
    std::int64_t m_token;
    Handlers m_handlers;
    LoadStep m_step = LoadStep::Leases;
    ListCursor m_cursor;                   // of a step that reads a list
    std::deque<platform::Item> m_received; // not applied yet
    std::int64_t m_acceptedRevision = 0;
    scheduler::Millis m_acceptedAskedAt = 0;
    TermLoadCounts m_counts;
    scheduler::Millis m_startedAt = 0;
    QTimer m_reportTimer;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(0); // callbacks of the store hold a weak_ptr
};

} // namespace lacewing::daemon
