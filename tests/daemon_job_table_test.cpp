// Tests of the job table.
#include "daemon/job_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing::daemon;

class DaemonJobTableTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonJobTableTest);
    CPPUNIT_TEST(silentWatchIsNotTreatedAsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a count of waiting jobs that is reported as current although it lacks the jobs accepted since the
    // watch stopped answering.
    void silentWatchIsNotTreatedAsComplete()
    {
        CPPUNIT_ASSERT_EQUAL(lacewing::scheduler::Millis(12000), watchCompleteUntil(10000, 2500, 12000));
        CPPUNIT_ASSERT_EQUAL(lacewing::scheduler::Millis(10000), watchCompleteUntil(10000, 2500, 13000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonJobTableTest);

} // namespace
