// An operator who adds and removes queues throughout a run, and callers that ask every daemon for them.
//
// Version k of the configuration has the queues k to k - keptVersions + 1. Whatever happens to daemons, store and
// links, no answer may follow a configuration that was replaced longer than the platform's bound before the request: a
// daemon that cannot know refuses instead.
#pragma once

#include "base/rng.h"
#include "http/channel.h"
#include "soak/checks.h"
#include "soak/cluster.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing::soak {

class Queues {
public:
    Queues(Cluster& cluster, Checks& checks, std::uint64_t seed, int daemons);

    // Sends what is due.
    void tick(bool hasTraffic);
    int answers() const { return m_answers; } // that told whether a queue is there
    int refusals() const { return m_refusals; }

private:
    void accept(int number);
    void ask(int number, std::size_t daemon);

    Cluster& m_cluster;
    Checks& m_checks;
    base::Rng m_rng;
    std::map<int, VersionFacts> m_versions; // by number, from 2 on: the first has the queue of the jobs only
    std::int64_t m_nextVersionAt = 0;
    std::int64_t m_nextQuestionAt = 0;
    int m_answers = 0;
    int m_refusals = 0;
    http::ChannelCounters m_traffic;
    std::vector<std::unique_ptr<http::Channel>> m_channels; // by daemon
};

} // namespace lacewing::soak
