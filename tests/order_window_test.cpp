// Tests of the bound on starts in flight: it limits a slow daemon and does not throttle a fast one.
#include "scheduler/order_window.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace {

using namespace lacewing::scheduler;

// A daemon that handles `perMs` starts per millisecond in order, and drops starts older than 400 ms without sending
// them.
struct SlowDaemon {
    double perMs = 0;
    int backlogFromOthers = 0; // starts of other work that it has to handle first
    int handled = 0;
    int expired = 0;
    OrderWindow window;

    void run(Millis length)
    {
        const Millis end = m_now + length;
        for (; m_now < end; ++m_now) {
            if (m_now % 20 == 0) {
                for (int i = availableStarts(window, m_now); i > 0; --i)
                    m_queue.push_back({ recordOrder(window, m_now), m_now });
            }
            for (m_work += perMs; m_work >= 1; m_work -= 1)
                handleNext();
        }
    }

private:
    struct Queued {
        std::uint64_t number;
        Millis at;
    };

    void handleNext()
    {
        if (backlogFromOthers > 0) {
            --backlogFromOthers;
            return;
        }
        if (m_queue.empty())
            return;
        const Queued next = m_queue.front();
        m_queue.pop_front();
        constexpr Millis timeoutMs = 400;
        const bool isExpired = m_now - next.at >= timeoutMs;
        ++(isExpired ? expired : handled);
        recordCompletion(window, next.number, next.at, false, m_now);
    }

    std::deque<Queued> m_queue;
    Millis m_now = 1000;
    double m_work = 0;
};

class OrderWindowTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrderWindowTest);
    CPPUNIT_TEST(ordersOfASlowDaemonDoNotExpire);
    CPPUNIT_TEST(overloadEndsWithItsCause);
    CPPUNIT_TEST(quickDaemonsAreNotHeldBack);
    CPPUNIT_TEST(unresponsiveWorkersDoNotCloseTheWindow);
    CPPUNIT_TEST(lostAnswersOfAllWorkersShrinkTheWindow);
    CPPUNIT_TEST(latencyDecaysWithoutStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that orders more starts than it can send, so that they expire.
    void ordersOfASlowDaemonDoNotExpire()
    {
        SlowDaemon daemon;
        daemon.perMs = 0.05;
        daemon.run(5000);
        const int before = daemon.expired;
        daemon.run(20000);
        CPPUNIT_ASSERT_EQUAL(0, daemon.expired - before);
        CPPUNIT_ASSERT(daemon.handled > 0.9 * 25000 * daemon.perMs);
    }

    // Guards against an overload that persists after its cause is gone.
    void overloadEndsWithItsCause()
    {
        SlowDaemon daemon;
        daemon.perMs = 0.5;
        daemon.run(5000);
        daemon.backlogFromOthers = 1000;
        daemon.run(4000);
        const int expired = daemon.expired;
        const int handled = daemon.handled;
        daemon.run(5000);
        CPPUNIT_ASSERT_EQUAL(0, daemon.expired - expired);
        CPPUNIT_ASSERT(daemon.handled - handled > 0.9 * 5000 * daemon.perMs);
    }

    // Guards against a window that throttles a daemon with spare processor time.
    void quickDaemonsAreNotHeldBack()
    {
        SlowDaemon daemon;
        daemon.perMs = 5;
        daemon.run(5000);
        const int handled = daemon.handled;
        daemon.run(5000);
        CPPUNIT_ASSERT(daemon.handled - handled > 0.9 * 5000 * daemon.perMs);
    }

    // Guards against starts that are blocked because some workers do not answer.
    void unresponsiveWorkersDoNotCloseTheWindow()
    {
        OrderWindow window;
        Millis now = 1000;
        const int open = availableStarts(window, now);
        for (int i = 0; i < open; ++i)
            recordOrder(window, now);
        CPPUNIT_ASSERT_EQUAL(0, availableStarts(window, now + 100));
        CPPUNIT_ASSERT_EQUAL(open, availableStarts(window, now + 1000));
    }

    // Guards against a daemon that keeps its highest rate while its own link or event loop loses every answer.
    void lostAnswersOfAllWorkersShrinkTheWindow()
    {
        OrderWindow window;
        window.size = 256;
        Millis now = 1000;
        int ordered = 0;
        for (int round = 0; round < 20; ++round, now += 400) {
            std::deque<std::uint64_t> numbers;
            for (int i = availableStarts(window, now); i > 0; --i)
                numbers.push_back(recordOrder(window, now));
            ordered = static_cast<int>(numbers.size());
            for (const std::uint64_t number : numbers)
                recordCompletion(window, number, now, true, now + 400);
        }
        CPPUNIT_ASSERT(ordered < 64);
    }

    // Guards against lease renewals that are delayed by the latency of starts (applyRenewal) long after the last start.
    void latencyDecaysWithoutStarts()
    {
        OrderWindow window;
        for (int i = 0; i < 100; ++i)
            recordCompletion(window, recordOrder(window, 1000), 1000, false, 3000);
        CPPUNIT_ASSERT(window.latencyMs > 1000);
        availableStarts(window, 60000);
        CPPUNIT_ASSERT(window.latencyMs < 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderWindowTest);

} // namespace
