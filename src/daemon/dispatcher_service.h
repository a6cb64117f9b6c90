// The scheduling daemon's work: loads the jobs at the start of its term, follows new ones, keeps the leases of the
// workers, carries out the plan and stores progress. Idle in every other daemon.
#pragma once

#include "daemon/load_watch.h"
#include "daemon/runtime.h"
#include "daemon/term_service.h"
#include "platform/advice_link.h"
#include "platform/documents.h"
#include "platform/worker_link.h"
#include "scheduler/order_window.h"
#include "scheduler/scheduler.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lacewing::daemon {

class ConfigurationService;
struct JobTable;

class DispatcherService : public QObject {
public:
    DispatcherService(Runtime& runtime);

    void start();
    // State of the term, or nullptr when this daemon does not schedule or is still loading.
    const scheduler::Scheduler* scheduler() const { return m_isLoaded ? m_scheduler.get() : nullptr; }
    // Accepted jobs up to this time are known to the term.
    scheduler::Millis jobsKnownAt() const;
    // Records that let the next term begin at once; no order may follow.
    std::vector<platform::Write> lastRecords() const;
    // Committed states of the term, in order; the oldest ones are dropped.
    const std::vector<scheduler::JobChange>& feed() const { return m_feed; }
    std::int64_t feedBegin() const { return m_feedBegin; }

private:
    struct Link {
        std::unique_ptr<platform::WorkerLink> calls;
        std::string address;
        int failures = 0; // renewals without an answer, in a row
        bool isRenewing = false;
        scheduler::Millis nextRenewalAt = 0;
    };

    // --- Term ---
    void beginTerm();
    void endTerm();
    // Runs the action after a while, unless the term has ended by then.
    void later(int ms, std::function<void()> action);
    void load();
    // `apply` returns false when the record does not decode.
    void loadItem(const std::string& key, std::function<bool(const QByteArray&)> apply);
    void loadList(const std::string& prefix, platform::ItemList& list);
    void retryLoad();
    void finishLoad();
    void finishLoading();

    // --- Store ---
    void applyJobChanges(const platform::ItemList& changes);
    void watchJobs();
    void relistJobs();
    void applyAccepted(const platform::Item& item, bool isNewInTerm);
    void listWorkers();
    void storeProgress();
    void storeWorkers();
    void storeInterference();
    // Removes the records of jobs that ended long ago.
    void removeExpired();
    void loadInterference();
    // Gives the term to a daemon with clearly more processor time, once this term knows where all tasks are or before
    // it has started any.
    void resignForStronger();

    // --- Workers ---
    void renewDue();
    void renew(const std::string& worker, Link& link);
    void applyRenewal(const std::string& worker,
        const base::Result<scheduler::WorkerReport, platform::LinkError>& result, scheduler::Millis sentAt,
        bool isLook);
    void carryOut(const scheduler::Orders& orders);
    void sendStop(const scheduler::StopOrder& order);
    void sendStart(const scheduler::StartOrder& order, std::uint64_t number, int attempt);
    void ask(const scheduler::ApprovalQuestion& question);

    void planSoon();
    void runPlan();
    void publishChanges();
    void updateTable();
    void logDecisions();

    Runtime& m_runtime;
    TermService* m_term = nullptr;
    ConfigurationService* m_configuration = nullptr;
    JobTable* m_table = nullptr;

    // --- Term; empty between terms ---
    std::unique_ptr<scheduler::Scheduler> m_scheduler;
    std::shared_ptr<int> m_generation; // callbacks of an earlier term find it expired
    bool m_isLoaded = false;
    platform::ItemList m_accepted; // while loading
    platform::ItemList m_progress; // while loading
    std::optional<scheduler::Placements> m_placements;
    int m_loadsLeft = 0;
    std::shared_ptr<int> m_loadGeneration; // expires with each new attempt
    std::int64_t m_jobsRevision = 0;
    scheduler::Millis m_jobsAnsweredAt = 0; // last answer of the store that told of accepted jobs
    std::map<std::string, Link> m_links;
    std::unique_ptr<platform::AdviceLink> m_advice; // made at the first question
    std::vector<scheduler::JobChange> m_feed;
    std::int64_t m_feedBegin = 0; // position of its first entry in the term
    scheduler::Millis m_expiredAt = 0;
    bool m_isRemoving = false;
    std::string m_storedWorkers; // ids in the stored list of workers
    bool m_isStoring = false;
    bool m_isPlanQueued = false;
    scheduler::Millis m_nextPlanAt = 0; // leaves processor time for calls when plans take long
    scheduler::OrderWindow m_window;
    scheduler::Millis m_strongerSoughtAt = 0;

    QTimer m_tick;
    scheduler::Millis m_workersListedAt = 0;
    bool m_isListingWorkers = false;
    platform::WorkerEntryCache m_workerEntries;
    scheduler::Millis m_interferenceStoredAt = 0;
    http::ChannelCounters m_traffic; // with workers
    LoadWatch m_load;
};

void registerDispatcherService(Runtime& runtime);

} // namespace lacewing::daemon
