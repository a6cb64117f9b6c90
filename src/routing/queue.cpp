// Bounded queues by class.
#include "routing/queue.h"

#include <algorithm>
#include <limits>

namespace lacewing::routing {

namespace {

    constexpr std::size_t urgentIndex = static_cast<std::size_t>(RequestClass::Urgent);
    constexpr std::size_t slowIndex = static_cast<std::size_t>(RequestClass::Slow);

    std::size_t indexOf(RequestClass requestClass) { return static_cast<std::size_t>(requestClass); }

    base::Duration fromUs(double value) { return base::Duration(static_cast<base::Duration::rep>(value)); }

    base::Duration finishTime(const AdmissionQueue& queue)
    {
        return fromUs(queue.finishUs > 0 ? queue.finishUs : queue.serviceUs);
    }

    std::optional<RequestId> takeFront(std::deque<Waiting>& items)
    {
        const RequestId id = items.front().id;
        items.pop_front();
        return id;
    }

} // namespace

base::Duration predictedWait(const AdmissionQueue& queue, RequestClass requestClass)
{
    if (queue.serviceUs <= 0 || queue.capacity <= 0)
        return base::Duration(0);
    const double urgent = static_cast<double>(queue.waiting[urgentIndex].size());
    const double slow = static_cast<double>(queue.waiting[slowIndex].size());
    const double every = std::max(2, queue.limits.slowEvery);
    // An urgent request waits for the urgent ones before it and for the share of slow ones. A slow request waits for
    // all, but for at most slowEvery dispatches for each slow request before it and itself.
    double dispatches = urgent + 1 + std::min(slow, urgent / (every - 1));
    if (requestClass == RequestClass::Slow)
        dispatches = urgent > 0 ? (slow + 1) * every : slow + 1;
    return fromUs(dispatches * queue.serviceUs / queue.capacity);
}

std::optional<Reason> offer(AdmissionQueue& queue, RequestClass requestClass, const Waiting& item, base::TimePoint now)
{
    if (item.deadline <= now)
        return Reason::DeadlineExpired;
    std::deque<Waiting>& items = queue.waiting[indexOf(requestClass)];
    const int limit = requestClass == RequestClass::Urgent ? queue.limits.urgentMax : queue.limits.slowMax;
    if (items.size() >= static_cast<std::size_t>(std::max(0, limit)))
        return Reason::QueueFull;
    if (now + predictedWait(queue, requestClass) + finishTime(queue) > item.deadline)
        return Reason::DeadlineTooShort;
    items.push_back(item);
    return std::nullopt;
}

std::optional<RequestId> next(AdmissionQueue& queue)
{
    std::deque<Waiting>& urgent = queue.waiting[urgentIndex];
    std::deque<Waiting>& slow = queue.waiting[slowIndex];
    if (urgent.empty() && slow.empty())
        return std::nullopt;
    const bool isSlowDue = queue.urgentInRow + 1 >= std::max(2, queue.limits.slowEvery);
    if (!slow.empty() && (urgent.empty() || isSlowDue)) {
        queue.urgentInRow = 0;
        return takeFront(slow);
    }
    queue.urgentInRow = slow.empty() ? 0 : queue.urgentInRow + 1;
    return takeFront(urgent);
}

void putBack(AdmissionQueue& queue, RequestClass requestClass, const Waiting& item)
{
    queue.waiting[indexOf(requestClass)].push_front(item);
}

bool isLate(const AdmissionQueue& queue, base::TimePoint deadline, base::TimePoint now)
{
    // A request that needs longer than its remaining time would hold a slot for nothing.
    return deadline <= now || deadline < now + finishTime(queue);
}

std::vector<RequestId> expire(AdmissionQueue& queue, base::TimePoint now)
{
    std::vector<RequestId> expired;
    for (std::deque<Waiting>& items : queue.waiting) {
        std::erase_if(items, [&](const Waiting& item) {
            const bool isExpired = isLate(queue, item.deadline, now);
            if (isExpired)
                expired.push_back(item.id);
            return isExpired;
        });
    }
    return expired;
}

bool remove(AdmissionQueue& queue, RequestClass requestClass, RequestId id)
{
    return std::erase_if(queue.waiting[indexOf(requestClass)], [id](const Waiting& item) { return item.id == id; }) > 0;
}

std::size_t size(const AdmissionQueue& queue)
{
    return queue.waiting[urgentIndex].size() + queue.waiting[slowIndex].size();
}

std::optional<base::TimePoint> earliestDeadline(const AdmissionQueue& queue)
{
    std::optional<base::TimePoint> earliest;
    for (const std::deque<Waiting>& items : queue.waiting) {
        for (const Waiting& item : items) {
            if (!earliest || item.deadline < *earliest)
                earliest = item.deadline;
        }
    }
    return earliest;
}

} // namespace lacewing::routing
