// Tests of the event dispatcher: order of timers, notifiers and wake-ups, and handlers that remove their own or other
// timers and notifiers.
#include "kernel/event_dispatcher.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QSocketNotifier>
#include <QThread>
#include <QTimer>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using lacewing::kernel::EventDispatcher;

// Ends a loop that would otherwise never end; a passing test does not take this long.
constexpr int loopTimeoutMs = 30000;

struct SocketPair {
    SocketPair() { CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends)); }
    ~SocketPair()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    SocketPair(const SocketPair&) = delete;
    SocketPair& operator=(const SocketPair&) = delete;

    void send() const { CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::write(ends[1], "x", 1)); }
    void receive() const
    {
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t(1), ::read(ends[0], &byte, 1));
    }

    int ends[2] = { -1, -1 }; // the first one is watched
};

// Runs the body in a thread with the dispatcher. A failed assertion is passed on to the caller.
void runWithDispatcher(const std::function<void()>& body)
{
    std::exception_ptr failure;
    const std::unique_ptr<QThread> thread(QThread::create([&] {
        try {
            CPPUNIT_ASSERT(dynamic_cast<EventDispatcher*>(QAbstractEventDispatcher::instance()));
            body();
        } catch (...) {
            failure = std::current_exception();
        }
    }));
    thread->setEventDispatcher(new EventDispatcher); // the thread becomes its owner
    thread->start();
    thread->wait();
    if (failure)
        std::rethrow_exception(failure);
}

// False when the loop was not ended in time.
bool run(QEventLoop& loop)
{
    bool isInTime = true;
    QTimer limit;
    QObject::connect(&limit, &QTimer::timeout, &loop, [&] {
        isInTime = false;
        loop.quit();
    });
    limit.start(loopTimeoutMs);
    loop.exec();
    return isInTime;
}

void block(int milliseconds) { QThread::msleep(static_cast<unsigned long>(milliseconds)); }

class EventDispatcherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventDispatcherTest);
    CPPUNIT_TEST(timersRunInOrderOfTheirTimes);
    CPPUNIT_TEST(stoppedTimerDoesNotRun);
    CPPUNIT_TEST(timerStartedAgainInItsHandlerRunsAgain);
    CPPUNIT_TEST(zeroIntervalTimerDoesNotStarveNotifiers);
    CPPUNIT_TEST(timerIsNotRunInsideItsHandler);
    CPPUNIT_TEST(remainingTimeCountsDown);
    CPPUNIT_TEST(disabledNotifierIsNotCalled);
    CPPUNIT_TEST(reusedDescriptorGetsNoEventOfItsPredecessor);
    CPPUNIT_TEST(reusedDescriptorIsWatched);
    CPPUNIT_TEST(writeNotifierIsCalledWhileWritable);
    CPPUNIT_TEST(peerThatClosedIsNotified);
    CPPUNIT_TEST(socketsAreHandledBeforeTimersThatExpiredMeanwhile);
    CPPUNIT_TEST(nestedLoopHandlesDescriptorsOnce);
    CPPUNIT_TEST(otherThreadWakesTheLoop);
    CPPUNIT_TEST(otherThreadEndsTheLoop);
    CPPUNIT_TEST(excludedSocketsWait);
    CPPUNIT_TEST_SUITE_END();

