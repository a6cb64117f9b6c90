// Tests of the at-most-once state of one request, of the class queues and of the budgets.
#include "routing/budget.h"
#include "routing/queue.h"
#include "routing/request.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace lacewing;
using namespace lacewing::routing;

base::TimePoint at(std::int64_t ms) { return base::TimePoint(base::milliseconds(ms)); }

class RequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestTest);
    CPPUNIT_TEST(claimsMatchWhatHappened);
    CPPUNIT_TEST(statementWithoutHeaderIsNotBelieved);
    CPPUNIT_TEST(budgetKeepsItsShare);
    CPPUNIT_TEST(slowRequestsAreNotStarved);
    CPPUNIT_TEST(queueRefusesWhatItCannotServeInTime);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second execution of a non-idempotent request (I7) and a false `executed: no` (I6). The model
    // knows the truth: an attempt may execute from the moment it started, unless its end proves the contrary.
    void claimsMatchWhatHappened()
    {
        const bool isHeld = rc::check("claims match what happened", [] {
            RequestState request;
            request.isIdempotent = *rc::gen::arbitrary<bool>();
            std::vector<bool> mayExecute;
            std::vector<bool> isEnded;
            const int steps = *rc::gen::inRange(0, 20);
            for (int step = 0; step < steps; ++step) {
                const auto attempt = static_cast<AttemptId>(*rc::gen::inRange(0, 4));
                const int kind = *rc::gen::inRange(0, 4);
                if (kind == 0 && mayRetry(request)) {
                    const bool isOther = std::find(mayExecute.begin(), mayExecute.end(), true) != mayExecute.end();
                    RC_ASSERT(request.isIdempotent || !isOther);
                    onPlanned(request, mayExecute.size(), false);
                    mayExecute.push_back(false);
                    isEnded.push_back(false);
                } else if (attempt < mayExecute.size() && !isEnded[attempt]) {
                    if (kind == 1) {
                        onStarted(request, attempt);
                        mayExecute[attempt] = true;
                    } else if (kind > 1) {
                        AttemptOutcome outcome;
                        const bool wasStarted = mayExecute[attempt];
                        const bool isSent = wasStarted && *rc::gen::arbitrary<bool>();
                        outcome.bytesSent = isSent ? BytesSent::Some : BytesSent::None;
                        outcome.status = *rc::gen::element(0, 200, 503);
                        outcome.endpointSaidNotExecuted = *rc::gen::arbitrary<bool>();
                        RC_ASSERT(onEnded(request, attempt, outcome));
                        RC_ASSERT(!onEnded(request, attempt, outcome));
                        isEnded[attempt] = true;
                        mayExecute[attempt] = isSent && !(outcome.endpointSaidNotExecuted && outcome.status != 0);
                    }
                }
                const bool isAny = std::find(mayExecute.begin(), mayExecute.end(), true) != mayExecute.end();
                RC_ASSERT((executedField(request) == Executed::No) == !isAny);
            }
        });
        CPPUNIT_ASSERT(isHeld);
    }

    // Guards against believing a statement that no endpoint made.
    void statementWithoutHeaderIsNotBelieved()
    {
        RequestState request;
        onPlanned(request, 1, false);
        onStarted(request, 1);
        AttemptOutcome outcome;
        outcome.endpointSaidNotExecuted = true;
        onEnded(request, 1, outcome);
        CPPUNIT_ASSERT(executedField(request) == Executed::Unknown);
        CPPUNIT_ASSERT(!mayRetry(request));
    }

    // Guards against retries that multiply the load of a failing service.
    void budgetKeepsItsShare()
    {
        ShareBudget budget { 0.1, 20.0, 0 };
        int taken = 0;
        for (int request = 0; request < 1000; ++request) {
            onRequest(budget);
            taken += tryTake(budget) ? 1 : 0;
        }
        CPPUNIT_ASSERT(taken >= 99 && taken <= 100);
        for (int request = 0; request < 10000; ++request)
            onRequest(budget);
        taken = 0;
        while (tryTake(budget))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(20, taken);
    }

    // Guards against slow requests that wait for ever behind urgent ones.
    void slowRequestsAreNotStarved()
    {
        AdmissionQueue queue;
        for (RequestId id = 1; id <= 100; ++id) {
            offer(queue, RequestClass::Urgent, { id, at(1000), at(0) }, at(0));
            offer(queue, RequestClass::Slow, { id + 1000, at(1000), at(0) }, at(0));
        }
        int slow = 0;
        for (int dispatch = 1; dispatch <= 96; ++dispatch) {
            slow += next(queue).value() > 1000 ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(dispatch / queue.limits.slowEvery, slow);
        }
    }

    // Guards against accepting a request that will be answered too late.
    void queueRefusesWhatItCannotServeInTime()
    {
        AdmissionQueue queue;
        queue.serviceUs = 10000;
        queue.capacity = 2;
        RequestId id = 0;
        while (!offer(queue, RequestClass::Urgent, { ++id, at(100), at(0) }, at(0))) { }
        // 100 ms less 10 ms of service, at 5 ms for each dispatch.
        CPPUNIT_ASSERT_EQUAL(RequestId { 19 }, id);
        const auto reason = offer(queue, RequestClass::Urgent, { id, at(100), at(0) }, at(0));
        CPPUNIT_ASSERT(reason == Reason::DeadlineTooShort);
        CPPUNIT_ASSERT(offer(queue, RequestClass::Urgent, { id, at(0), at(0) }, at(0)) == Reason::DeadlineExpired);
        CPPUNIT_ASSERT(expire(queue, at(90)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 18 }, expire(queue, at(91)).size());
    }

    // Guards against queues that grow without limit when nothing is known about the service time.
    void queueIsBounded()
    {
        AdmissionQueue queue;
        queue.limits.slowMax = 3;
        for (RequestId id = 1; id <= 3; ++id)
            CPPUNIT_ASSERT(!offer(queue, RequestClass::Slow, { id, at(10), at(0) }, at(0)));
        CPPUNIT_ASSERT(offer(queue, RequestClass::Slow, { 4, at(10), at(0) }, at(0)) == Reason::QueueFull);
        CPPUNIT_ASSERT(!offer(queue, RequestClass::Urgent, { 5, at(10), at(0) }, at(0)));
        CPPUNIT_ASSERT(remove(queue, RequestClass::Slow, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, size(queue));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTest);

} // namespace
