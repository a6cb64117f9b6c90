// A small world for tests of the dispatcher: daemons, a store, workers and a network on a virtual clock, with faults
// drawn from a seed. Every violated invariant is recorded with the time and the task.
#pragma once

#include "batch/dispatcher.h"
#include "batch/dispatcher_state.h"

#include <functional>
#include <queue>

namespace lacewing::batch::test {

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

inline Duration randomDuration(base::Rng& rng, Duration shortest, Duration longest)
{
    const auto range = static_cast<std::uint64_t>((longest - shortest).count());
    return shortest + Duration(static_cast<Duration::rep>(base::below(rng, range + 1)));
}

struct WorldOptions {
    std::uint64_t seed = 1;
    int dataCentres = 2;
    int shardsPerDataCentre = 1; // one rack each
    int workersPerRack = 4;
    int daemonsPerDataCentre = 2;
    bool checksEpoch = true;              // workers refuse other epochs (required guarantee of the worker interface)
    bool checksCapacity = true;           // workers refuse what does not fit
    bool checksNotAfter = true;           // daemons honour StartTask::notAfter
    Duration sendDelay = milliseconds(5); // longest time between a decision and its sending
    double lossRate = 0.02;               // of requests and replies to workers
    double lostWriteReplies = 0.02;
};

struct FakeTask {
    std::uint32_t attempt = 0;
    TaskStatus status = TaskStatus::Running;
    Resources resources;
    std::int64_t durationMs = 0;
    double progressMs = 0;
    std::int64_t checkpointMs = 0;
    TimePoint leaseUntil;
    bool isFailing = false;
};

struct FakeWorker {
    WorkerInfo info;
    std::size_t shard = 0;
    base::Epoch epoch = 0;
    std::map<base::JobId, FakeTask> tasks;
    TimePoint unreachableUntil; // for every daemon
    std::size_t cutDaemon = 0;  // daemon that cannot reach it until cutUntil
    TimePoint cutUntil;
    bool failsEverything = false;
    double clockRate = 1; // of its lease clock
};

struct FakeEntry {
    std::uint64_t version = 0;
    std::string value;
    std::string operation;
    base::DaemonId owner;
};

struct FakeDaemon {
    std::unique_ptr<Dispatcher> dispatcher; // null: dead
    std::uint64_t incarnation = 0;
    base::DataCentreId dataCentre;
    TimePoint pausedUntil;
    TimePoint silentSince;
    TimePoint storeCutUntil;
    std::vector<std::function<void()>> held; // arrives after the pause
};

struct SubmitRecord {
    JobSpec spec;
    std::optional<SubmitCode> code;
    Executed executed = Executed::Unknown;
};

struct World {
    explicit World(const WorldOptions& options);

    // --- Driving ---
    void runFor(Duration duration);
    void after(Duration delay, std::function<void()> event);
    SubmitToken submit(const JobSpec& spec);
    void cancel(const base::JobId& id);
    void kill(std::size_t daemon, Duration replacedAfter);
    void pause(std::size_t daemon, Duration duration);
    void vanish(FakeWorker& worker, Duration duration); // loses its memory
    void setDataCentre(int index, bool isIn);
    void randomFault();
    void heal();
    JobSpec randomJob();

    // --- Looking ---
    Dispatcher* ownerOf(const ShardKey& key);
    const Job* job(const base::JobId& id); // at its owner
    std::size_t unfinished();              // accepted jobs that are not terminal
    std::size_t runningOn(const base::JobId& id) const;
    std::size_t running() const;
    std::string report() const; // violations and the seed

    WorldOptions options;
    base::Rng rng;
    TimePoint now { seconds(1'000) };
    std::map<ShardKey, FakeEntry> store;
    std::vector<ShardSummary> shards;
    std::vector<FakeWorker> workers;
    std::vector<FakeDaemon> daemons;
    std::map<SubmitToken, SubmitRecord> submits;
    BatchPolicy policy;
    std::map<base::DataCentreId, TimePoint> outSince;
    std::map<base::JobId, JobState> durableEnd; // terminal states seen in the store
    std::map<std::pair<base::JobId, std::uint32_t>, std::size_t> attemptsStarted;
    std::map<base::JobId, std::uint32_t> lastAttempt;
    std::set<base::JobId> memoryLost;         // ran on a worker that lost its memory
    std::map<base::DaemonId, TimePoint> dead; // since when
    TimePoint storeDownUntil;
    TimePoint storeDownSince;
    TimePoint lossyUntil; // store replies are often lost
    bool isCalm = false;  // no random losses
    std::vector<std::string> violations;
    std::uint64_t storeWrites = 0;
    std::uint64_t storeReads = 0;
    std::uint64_t startsAccepted = 0;
    std::uint64_t nextJob = 1;
    std::uint64_t nextDaemon = 1;

private:
    struct Event {
        TimePoint at;
        std::uint64_t sequence = 0;
        std::function<void()> run;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    using Answer = std::function<void(Dispatcher&, Effects&)>;

    void addDaemon(std::size_t index);
    void onDaemon(std::size_t index, std::uint64_t incarnation, std::function<void()> step);
    void answer(std::size_t index, std::uint64_t incarnation, Duration delay, Answer call);
    void perform(std::size_t index, Effects effects);
    void send(std::size_t index, const Effect& effect);
    void toStore(std::size_t index, const WriteShard& write);
    void toStore(std::size_t index, const ReadShard& read);
    void toWorker(std::size_t index, const base::WorkerId& id, Duration timeout,
        std::function<Answer(FakeWorker&)> serve, const Answer& lost);
    void serveStart(std::size_t index, const StartTask& start);
    void applyWrite(const WriteShard& write);
    void inform(std::size_t index);
    void advanceTasks();
    WorkerState stateOf(const FakeWorker& worker) const;
    FakeWorker& workerOf(const base::WorkerId& id);
    void checkStart(const FakeWorker& worker, const StartTask& start);
    void violate(const std::string& text);
    bool isStoreUp() const { return now >= storeDownUntil; }

    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    TimePoint m_nextStep;
    TimePoint m_lastAdvance { seconds(1'000) };
    SubmitToken m_nextToken = 1;
};

} // namespace lacewing::batch::test
