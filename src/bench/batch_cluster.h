// A simulated deployment for the bench: dispatchers, workers with true interference, and a store, on a virtual clock.
//
// Interference is what the dispatcher cannot see directly: the true slowdown of each pair of services, and bursts in
// which noisy services do more harm. Reports about it arrive late.
#pragma once

#include "batch/dispatcher.h"

#include <functional>
#include <queue>

namespace lacewing::bench {

struct ClusterOptions {
    std::uint64_t seed = 1;
    std::vector<int> workersPerDataCentre;
    int daemonsPerDataCentre = 3;
    int racksPerShard = 1;
    std::string placement = "interferenceAware";
    double urgentPerSecond = 0;  // mean; doubles and halves over the run
    double batchBacklog = 1.5;   // queued and running batch work / processors
    bool hasInterference = true; // bursts of noisy services
    base::Duration reportLag = base::seconds(10);
    base::Duration tick = base::milliseconds(100);
};

struct ServiceTruth {
    std::string name;
    batch::JobClass jobClass = batch::JobClass::Batch;
    double useRatio = 1;      // used / declared processors
    double durationRatio = 1; // real / declared run time
    double noise = 0;         // slowdown that it causes to urgent services when it uses the whole worker
};

struct ClusterTask {
    std::uint32_t attempt = 0;
    batch::TaskStatus status = batch::TaskStatus::Running;
    batch::Resources resources;
    std::size_t service = 0;
    double useMilli = 0;         // processors that it wants
    std::int64_t limitMilli = 0; // throttle; 0: none
    double realMs = 0;
    double progressMs = 0;
    std::int64_t checkpointMs = 0;
    base::TimePoint leaseUntil;
    double slowdown = 1;
};

struct ClusterWorker {
    batch::WorkerInfo info;
    base::Epoch epoch = 0;
    std::map<base::JobId, ClusterTask> tasks;
    double burst = 1; // factor on noise
};

struct ClusterDaemon {
    std::unique_ptr<batch::Dispatcher> dispatcher; // null: lost
    base::DataCentreId dataCentre;
};

struct ClusterFigures {
    std::vector<float> urgentSlowdown; // sampled each second for each urgent task
    std::vector<float> urgentWait;     // seconds from submission to start
    double batchWorkMs = 0;            // progress of batch tasks that is kept, processor-ms
    double lostWorkMs = 0;             // progress lost by evictions, processor-ms
    double capacityMs = 0;             // processors of the workers x time
    std::uint64_t finishedBatch = 0;
    std::uint64_t starts = 0;
    std::uint64_t evictions = 0;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
};

struct Cluster {
    explicit Cluster(const ClusterOptions& options);

    void runFor(base::Duration duration);
    void setDataCentre(int index, bool isIn);
    void loseDaemon(std::size_t index);
    std::size_t ownerOf(const batch::ShardKey& key) const; // index of the daemon, or daemons.size()
    std::uint64_t evictions() const;
    void submit(batch::JobClass jobClass, double durationSeconds);

    ClusterOptions options;
    base::Rng rng;
    base::TimePoint now { base::seconds(1'000) };
    std::vector<ServiceTruth> services;
    std::vector<batch::ShardSummary> shards;
    std::vector<ClusterWorker> workers;
    std::vector<ClusterDaemon> daemons;
    batch::BatchPolicy policy;
    ClusterFigures figures;
    std::map<base::DaemonId, base::TimePoint> lostAt;
    std::function<void(const ClusterWorker&)> onStart; // called at each start
    double urgentFactor = 1;                           // load shift
    std::size_t openBatch = 0;                         // submitted and not finished
    double openBatchMs = 0;

private:
    struct Event {
        base::TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    struct StoredValue {
        std::uint64_t version = 0;
        std::string value;
        std::string operation;
        base::DaemonId owner;
    };
    using Answer = std::function<void(batch::Dispatcher&, batch::Effects&)>;

    void after(base::Duration delay, std::function<void()> run);
    void answer(std::size_t daemon, base::Duration delay, Answer call);
    void perform(std::size_t daemon, const batch::Effects& effects);
    void perform(std::size_t daemon, const batch::Effect& effect);
    void serveStart(std::size_t daemon, const batch::StartTask& start);
    void inform(std::size_t daemon);
    void advance(base::Duration step);
    void report();
    void generate();
    ClusterWorker& workerOf(const base::WorkerId& id);
    ClusterTask* taskOf(const base::WorkerId& worker, const base::JobId& task, std::uint32_t attempt);
    batch::WorkerState stateOf(const ClusterWorker& worker) const;

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    std::map<batch::ShardKey, StoredValue> m_store;
    std::map<base::WorkerId, std::size_t> m_workerIndex;
    std::map<base::WorkerId, std::size_t> m_shardOfWorker;
    std::map<base::JobId, base::TimePoint> m_submittedAt;
    std::uint64_t m_nextJob = 1;
    double m_urgentDue = 0;
};

} // namespace lacewing::bench
