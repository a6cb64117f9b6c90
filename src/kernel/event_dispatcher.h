// Event dispatcher on epoll: the cost of an event loop iteration is proportional to the number of ready descriptors.
//
// Qt's own dispatchers pass every descriptor to poll() in each iteration, which dominates the cost with a thousand
// persistent connections.
//
// An iteration handles posted events, then the ready descriptors, then the timers that had expired before the
// descriptors were polled. A reply that arrived in time is therefore always handled before its time-out, however long
// another handler has blocked the loop.
//
// All timer types have millisecond precision, rounded up. Install the dispatcher with
// QCoreApplication::setEventDispatcher() before the application object is created, or with
// QThread::setEventDispatcher() before the thread starts.
#pragma once

#include <QAbstractEventDispatcher>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <set>
#include <sys/epoll.h>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lacewing::kernel {

class EventDispatcher : public QAbstractEventDispatcher {
public:
    // Throws std::system_error when epoll or eventfd cannot be set up.
    explicit EventDispatcher(QObject* parent = nullptr);
    ~EventDispatcher() override;

    EventDispatcher(const EventDispatcher&) = delete;
    EventDispatcher& operator=(const EventDispatcher&) = delete;

    bool processEvents(QEventLoop::ProcessEventsFlags flags) override;

    void registerSocketNotifier(QSocketNotifier* notifier) override;
    void unregisterSocketNotifier(QSocketNotifier* notifier) override;

    using QAbstractEventDispatcher::registerTimer;
    void registerTimer(int timerId, qint64 interval, Qt::TimerType timerType, QObject* object) override;
    bool unregisterTimer(int timerId) override;
    bool unregisterTimers(QObject* object) override;
    QList<TimerInfo> registeredTimers(QObject* object) const override;
    int remainingTime(int timerId) override;

    // Both may be called from any thread.
    void wakeUp() override;
    void interrupt() override;

private:
    using Clock = std::chrono::steady_clock;

    struct Watch {                                    // of one descriptor
        std::array<QSocketNotifier*, 3> notifiers {}; // by QSocketNotifier::Type
        std::uint32_t wantedEvents = 0;               // epoll events of the notifiers
        std::uint32_t registeredEvents = 0;           // events registered with epoll
        std::uint32_t generation = 0;                 // distinguishes a reused descriptor number from its previous use
        bool isChanged = false;                       // in m_changedDescriptors
    };

    struct Timer {
        QObject* object = nullptr;
        std::chrono::milliseconds interval {};
        Qt::TimerType type = Qt::CoarseTimer;
        Clock::time_point due;
        std::uint64_t order = 0;        // scheduling sequence number; tie-breaker in m_timerQueue
        std::uint64_t registration = 0; // distinguishes a reused identifier from its previous use
        bool isRunning = false;         // inside its handler; not run again by a nested event loop
    };

    struct TimerEntry {
        Clock::time_point due;
        std::uint64_t order;
        int timerId;
        bool operator<(const TimerEntry& other) const
        {
            return std::tie(due, order) < std::tie(other.due, other.order);
        }
    };

    void markChanged(int descriptor, Watch& watch);
    void applyChanges();
    bool waitForDescriptors(int timeoutMs);
    void waitForWakeUp(int timeoutMs);
    bool notify(int descriptor, std::uint32_t generation, std::uint32_t events);
    void schedule(int timerId, Timer& timer, Clock::time_point due);
    bool runTimers(Clock::time_point until);
    int millisecondsToNextTimer(Clock::time_point now) const; // -1: there is none

    int m_epoll = -1;
    int m_wakeUp = -1; // eventfd, edge-triggered and never read
    std::unordered_map<int, Watch> m_watches;
    std::uint32_t m_lastGeneration = 0;
    std::vector<int> m_changedDescriptors;   // descriptors whose `wantedEvents` differs from `registeredEvents`
    std::vector<epoll_event> m_events;       // kept to save an allocation in each iteration
    std::uint64_t m_waitCount = 0;           // calls of epoll_wait so far
    std::unordered_map<int, Timer> m_timers; // by identifier
    std::set<TimerEntry> m_timerQueue;       // all entries of m_timers by due time
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastRegistration = 0;
    std::atomic<bool> m_isWoken = true; // posted events may be pending
    std::atomic<bool> m_isInterrupted = false;
};

} // namespace lacewing::kernel
