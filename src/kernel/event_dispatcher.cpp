// Uses level-triggered epoll. Changes of a descriptor's events are collected and applied before the next wait, because
// a socket enables and disables its write notifier around each write.
#include "kernel/event_dispatcher.h"

#include <QCoreApplication>
#include <QEvent>
#include <QSocketNotifier>
#include <QThread>
#include <QTimerEvent>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <poll.h>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace lacewing::kernel {

namespace {

    // Internal flag of Qt that excludes timers from an iteration (QEventLoop::X11ExcludeTimers).
    constexpr int excludeTimersFlag = 0x08;

    constexpr std::array<std::uint32_t, 3> epollEvents = { EPOLLIN, EPOLLOUT, EPOLLPRI }; // by QSocketNotifier::Type
    constexpr std::uint32_t alwaysReportedEvents = EPOLLERR | EPOLLHUP;

    // epoll data: generation in the upper half, descriptor in the lower half.
    constexpr int generationShift = 32;

    std::uint64_t packData(int descriptor, std::uint32_t generation)
    {
        return std::uint64_t(generation) << generationShift | static_cast<std::uint32_t>(descriptor);
    }

    std::system_error lastError(const char* call) { return { errno, std::generic_category(), call }; }

} // namespace

EventDispatcher::EventDispatcher(QObject* parent)
    : QAbstractEventDispatcher(parent)
    , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
{
    if (m_epoll < 0)
        throw lastError("epoll_create1");
    m_wakeUp = ::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    epoll_event event {};
    event.events = EPOLLIN | EPOLLET;
    event.data.u64 = packData(m_wakeUp, 0);
    if (m_wakeUp < 0 || ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeUp, &event) != 0) {
        const std::system_error error = lastError("eventfd");
        if (m_wakeUp >= 0)
            ::close(m_wakeUp);
        ::close(m_epoll);
        throw error;
    }
}

EventDispatcher::~EventDispatcher()
{
    ::close(m_wakeUp);
    ::close(m_epoll);
}

bool EventDispatcher::processEvents(QEventLoop::ProcessEventsFlags flags)
{
    const bool wasInterrupted = m_isInterrupted.exchange(false);
    const bool mayWait = flags.testFlag(QEventLoop::WaitForMoreEvents);
    const bool hasTimers = (flags.toInt() & excludeTimersFlag) == 0;
    // QEventLoop::exit() interrupts, so a running loop may wait in the iteration that handled its posted events. An
    // interrupt just before this call may belong to an exit() that the loop has not processed yet.
    const bool mayWaitAfterEvents = flags.testFlag(QEventLoop::EventLoopExec) && !wasInterrupted;
    bool hasHandledEvents = false;
    do {
        Q_EMIT awake();
        if (m_isWoken.exchange(false)) {
            QCoreApplication::sendPostedEvents();
            hasHandledEvents = true;
        }
        if (m_isInterrupted)
            return hasHandledEvents;
        const bool isWaiting = mayWait && (!hasHandledEvents || mayWaitAfterEvents) && !m_isWoken;
        if (isWaiting)
            Q_EMIT aboutToBlock();
        // Timers that expire after this run in the next iteration, after descriptors have been polled again.
        const Clock::time_point now = Clock::now();
        int timeoutMs = 0;
        if (isWaiting && !m_isWoken)
            timeoutMs = hasTimers ? millisecondsToNextTimer(now) : -1;
        if (flags.testFlag(QEventLoop::ExcludeSocketNotifiers))
            waitForWakeUp(timeoutMs);
        else
            hasHandledEvents |= waitForDescriptors(timeoutMs);
        if (hasTimers && !m_isInterrupted)
            hasHandledEvents |= runTimers(now);
    } while (mayWait && !hasHandledEvents && !m_isInterrupted);
    return hasHandledEvents;
}

void EventDispatcher::registerSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    Watch& watch = m_watches[descriptor];
    if (watch.wantedEvents == 0)
        watch.generation = ++m_lastGeneration;
    watch.notifiers[notifier->type()] = notifier;
    watch.wantedEvents |= epollEvents[notifier->type()];
    markChanged(descriptor, watch);
}

