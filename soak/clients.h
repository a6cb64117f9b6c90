// Clients that submit, poll and cancel jobs at all daemons over open connections, which they use until the process is
// gone.
#pragma once

#include "base/rng.h"
#include "http/channel.h"
#include "soak/checks.h"
#include "soak/cluster.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing::soak {

struct ClientCounts {
    int submitted = 0;
    int accepted = 0;
    int refused = 0;
    int completed = 0;
    int cancelled = 0; // acknowledged
    int calls = 0;
    int unanswered = 0;
};

class Clients {
public:
    Clients(Cluster& cluster, Checks& checks, std::uint64_t seed, int daemons);

    void submitLasting(int tasks);
    // A job whose tasks run until after the faults of a scenario.
    void submitLong(int tasks);
    void submitBurst(int jobs);
    // Sends what is due. `hasTraffic` allows new jobs and cancels.
    void tick(bool hasTraffic);
    // Every accepted job that should end is shown as ended; otherwise names one in `open`.
    bool isFinished(std::string& open) const;
    const ClientCounts& counts() const { return m_counts; }

private:
    struct Job {
        std::string id;
        std::int64_t nextAt = 0;   // next call
        std::int64_t cancelAt = 0; // 0: never
        std::int64_t repeatAt = 0; // when the request is sent once more after its acceptance; 0: never
        bool isCalling = false;
        bool isUncertain = false; // an attempt got no answer
        bool givesUp = false;     // at the first refusal, if no attempt is uncertain
        std::optional<scheduler::JobState> finalState;
        std::int64_t finalAt = 0;
        std::set<std::string> finalBy; // processes that have shown the final state
    };

    struct Call {
        std::size_t job = 0;
        QByteArray method;
        int daemon = 0;
        std::string process; // name and incarnation of the daemon
        std::int64_t sentAt = 0;
    };

    // A final state to be compared with the log of runs once that has been read up to the time.
    struct ShownState {
        std::string job;
        scheduler::JobState state = scheduler::JobState::Queued;
        std::int64_t at = 0;
    };

    void submitDrawn();
    std::size_t addJob(const platform::standin::JobShape& shape);
    void act(std::size_t index);
    void send(std::size_t index, const QByteArray& method);
    void applyAnswer(const Call& call, const http::ClientResult& result);
    void applySubmission(const Call& call, const http::ClientResult& result);
    void applyState(const Call& call, const http::ClientResult& result);
    void applyCancel(const Call& call, const http::ClientResult& result);
    void checkLoss(const Call& call, const http::ClientResult& result);

    Cluster& m_cluster;
    Checks& m_checks;
    base::Rng m_rng;
    std::int64_t m_nextJobAt = 0;
    std::vector<Job> m_jobs;
    std::vector<ShownState> m_shown;
    ClientCounts m_counts;
    http::ChannelCounters m_traffic;
    std::vector<std::unique_ptr<http::Channel>> m_channels; // connectionsPerDaemon for each daemon
};

} // namespace lacewing::soak
