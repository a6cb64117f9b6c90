// The work of the scheduling daemon: loads the jobs at the start of its term, watches the store for new ones, renews
// the leases of the workers, sends the orders of each plan and stores progress. Idle in every other daemon.
#pragma once

#include "daemon/job_feed.h"
#include "daemon/load_watch.h"
#include "daemon/runtime.h"
#include "daemon/store_watch.h"
#include "daemon/term_loader.h"
#include "daemon/term_service.h"
#include "daemon/worker_list.h"
#include "platform/advice_link.h"
#include "platform/worker_link.h"
#include "scheduler/open_start.h"
#include "scheduler/order_window.h"
#include "scheduler/scheduler.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    // A daemon has stored a cancel of the job. The term must be loaded.
    void applyStoredCancel(const std::string& id, const std::string& daemon);
    // Jobs accepted up to this time are known to the term; 0: none.
    scheduler::Millis jobsKnownUntil() const { return m_jobWatch ? m_jobWatch->askedAt() : 0; }
    // Records to store with a resignation: the next term can then place tasks without waiting for every worker's
    // report. Empty when not all placements are known or their record is too large for the store. No order may be sent
    // afterwards.
    std::vector<platform::Write> resignationRecords() const;
    // The table of open starts, to store with a resignation that has no such records. Empty before the term is loaded.
    std::vector<platform::Write> openStartRecords();
    const JobFeed& feed() const { return m_feed; }
    // Over all terms of this process.
    base::EventDrops droppedDecisions() const { return m_droppedDecisions; }

private:
    struct Link {
        std::unique_ptr<platform::WorkerLink> client;
        std::string address;
        int failures = 0; // renewals without an answer, in a row
        bool isRenewing = false;
        scheduler::Millis renewalSentAt = 0; // valid while isRenewing
        scheduler::Millis nextRenewalAt = 0;
    };

    // --- Term ---
    void beginTerm();
    void endTerm();
    // Runs the action after the delay, unless the term has ended by then.
    void runAfter(int ms, std::function<void()> action);
    void load();
    // Returns false for a record that does not decode.
    bool applyLoaded(LoadStep step, const platform::Item& item);
    bool applyLoadedProgress(const platform::Item& item);
    void finishLoading();

    // --- Store ---
    void watchJobs(std::int64_t revision, scheduler::Millis askedAt);
    void applyAccepted(const platform::Item& item, bool isNewInTerm);
    void applyCancel(const std::string& id);
    void listWorkers();
    std::optional<std::set<std::string>> namedServices() const;
    void storeProgress();
    void storeWorkers();
    // Stores the lease table when a worker waits for its first lease, and otherwise once in a period when it changes.
    void storeLeases();
    // Stores the table of open starts at once when it lacks one, and otherwise once in a period when it changes.
    void storeOpenStarts();
    void storeInterference();
    // Replaces the accepted records of ended jobs by short ones, which later terms read faster.
    void shortenEnded();
    // Removes the records of jobs that ended long ago.
    void removeExpired();
    void loadInterference();
    // Resigns in favour of a daemon with clearly more processor time, but only when this term knows the placement of
    // all tasks or has not started any.
    void resignToStrongerDaemon();

    // --- Workers ---
    void renewDueLeases();
    void renewLease(const std::string& worker, Link& link);
    // An answer to a start has shown a new incarnation: a lease call that was sent before is not waited for.
    void renewAfterRestart(const std::string& id);
    void applyRenewal(const std::string& worker,
        const base::Result<scheduler::WorkerReport, platform::LinkError>& result, scheduler::Millis sentAt,
        bool isReportOnly);
    void sendOrders(const scheduler::Orders& orders);
    void sendStop(const scheduler::StopOrder& order);
    void sendStart(const scheduler::StartOrder& order, std::uint64_t number);
    void requestApproval(const scheduler::ApprovalQuestion& question);

    LinkTraffic linkTraffic() const;
    void schedulePlan();
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
    std::shared_ptr<int> m_generation; // callbacks hold a weak_ptr, which expires with the term
    bool m_isLoaded = false;
    std::unique_ptr<TermLoader> m_loader;
    std::vector<platform::Item> m_newItems; // only while loading: jobs accepted in this term, and requests to cancel
    std::optional<scheduler::Placements> m_placements;   // only while loading
    std::optional<scheduler::LeaseTable> m_formerLeases; // only while loading
    scheduler::OpenStartTable m_storedOpenStarts;        // the table in the store
    bool m_isStoringOpenStarts = false;
    scheduler::Millis m_openStartsStoredAt = 0;
    std::vector<scheduler::WorkerEntry> m_formerWorkers; // only while loading
    std::unique_ptr<StoreWatch> m_jobWatch;              // accepted jobs and requests to cancel them
    std::map<std::string, Link> m_links;
    std::unique_ptr<platform::AdviceLink> m_advice; // created for the first approval request
    JobFeed m_feed;
    scheduler::Millis m_removalCheckedAt = 0;
    bool m_isRemoving = false;
    scheduler::Millis m_shortenedAt = 0;
    bool m_isShortening = false;
    std::string m_storedWorkers; // ids in the stored list of workers
    QByteArray m_storedLeases;   // the lease table in the store
    bool m_isStoringLeases = false;
    scheduler::Millis m_leasesStoredAt = 0;
    bool m_isStoringProgress = false;
    bool m_isPlanQueued = false;
    scheduler::Millis m_nextPlanAt = 0; // keeps processor time free for calls when plans take long
    scheduler::OrderWindow m_orderWindow;
    scheduler::Millis m_strongerCheckedAt = 0;

    QTimer m_tick;
    WorkerListCalls m_workerListCalls;
    WorkerListReader m_workerList;
    scheduler::Millis m_interferenceStoredAt = 0;
    http::ChannelCounters m_traffic; // with workers and the advice service
    LoadWatch m_loadWatch;
    base::EventDrops m_droppedDecisions;
    scheduler::Millis m_dropsLoggedAt = 0;
};

void registerDispatcherService(Runtime& runtime);

} // namespace lacewing::daemon