void EventDispatcher::unregisterSocketNotifier(QSocketNotifier* notifier)
{
    const int descriptor = static_cast<int>(notifier->socket());
    const auto found = m_watches.find(descriptor);
    if (found == m_watches.end() || found->second.notifiers[notifier->type()] != notifier)
        return;
    Watch& watch = found->second;
    watch.notifiers[notifier->type()] = nullptr;
    watch.wantedEvents &= ~epollEvents[notifier->type()];
    if (watch.wantedEvents != 0) {
        markChanged(descriptor, watch);
        return;
    }
    // Not deferred: the descriptor may be closed next and its number reused before the changes are applied. If it has
    // been closed already, it is no longer registered with epoll.
    if (watch.registeredEvents != 0 && ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr) != 0 && errno != ENOENT
        && errno != EBADF)
        qWarning("epoll_ctl: cannot remove descriptor %d: %s", descriptor, std::strerror(errno));
    m_watches.erase(found);
}

void EventDispatcher::markChanged(int descriptor, Watch& watch)
{
    if (watch.isChanged)
        return;
    watch.isChanged = true;
    m_changedDescriptors.push_back(descriptor);
}

void EventDispatcher::applyChanges()
{
    for (const int descriptor : m_changedDescriptors) {
        const auto found = m_watches.find(descriptor);
        if (found == m_watches.end())
            continue;
        Watch& watch = found->second;
        watch.isChanged = false;
        if (watch.wantedEvents == watch.registeredEvents)
            continue;
        epoll_event event {};
        event.events = watch.wantedEvents;
        event.data.u64 = packData(descriptor, watch.generation);
        const int operation = watch.registeredEvents == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        if (::epoll_ctl(m_epoll, operation, descriptor, &event) == 0)
            watch.registeredEvents = watch.wantedEvents;
        else
            qWarning("epoll_ctl: cannot watch descriptor %d: %s", descriptor, std::strerror(errno));
    }
    m_changedDescriptors.clear();
}

bool EventDispatcher::waitForDescriptors(int timeoutMs)
{
    applyChanges();
    // A handler may run a nested event loop, which must not overwrite the events of this one.
    std::vector<epoll_event> events = std::exchange(m_events, {});
    // Room for all descriptors: replies are handled before their time-outs only if all ready ones are returned.
    events.resize(m_watches.size() + 1);
    const std::uint64_t wait = ++m_waitCount;
    const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), timeoutMs);
    if (count < 0 && errno != EINTR)
        qFatal("epoll_wait: %s", std::strerror(errno));
    bool hasHandledEvents = false;
    // After a nested event loop the remaining events are stale; descriptors that are still ready are reported again.
    for (int i = 0; i < count && m_waitCount == wait; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        const auto descriptor = static_cast<int>(event.data.u64 & std::numeric_limits<std::uint32_t>::max());
        const auto generation = static_cast<std::uint32_t>(event.data.u64 >> generationShift);
        if (descriptor != m_wakeUp)
            hasHandledEvents |= notify(descriptor, generation, event.events);
    }
    if (m_events.capacity() < events.capacity())
        m_events = std::move(events);
    return hasHandledEvents;
}

void EventDispatcher::waitForWakeUp(int timeoutMs)
{
    pollfd descriptor { m_wakeUp, POLLIN, 0 };
    if (::poll(&descriptor, 1, timeoutMs) < 0 && errno != EINTR)
        qFatal("poll: %s", std::strerror(errno));
    std::uint64_t count = 0;
    if (descriptor.revents != 0 && ::read(m_wakeUp, &count, sizeof count) < 0 && errno != EAGAIN)
        qFatal("eventfd: %s", std::strerror(errno));
}

// A handler may disable or delete any notifier and close any descriptor, so each notifier is looked up again.
bool EventDispatcher::notify(int descriptor, std::uint32_t generation, std::uint32_t events)
{
    bool hasHandledEvents = false;
    for (std::size_t type = 0; type < epollEvents.size(); ++type) {
        if ((events & (epollEvents[type] | alwaysReportedEvents)) == 0)
            continue;
        const auto found = m_watches.find(descriptor);
        if (found == m_watches.end() || found->second.generation != generation)
            break;
        QSocketNotifier* notifier = found->second.notifiers[type];
        if (!notifier)
            continue;
        QEvent event(QEvent::SockAct);
        QCoreApplication::sendEvent(notifier, &event);
        hasHandledEvents = true;
    }
    return hasHandledEvents;
}

