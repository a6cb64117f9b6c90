// A small model of several daemons with slot tables, a store and a network, for the property test of slots.
//
// Time is virtual. Every process has its own clock rate within the bound. Messages can be lost, repeated and late;
// processes pause (their messages wait), crash, restart under the same name and stop as planned.
#pragma once

#include "base/rng.h"
#include "routing/slots.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lacewing::routing::slotsWorld {

inline constexpr int daemonCount = 4;
inline constexpr int endpointCount = 3;
inline constexpr std::int64_t stepMs = 5;

struct Hold {
    SlotHold hold;
    base::TimePoint endsAt; // on the clock of the process: release
    base::TimePoint until;  // on the clock of the process: time limit; after it the attempt is over on the endpoint
};

struct Process {
    SlotTable table;
    bool isAlive = false;
    bool isPaused = false;
    bool isLeaving = false; // planned stop: acquires nothing more
    bool isStoreCut = false;
    double clockRate = 1.0;
    bool isGreedy = true; // takes every free slot and borrows more; otherwise idle, so that it lends
    std::vector<Hold> holds;
    std::vector<std::function<void()>> inbox; // messages that wait during a pause
    std::int64_t nextHeartbeatMs = 0;
    std::int64_t nextReadMs = 0;
    std::int64_t nextProposalMs = 0;
};

struct Message {
    std::int64_t dueMs = 0;
    int from = -1;                   // -1: the store
    int to = -1;                     // -1: the store
    std::uint64_t toIncarnation = 0; // 0: whichever process has the address
    std::function<void()> deliver;
};

struct World {
    explicit World(std::uint64_t seed)
        : rng(seed)
    {
    }

    std::int64_t nowMs = 0;
    base::Rng rng;
    std::vector<Process> processes { daemonCount };
    std::vector<Incarnation> incarnations = std::vector<Incarnation>(daemonCount, 0);
    std::vector<Message> messages;
    SlotRecord record;
    bool isStoreUp = true;
    std::vector<int> groups = std::vector<int>(daemonCount, 0); // daemons of different groups cannot talk
    double lossShare = 0.02;
    double repeatShare = 0.1;
    std::int64_t delayMaxMs = 10;
    std::uint64_t acquired = 0;
    std::uint64_t lent = 0;
};

// Starts a new process under the name of daemon index.
void start(World& world, int index);
void crash(World& world, int index);
void resume(World& world, int index);
void run(World& world, std::int64_t durationMs);
base::DaemonId daemonName(int index);
base::EndpointId endpointName(int index);
base::TimePoint localNow(const World& world, const Process& process);

// Description of a slot that two processes use at this moment; empty when there is none.
std::string conflict(const World& world);

} // namespace lacewing::routing::slotsWorld
