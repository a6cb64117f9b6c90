// Follows the changes under a prefix of the store and knows how old its knowledge is (see watch_calls.h).
//
// It begins with a list, and lists again when the store no longer has the history. Each change is delivered once, in
// the order of revisions. check() asks for what has changed since, for a caller that must not act on older knowledge.
#pragma once

#include "daemon/runtime.h"
#include "daemon/watch_calls.h"

#include <QObject>
#include <QTimer>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewing::daemon {

class StoreWatch : public QObject {
public:
    struct Changes {
        std::vector<platform::Item> items;
        bool isComplete = false;             // all items under the prefix, which replace what was delivered before
        scheduler::Millis formerAskedAt = 0; // askedAt() before these changes
    };

    using Receiver = std::function<void(const Changes& changes)>;

    // `name` identifies the watch in logs, metrics and connections.
    StoreWatch(Runtime& runtime, std::string name, std::string prefix, WatchTimes times, Receiver receiver);

    void start();
    // Instead of start(), when all changes up to the revision are known and were asked for at `askedAt`.
    void startFrom(std::int64_t revision, scheduler::Millis askedAt);
    std::int64_t revision() const { return m_calls.revision; }
    // Changes that the store accepted before this time are known; 0: nothing is known.
    scheduler::Millis askedAt() const { return m_calls.askedAt; }
    // Calls back once all changes accepted before `notBefore` have been delivered, or with false when the store does
    // not answer in time. At once where that is known already.
    void check(scheduler::Millis notBefore, std::function<void(bool isKnown)> callback);

private:
    using Answer = base::Result<platform::ItemList, platform::StoreError>;

    struct Waiter {
        scheduler::Millis notBefore = 0;
        scheduler::Millis deadline = 0;
        std::function<void(bool)> callback;
    };

    void send();
    void sendCheck();
    void applyResult(const WatchCall& call, const Answer& result);
    void deliver(const WatchCall& call, const platform::ItemList& list);
    void logFailure(const char* event, scheduler::Millis sentAt, const std::string& detail);
    void endWaits(bool hasFailed);
    void arm();

    Runtime& m_runtime;
    const std::string m_name;
    const std::string m_prefix;
    const WatchTimes m_times;
    const Receiver m_receiver;
    WatchCalls m_calls;
    scheduler::Millis m_checkSentAt = 0; // of the newest check in progress; 0: none
    bool m_isCheckArriving = false;      // its answer has begun
    std::vector<Waiter> m_waiters;       // in the order of their deadlines
    QTimer m_timer;                      // next call or deadline of a waiter
    std::shared_ptr<int> m_alive;        // callbacks of calls in progress end with it
    platform::Store::Subscription m_reachability;
};

} // namespace lacewing::daemon