void EventDispatcher::registerTimer(int timerId, qint64 interval, Qt::TimerType timerType, QObject* object)
{
    Timer& timer = m_timers[timerId];
    timer.object = object;
    timer.interval = std::chrono::milliseconds(interval);
    timer.type = timerType;
    timer.registration = ++m_lastRegistration;
    schedule(timerId, timer, Clock::now() + timer.interval);
}

void EventDispatcher::schedule(int timerId, Timer& timer, Clock::time_point due)
{
    timer.due = due;
    timer.order = ++m_lastOrder;
    m_timerQueue.insert({ due, timer.order, timerId });
}

bool EventDispatcher::unregisterTimer(int timerId)
{
    const auto found = m_timers.find(timerId);
    if (found == m_timers.end())
        return false;
    m_timerQueue.erase({ found->second.due, found->second.order, timerId });
    m_timers.erase(found);
    return true;
}

bool EventDispatcher::unregisterTimers(QObject* object)
{
    const QList<TimerInfo> timers = registeredTimers(object);
    for (const TimerInfo& timer : timers)
        unregisterTimer(timer.timerId);
    return !timers.isEmpty();
}

QList<EventDispatcher::TimerInfo> EventDispatcher::registeredTimers(QObject* object) const
{
    QList<TimerInfo> timers;
    for (const auto& [timerId, timer] : m_timers) {
        if (timer.object == object)
            timers.append(TimerInfo(timerId, static_cast<int>(timer.interval.count()), timer.type));
    }
    return timers;
}

int EventDispatcher::remainingTime(int timerId)
{
    const auto found = m_timers.find(timerId);
    if (found == m_timers.end())
        return -1;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(found->second.due - Clock::now());
    return static_cast<int>(std::max<std::int64_t>(0, left.count()));
}

int EventDispatcher::millisecondsToNextTimer(Clock::time_point now) const
{
    if (m_timerQueue.empty())
        return -1;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_timerQueue.begin()->due - now);
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, std::numeric_limits<int>::max()));
}

// Runs each timer at most once: timers scheduled by the handlers run in the next iteration.
bool EventDispatcher::runTimers(Clock::time_point until)
{
    bool hasHandledEvents = false;
    const std::uint64_t lastOrder = m_lastOrder;
    while (!m_timerQueue.empty() && m_timerQueue.begin()->due <= until && m_timerQueue.begin()->order <= lastOrder) {
        const int timerId = m_timerQueue.begin()->timerId;
        m_timerQueue.erase(m_timerQueue.begin());
        Timer& timer = m_timers.at(timerId);
        // Missed periods are skipped, as in Qt's dispatchers.
        Clock::time_point next = timer.due + timer.interval;
        if (next <= until)
            next = until + timer.interval;
        schedule(timerId, timer, next);
        if (timer.isRunning)
            continue;
        timer.isRunning = true;
        const std::uint64_t registration = timer.registration;
        QTimerEvent event(timerId);
        QCoreApplication::sendEvent(timer.object, &event);
        hasHandledEvents = true;
        // The handler may have removed the timer, and its identifier may have been reused.
        const auto found = m_timers.find(timerId);
        if (found != m_timers.end() && found->second.registration == registration)
            found->second.isRunning = false;
    }
    return hasHandledEvents;
}

void EventDispatcher::wakeUp()
{
    const bool wasWoken = m_isWoken.exchange(true);
    // The loop's own thread checks the flag before it waits.
    if (wasWoken || QThread::currentThread() == thread())
        return;
    const std::uint64_t one = 1;
    if (::write(m_wakeUp, &one, sizeof one) < 0)
        qFatal("eventfd: %s", std::strerror(errno));
}

void EventDispatcher::interrupt()
{
    m_isInterrupted = true;
    wakeUp();
}

} // namespace lacewing::kernel
