// Bounded queues of waiting requests by class, with deadlines and early refusal.
//
// Urgent requests go first. Of each slowEvery dispatches at least one goes to a waiting slow request, so that slow
// requests are delayed but never starved.
#pragma once

#include "base/names.h"
#include "base/time.h"
#include "routing/limits.h"
#include "routing/reasons.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace lacewing::routing {

using RequestId = std::uint64_t; // unique in one daemon process

enum class RequestClass { Urgent, Slow };
inline constexpr base::EnumNames<RequestClass, 2> requestClassNames { {
    { RequestClass::Urgent, "urgent" },
    { RequestClass::Slow, "slow" },
} };

struct Waiting {
    RequestId id = 0;
    base::TimePoint deadline; // end of the time that the caller allows
    base::TimePoint since;    // start of the wait
};

struct AdmissionQueue {
    QueueLimits limits;
    std::array<std::deque<Waiting>, 2> waiting; // by RequestClass, oldest first
    int urgentInRow = 0;                        // urgent dispatches since the last slow one
    double serviceUs = 0;                       // estimate of the time of one request in a slot, us; 0: unknown
    double finishUs = 0; // time from dispatch to answer that most requests need, us; 0: serviceUs
    double capacity = 0; // slots that serve this queue; 0: unknown
};

// Predicted time until a new request of the class would be dispatched, when no slot is free now. 0 when unknown.
base::Duration predictedWait(const AdmissionQueue& queue, RequestClass requestClass);

// Adds the request, or gives the reason for the refusal: QueueFull, DeadlineTooShort or DeadlineExpired.
std::optional<Reason> offer(AdmissionQueue& queue, RequestClass requestClass, const Waiting& item, base::TimePoint now);

// Request to dispatch next; removed from the queue. Nothing when the queue is empty.
std::optional<RequestId> next(AdmissionQueue& queue);

// Puts a request back to the front of its queue, ignoring the bound: for a retry, or when no slot was free after all.
void putBack(AdmissionQueue& queue, RequestClass requestClass, const Waiting& item);

// True when a waiting request with this deadline can no longer be answered in time.
bool isLate(const AdmissionQueue& queue, base::TimePoint deadline, base::TimePoint now);

// Removes the requests that can no longer be answered before their deadline.
std::vector<RequestId> expire(AdmissionQueue& queue, base::TimePoint now);

bool remove(AdmissionQueue& queue, RequestClass requestClass, RequestId id);
std::size_t size(const AdmissionQueue& queue);

// Earliest deadline in the queue.
std::optional<base::TimePoint> earliestDeadline(const AdmissionQueue& queue);

} // namespace lacewing::routing