public:
    void timersRunInOrderOfTheirTimes()
    {
        runWithDispatcher([] {
            std::vector<int> order;
            QEventLoop loop;
            for (const int delayMs : { 30, 10, 20, 0 }) {
                QTimer::singleShot(delayMs, &loop, [&, delayMs] {
                    order.push_back(delayMs);
                    if (order.size() == 4)
                        loop.quit();
                });
            }
            block(40); // all have expired in the first iteration
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT(order == std::vector<int>({ 0, 10, 20, 30 }));
        });
    }

    // Guards against a time-out that is reported after the reply has stopped its timer.
    void stoppedTimerDoesNotRun()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            QTimer first;
            auto second = std::make_unique<QTimer>();
            QTimer third;
            int calls = 0;
            QObject::connect(&first, &QTimer::timeout, &loop, [&] {
                ++calls;
                first.stop();
                second.reset();
                third.stop();
                QTimer::singleShot(20, &loop, [&] { loop.quit(); });
            });
            QObject::connect(second.get(), &QTimer::timeout, &loop, [&] { ++calls; });
            QObject::connect(&third, &QTimer::timeout, &loop, [&] { ++calls; });
            first.start(1);
            second->start(2);
            third.start(3);
            block(10); // all have expired in the first iteration
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(1, calls);
        });
    }

    void timerStartedAgainInItsHandlerRunsAgain()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            QTimer timer;
            timer.setSingleShot(true);
            int calls = 0;
            QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
                if (++calls == 3)
                    loop.quit();
                else
                    timer.start(1);
            });
            timer.start(1);
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(3, calls);
        });
    }

    // Guards against an iteration that never ends because a timer with interval 0 is always due.
    void zeroIntervalTimerDoesNotStarveNotifiers()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pair;
            QTimer timer;
            int calls = 0;
            QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
                if (++calls == 5)
                    pair.send();
            });
            QSocketNotifier notifier(pair.ends[0], QSocketNotifier::Read);
            QObject::connect(&notifier, &QSocketNotifier::activated, &loop, [&] { loop.quit(); });
            timer.start(0);
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT(calls >= 5);
        });
    }

    // Guards against handlers that are reentered from a nested loop.
    void timerIsNotRunInsideItsHandler()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            QTimer timer;
            int depth = 0;
            int deepest = 0;
            QObject::connect(&timer, &QTimer::timeout, &loop, [&] {
                deepest = std::max(deepest, ++depth);
                QEventLoop nested;
                QTimer::singleShot(20, &nested, [&] { nested.quit(); });
                nested.exec();
                --depth;
                loop.quit();
            });
            timer.start(1);
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(1, deepest);
        });
    }

    void remainingTimeCountsDown()
    {
        runWithDispatcher([] {
            QTimer timer;
            timer.start(10000);
            block(5);
            CPPUNIT_ASSERT(timer.remainingTime() < 10000 && timer.remainingTime() > 0);
            timer.start(1);
            block(5);
            CPPUNIT_ASSERT_EQUAL(0, timer.remainingTime());
        });
    }

    // Guards against calling the handler of a connection that another handler of the same iteration has closed.
    void disabledNotifierIsNotCalled()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pairs[2];
            QSocketNotifier first(pairs[0].ends[0], QSocketNotifier::Read);
            QSocketNotifier second(pairs[1].ends[0], QSocketNotifier::Read);
            int calls = 0;
            // The first one that is called disables both.
            const auto handler = [&] {
                ++calls;
                first.setEnabled(false);
                second.setEnabled(false);
                QTimer::singleShot(20, &loop, [&] { loop.quit(); });
            };
            QObject::connect(&first, &QSocketNotifier::activated, &loop, handler);
            QObject::connect(&second, &QSocketNotifier::activated, &loop, handler);
            pairs[0].send();
            pairs[1].send();
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(1, calls);
            first.setEnabled(true);
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(2, calls);
        });
    }

    // Guards against a read event for a new connection that was meant for the closed one with the same descriptor.
    void reusedDescriptorGetsNoEventOfItsPredecessor()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pairs[2];
            SocketPair quiet;
            std::unique_ptr<QSocketNotifier> notifiers[2];
            std::unique_ptr<QSocketNotifier> late;
            int calls = 0;
            int lateCalls = 0;
            for (const int own : { 0, 1 }) {
                notifiers[own] = std::make_unique<QSocketNotifier>(pairs[own].ends[0], QSocketNotifier::Read);
                QObject::connect(notifiers[own].get(), &QSocketNotifier::activated, &loop, [&, own] {
                    ++calls;
                    notifiers[own]->setEnabled(false);
                    // The other one is ready in the same iteration, and its number is reused for an idle socket.
                    const int other = 1 - own;
                    const int descriptor = pairs[other].ends[0];
                    notifiers[other].reset();
                    CPPUNIT_ASSERT_EQUAL(descriptor, ::dup2(quiet.ends[0], descriptor));
                    late = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
                    QObject::connect(late.get(), &QSocketNotifier::activated, &loop, [&] { ++lateCalls; });
                    QTimer::singleShot(20, &loop, [&] { loop.quit(); });
                });
            }
            pairs[0].send();
            pairs[1].send();
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(1, calls);
            CPPUNIT_ASSERT_EQUAL(0, lateCalls);
            late.reset();
        });
    }

    // Guards against a new connection that is never read because its descriptor number was registered before.
    void reusedDescriptorIsWatched()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair first;
            SocketPair second;
            auto notifier = std::make_unique<QSocketNotifier>(first.ends[0], QSocketNotifier::Read);
            QTimer::singleShot(1, &loop, [&] { loop.quit(); });
            CPPUNIT_ASSERT(run(loop));
            notifier.reset();
            CPPUNIT_ASSERT_EQUAL(first.ends[0], ::dup2(second.ends[0], first.ends[0]));
            notifier = std::make_unique<QSocketNotifier>(first.ends[0], QSocketNotifier::Read);
            QObject::connect(notifier.get(), &QSocketNotifier::activated, &loop, [&] { loop.quit(); });
            second.send();
            CPPUNIT_ASSERT(run(loop));
            notifier.reset();
        });
    }

    void writeNotifierIsCalledWhileWritable()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pair;
            QSocketNotifier reader(pair.ends[0], QSocketNotifier::Read);
            QSocketNotifier writer(pair.ends[0], QSocketNotifier::Write);
            int reads = 0;
            int writes = 0;
            QObject::connect(&reader, &QSocketNotifier::activated, &loop, [&] {
                ++reads;
                pair.receive();
                loop.quit();
            });
            QObject::connect(&writer, &QSocketNotifier::activated, &loop, [&] {
                if (++writes == 3) {
                    writer.setEnabled(false);
                    pair.send();
                }
            });
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT_EQUAL(3, writes);
            CPPUNIT_ASSERT_EQUAL(1, reads);
        });
    }

    // Guards against a closed connection that is detected only by its time-out.
    void peerThatClosedIsNotified()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pair;
            QSocketNotifier notifier(pair.ends[0], QSocketNotifier::Read);
            QObject::connect(&notifier, &QSocketNotifier::activated, &loop, [&] { loop.quit(); });
            ::shutdown(pair.ends[1], SHUT_RDWR);
            CPPUNIT_ASSERT(run(loop));
        });
    }

    // Guards against replies that arrived in time and are reported as time-outs after a long iteration.
    void socketsAreHandledBeforeTimersThatExpiredMeanwhile()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair first;
            SocketPair second;
            QSocketNotifier firstNotifier(first.ends[0], QSocketNotifier::Read);
            QSocketNotifier secondNotifier(second.ends[0], QSocketNotifier::Read);
            std::vector<std::string> order;
            QTimer timeout;
            QObject::connect(&firstNotifier, &QSocketNotifier::activated, &loop, [&] {
                first.receive();
                order.push_back("first");
                timeout.start(10);
                second.send(); // arrives while this handler blocks the loop
                block(30);
            });
            QObject::connect(&secondNotifier, &QSocketNotifier::activated, &loop, [&] {
                second.receive();
                order.push_back("second");
            });
            QObject::connect(&timeout, &QTimer::timeout, &loop, [&] {
                order.push_back("timeout");
                loop.quit();
            });
            first.send();
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT(order == std::vector<std::string>({ "first", "second", "timeout" }));
        });
    }

    // Guards against a second notification for bytes that a nested loop has already read.
    void nestedLoopHandlesDescriptorsOnce()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            SocketPair pairs[2];
            std::unique_ptr<QSocketNotifier> notifiers[2];
            int calls[2] = { 0, 0 };
            for (const int own : { 0, 1 }) {
                notifiers[own] = std::make_unique<QSocketNotifier>(pairs[own].ends[0], QSocketNotifier::Read);
                QObject::connect(notifiers[own].get(), &QSocketNotifier::activated, &loop, [&, own] {
                    ++calls[own];
                    pairs[own].receive(); // fails when there is nothing to read
                    if (calls[0] + calls[1] != 1)
                        return;
                    QEventLoop nested;
                    QTimer::singleShot(20, &nested, [&] { nested.quit(); });
                    nested.exec();
                    loop.quit();
                });
            }
            pairs[0].send();
            pairs[1].send();
            CPPUNIT_ASSERT(run(loop));
            CPPUNIT_ASSERT(calls[0] == 1 && calls[1] == 1);
        });
    }

    void otherThreadWakesTheLoop()
    {
        runWithDispatcher([] {
            QEventLoop loop;
            constexpr int rounds = 2000;
            int calls = 0;
            std::thread other([&] {
                for (int i = 0; i < rounds; ++i) {
                    QMetaObject::invokeMethod(
                        &loop,
                        [&] {
                            if (++calls == rounds)
                                loop.quit();
                        },
                        Qt::QueuedConnection);
                    if (i % 100 == 0)
                        block(1); // time for the loop to start waiting
                }
            });
            const bool isInTime = run(loop);
            other.join();
            CPPUNIT_ASSERT(isInTime);
            CPPUNIT_ASSERT_EQUAL(rounds, calls);
        });
    }

    // Guards against an exit() that is lost when it is called just before the loop waits.
    void otherThreadEndsTheLoop()
    {
        runWithDispatcher([] {
            constexpr int rounds = 3000;
            std::atomic<QEventLoop*> running = nullptr;
            std::atomic<int> ended = 0; // calls of exit() that have returned
            std::atomic<bool> isOver = false;
            std::thread other([&] {
                while (!isOver) {
                    if (QEventLoop* loop = running.exchange(nullptr)) {
                        loop->exit(0);
                        ++ended;
                    }
                }
            });
            bool isInTime = true;
            for (int i = 0; i < rounds && isInTime; ++i) {
                QEventLoop loop;
                // Published from inside the loop: exec() would undo an exit() that comes before it.
                QMetaObject::invokeMethod(
                    &loop, [&] { running = &loop; }, Qt::QueuedConnection);
                isInTime = run(loop);
                while (isInTime && ended <= i)
                    std::this_thread::yield(); // exit() still uses the loop
            }
            isOver = true;
            other.join();
            CPPUNIT_ASSERT(isInTime);
        });
    }

    void excludedSocketsWait()
    {
        runWithDispatcher([] {
            SocketPair pair;
            QSocketNotifier notifier(pair.ends[0], QSocketNotifier::Read);
            int calls = 0;
            int ticks = 0;
            QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [&] { ++calls; });
            QTimer timer;
            QObject::connect(&timer, &QTimer::timeout, &timer, [&] { ++ticks; });
            timer.start(1);
            pair.send();
            while (ticks < 3)
                QCoreApplication::processEvents(QEventLoop::ExcludeSocketNotifiers | QEventLoop::WaitForMoreEvents);
            CPPUNIT_ASSERT_EQUAL(0, calls);
            QCoreApplication::processEvents();
            CPPUNIT_ASSERT(calls > 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventDispatcherTest);

} // namespace
