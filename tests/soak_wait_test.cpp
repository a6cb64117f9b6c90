// Tests of the soak's waits.
#include "soak/wait.h"

#include <QObject>
#include <QThread>
#include <QTimer>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;

class SoakWaitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SoakWaitTest);
    CPPUNIT_TEST(eventsThatWaitAtTheLimitAreHandled);
    CPPUNIT_TEST(conditionsThatDoNotHoldFailAtTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a daemon that ended in time and is reported as running, because the soak was held up until after
    // the limit and had not yet read its end (soak seed 49).
    void eventsThatWaitAtTheLimitAreHandled()
    {
        bool hasEnded = false;
        QObject receiver;
        QTimer::singleShot(0, &receiver, [&] {
            QMetaObject::invokeMethod(
                &receiver, [&] { hasEnded = true; }, Qt::QueuedConnection);
            QThread::msleep(100);
        });
        CPPUNIT_ASSERT(soak::waitUntil([&] { return hasEnded; }, 50));
    }

    void conditionsThatDoNotHoldFailAtTheLimit()
    {
        bool hasEnded = false;
        QObject receiver;
        QTimer::singleShot(300, &receiver, [&] { hasEnded = true; });
        CPPUNIT_ASSERT(!soak::waitUntil([&] { return hasEnded; }, 50));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakWaitTest);

} // namespace
