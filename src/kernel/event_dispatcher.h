// Event dispatcher on epoll: a turn of the event loop costs in proportion to the descriptors that are ready.
//
// Qt's own dispatchers hand every descriptor to poll() in each turn, which dominates with a thousand kept connections.
//
// A turn handles posted events, then the descriptors that are ready, then the timers that had expired before the
// descriptors were looked at. An answer that arrived in time is therefore always handled before its time-out, however
// long another handler has kept the loop busy.
//
// All timer types are kept to the millisecond, rounded up. Install it with QCoreApplication::setEventDispatcher()
// before the application is made, or with QThread::setEventDispatcher() before the thread starts.
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
    // Throws std::system_error when the system grants no descriptor for epoll or eventfd.
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
        std::uint32_t registeredEvents = 0;           // epoll events that the kernel knows
        std::uint32_t generation = 0;                 // tells a reused descriptor number from its predecessor
        bool isChanged = false;                       // in m_changedDescriptors
    };

    struct Timer {
        QObject* object = nullptr;
        std::chrono::milliseconds interval {};
        Qt::TimerType type = Qt::CoarseTimer;
        Clock::time_point due;
        std::uint64_t order = 0;        // of its entry in m_timerQueue
        std::uint64_t registration = 0; // tells a reused identifier from its predecessor
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
    std::vector<epoll_event> m_events;       // kept to save an allocation in each turn
    std::uint64_t m_waitCount = 0;           // calls of epoll_wait
    std::unordered_map<int, Timer> m_timers; // by identifier
    std::set<TimerEntry> m_timerQueue;       // of all entries of m_timers
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_lastRegistration = 0;
    std::atomic<bool> m_isWoken = true; // posted events may be waiting
    std::atomic<bool> m_isInterrupted = false;
};

} // namespace lacewing::kernel
