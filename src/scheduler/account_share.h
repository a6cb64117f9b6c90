// Order of waiting steps between client accounts: the rate of jobs to which an account is entitled, and its share of a
// full fleet.
//
// Answers loads in which one account sends many times its usual number of jobs. Its weight is the number of jobs a
// second that it is entitled to (token bucket by acceptance time). Jobs beyond that rate are placed after those within
// it at the same priority, and count as starving only from the time at which the rate admits them. Where room is short,
// accounts below their weighted dominant share go first (dominant-resource fairness); a step that has waited goes
// forward.
//
// Restarts of lasting tasks and starved jobs keep their places, and so do jobs without an account: only the places of
// jobs with accounts are exchanged.
#pragma once

#include "scheduler/planner.h"

namespace lacewing::scheduler {

// A job's place in the token bucket of its account.
struct RateState {
    std::int64_t entitledUnixMs = 0; // of the job before it; 0: none
};

// When the account's rate admits a job that was accepted then. Must be called in the order of acceptance.
std::int64_t entitledAt(RateState& state, std::int64_t acceptedUnixMs, double weight);

// Applies the rates to the candidates: marks jobs beyond them, and moves the time from which they starve. A job's time
// is computed once in a term, from the acceptance times of the open jobs of its account.
void applyRates(Planner& planner);
// Exchanges the places of turns of jobs with accounts within each group of equal priority and order. `turns` must be in
// the order of placement.
void orderByShare(const Planner& planner, std::vector<Turn>& turns);

} // namespace lacewing::scheduler
