// Tests of the calls to a worker: what an order that came to nothing says about the worker.
#include "http_support.h"
#include "platform/worker_link.h"

namespace {

using namespace lacewing;
using namespace lacewing::test;

class PlatformWorkerLinkTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformWorkerLinkTest);
    CPPUNIT_TEST(ordersBehindASilentWorkerAreNotTheDaemonsDelay);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a frozen worker that gets one order after the other and closes the daemon's window.
    void ordersBehindASilentWorkerAreNotTheDaemonsDelay()
    {
        RawEndpoint frozen([](QTcpSocket&, const QByteArray&) {});
        http::ChannelCounters traffic;
        platform::WorkerLink link("127.0.0.1:" + std::to_string(frozen.port), "w", platform::LinkTimeouts {}, &traffic);
        int answers = 0;
        int unsent = 0;
        for (int i = 0; i < 4; ++i) {
            scheduler::StartOrder order;
            order.worker = "w";
            order.task = "job.0.0." + std::to_string(i);
            order.run = 1;
            link.start(1, order, [&](const platform::StartAnswer& answer) {
                ++answers;
                unsent += answer.outcome == scheduler::StartOutcome::Unsent ? 1 : 0;
            });
        }
        CPPUNIT_ASSERT(waitUntil([&] { return answers == 4; }));
        CPPUNIT_ASSERT_EQUAL(0, unsent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformWorkerLinkTest);

} // namespace
