// Sends the calls that are due, delivers changes once, and answers checks.
#include "daemon/store_watch.h"

#include "kernel/log.h"

#include <algorithm>
#include <utility>

namespace lacewing::daemon {

namespace {

    constexpr scheduler::Millis checkMs = 500; // ms that a caller of check() waits for the store
    constexpr int checkWaitMs = 1;             // ms; the shortest wait of a watch call

} // namespace

StoreWatch::StoreWatch(Runtime& runtime, std::string name, std::string prefix, WatchTimes times, Receiver receiver)
    : m_runtime(runtime)
    , m_name(std::move(name))
    , m_prefix(std::move(prefix))
    , m_times(times)
    , m_receiver(std::move(receiver))
    , m_alive(std::make_shared<int>(0))
{
    m_timer.setSingleShot(true);
    QObject::connect(&m_timer, &QTimer::timeout, this, [this] {
        if (isCallDue(m_calls, nowMs()))
            send();
        endWaits(false);
        arm();
    });
    // Applied later, because the call whose answer shows the store to be reachable is in progress until then.
    m_reachability = m_runtime.store->onReachability([this](bool isReachable, const std::string&) {
        if (!isReachable)
            return;
        QTimer::singleShot(0, this, [this, regainedAt = nowMs()] {
            expectNoAnswer(m_calls, regainedAt);
            arm();
        });
    });
}

void StoreWatch::start() { send(); }

void StoreWatch::startFrom(std::int64_t revision, scheduler::Millis askedAt)
{
    m_calls.revision = revision;
    m_calls.askedAt = askedAt;
    m_calls.needsList = false;
    send();
}

void StoreWatch::check(scheduler::Millis notBefore, std::function<void(bool)> callback)
{
    if (m_calls.askedAt >= notBefore) {
        callback(true);
        return;
    }
    m_waiters.push_back({ notBefore, nowMs() + checkMs, std::move(callback) });
    sendCheck();
    arm();
}

void StoreWatch::send()
{
    const scheduler::Millis now = nowMs();
    if (!m_calls.inProgress.empty()) {
        logFailure("watchOverdue", m_calls.inProgress.back().sentAt, "the next call is sent beside it");
        m_runtime.metrics
            .counter("lacewing_watch_overdue_total", "Calls of a watch without an answer in time, by watch.",
                { { "watch", m_name } })
            .value++;
    }
    const WatchCall call = beginCall(m_calls, m_times, now);
    const auto receive = [this, call, alive = std::weak_ptr<int>(m_alive)](const Answer& result) {
        if (!alive.expired())
            applyResult(call, result);
    };
    if (call.isList)
        m_runtime.store->list(m_prefix, platform::Freshness::Linearizable, receive);
    else
        m_runtime.store->watch(m_name, m_prefix, m_calls.revision, m_times.waitMs, receive,
            [this, call, alive = std::weak_ptr<int>(m_alive)] {
                if (alive.expired())
                    return;
                applyBegin(m_calls, call);
                arm();
            });
    arm();
}

void StoreWatch::sendCheck()
{
    const scheduler::Millis now = nowMs();
    const bool isInProgress = m_checkSentAt > 0 && (m_isCheckArriving || now - m_checkSentAt < checkMs);
    if (isInProgress || m_calls.needsList) // a list in progress serves as well
        return;
    m_checkSentAt = now;
    m_isCheckArriving = false;
    const WatchCall call { 0, now, false, false };
    // Connections of its own: the others may be waiting for answers that never come.
    m_runtime.store->watch(
        m_name + ".check", m_prefix, m_calls.revision, checkWaitMs,
        [this, call, alive = std::weak_ptr<int>(m_alive)](const Answer& result) {
            if (alive.expired())
                return;
            if (m_checkSentAt == call.sentAt)
                m_checkSentAt = 0;
            applyResult(call, result);
        },
        [this, call, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired())
                m_isCheckArriving = m_isCheckArriving || m_checkSentAt == call.sentAt;
        });
}

void StoreWatch::applyResult(const WatchCall& call, const Answer& result)
{
    const std::weak_ptr<int> alive = m_alive; // the receiver may destroy the watch
    const bool isGone = result.has_error() && result.error().code == platform::StoreCode::HistoryGone;
    if (result.has_error()) {
        logFailure(isGone ? "historyGone" : "watchFailed", call.sentAt, result.error().detail);
        m_runtime.metrics
            .counter(
                "lacewing_watch_failures_total", "Calls of a watch that failed, by watch.", { { "watch", m_name } })
            .value++;
        applyFailure(m_calls, m_times, call, isGone, nowMs());
    } else {
        deliver(call, result.value());
    }
    if (alive.expired())
        return;
    const bool isFailedCheck = call.number == 0 && result.has_error() && !isGone;
    endWaits(isFailedCheck);
    if (!alive.expired())
        arm();
}

void StoreWatch::deliver(const WatchCall& call, const platform::ItemList& list)
{
    Changes changes { {}, call.isList, m_calls.askedAt };
    for (const platform::Item& item : list.items) {
        if (call.isList || item.revision > m_calls.revision)
            changes.items.push_back(item);
    }
    if (!applyAnswer(m_calls, m_times, call, list.revision, !changes.items.empty(), nowMs()))
        return;
    if (call.isList || !changes.items.empty())
        m_receiver(changes);
}

void StoreWatch::logFailure(const char* event, scheduler::Millis sentAt, const std::string& detail)
{
    const scheduler::Millis now = nowMs();
    kernel::logEvent(kernel::LogLevel::Warning, "watch", event,
        { { "watch", m_name }, { "waitedMs", now - sentAt },
            { "ageMs", m_calls.askedAt > 0 ? now - m_calls.askedAt : -1 }, { "revision", m_calls.revision },
            { "calls", static_cast<std::int64_t>(m_calls.inProgress.size()) }, { "detail", detail } });
}

void StoreWatch::endWaits(bool hasFailed)
{
    const scheduler::Millis now = nowMs();
    std::vector<std::pair<std::function<void(bool)>, bool>> ended;
    std::erase_if(m_waiters, [&](Waiter& waiter) {
        const bool isKnown = m_calls.askedAt >= waiter.notBefore;
        if (!isKnown && !hasFailed && now < waiter.deadline)
            return false;
        ended.emplace_back(std::move(waiter.callback), isKnown);
        return true;
    });
    if (!m_waiters.empty())
        sendCheck();
    const std::weak_ptr<int> alive = m_alive;
    for (const auto& [callback, isKnown] : ended) {
        if (alive.expired())
            return;
        callback(isKnown);
    }
}

void StoreWatch::arm()
{
    scheduler::Millis due = m_waiters.empty() ? notDue : m_waiters.front().deadline;
    if (m_calls.inProgress.size() < maxWatchCalls) // otherwise the next one waits for the end of one of them
        due = std::min(due, m_calls.nextAt);
    if (due == notDue)
        m_timer.stop();
    else
        m_timer.start(static_cast<int>(std::max<scheduler::Millis>(0, due - nowMs())));
}

} // namespace lacewing::daemon
