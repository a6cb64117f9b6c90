// Cancels of jobs that the store does not know.
//
// A caller whose submission got no answer cancels the job, and the store may carry out the write of the submission
// later. A record of a cancelled job takes the key of the accepted one, so that this write fails on its condition. The
// record expires like that of any ended job.
#pragma once

#include "platform/store.h"
#include "scheduler/scheduler.h"

#include <string>

namespace lacewing::daemon {

// Adds the record of a submitted job to a transaction, which fails if there is one already.
void addAcceptance(platform::Transaction& transaction, const std::string& id, const QByteArray& record);

// Marks a job as cancelled, which fails if it has been accepted. The record names the account of the caller.
platform::Transaction cancelUnknown(const std::string& id, const std::string& account, std::int64_t nowUnixMs);

// True for the record of a job that was cancelled before it was accepted, or has ended as cancelled.
bool isCancelled(const platform::Item& accepted);

// State that the record of an accepted job tells without its progress.
scheduler::JobState stateOf(const platform::Item& accepted);

// Client account that the record names; empty: none.
std::string accountOf(const platform::Item& accepted);

// Bounds the records that cancels of unknown jobs leave in the store.
struct UnknownCancels {
    scheduler::Millis periodStartedAt = 0;
    int inPeriod = 0;
};

constexpr int maxUnknownCancelsPerSecond = 20; // of one daemon

// Counts a cancel of an unknown job; false when there have been too many.
bool mayCancelUnknown(UnknownCancels& cancels, scheduler::Millis now);

} // namespace lacewing::daemon
