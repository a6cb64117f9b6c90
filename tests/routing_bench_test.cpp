// Tests of the routing targets in the bench model, and of the bench's JSON output.
#include "bench/output.h"
#include "bench/routing_model.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::bench;

ModelInput makeInput(Situation situation, double load)
{
    ModelInput input;
    input.deployment = { "small", 24, 3, 6, 500, 1000, 100, 8 };
    input.situation = situation;
    input.load = load;
    input.warmUp = base::seconds(1);
    input.duration = base::seconds(5);
    return input;
}

class RoutingBenchTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RoutingBenchTest);
    CPPUNIT_TEST(slowEndpointKeepsTheTail);
    CPPUNIT_TEST(overloadKeepsGoodput);
    CPPUNIT_TEST(endpointsNeverExceedTheirSlots);
    CPPUNIT_TEST(sameSeedGivesTheSameResult);
    CPPUNIT_TEST(reportSurvivesJson);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards the target: p99 at 80% load with one slow endpoint is at most 1.5 times the p99 without it.
    void slowEndpointKeepsTheTail()
    {
        const ModelResult steady = runModel(makeInput(Situation::Steady, 0.8));
        const ModelResult slow = runModel(makeInput(Situation::SlowEndpoint, 0.8));
        CPPUNIT_ASSERT(slow.p99Ms <= 1.5 * steady.p99Ms);
    }

    // Guards against a collapse of goodput above full load, and against ejecting capacity that is needed.
    void overloadKeepsGoodput()
    {
        const ModelResult full = runModel(makeInput(Situation::Steady, 1.0));
        const ModelResult over = runModel(makeInput(Situation::Steady, 1.2));
        CPPUNIT_ASSERT(over.goodputShare >= 0.9 * full.goodputShare);
        CPPUNIT_ASSERT(full.goodputShare >= 0.9);
    }

    // Guards the limit of slots through the whole gateway, with loans, hedges and retries (I11).
    void endpointsNeverExceedTheirSlots()
    {
        for (const Situation situation : { Situation::EntryLost, Situation::DataCentreOut, Situation::Burst }) {
            const ModelResult result = runModel(makeInput(situation, 0.95));
            CPPUNIT_ASSERT(result.requests > 1000);
            CPPUNIT_ASSERT(result.slotsInUseMax <= 8);
        }
    }

    // Guards against hidden sources of randomness or time.
    void sameSeedGivesTheSameResult()
    {
        const ModelInput input = makeInput(Situation::Burst, 0.8);
        const ModelResult first = runModel(input);
        const ModelResult second = runModel(input);
        CPPUNIT_ASSERT_EQUAL(first.p999Ms, second.p999Ms);
        CPPUNIT_ASSERT_EQUAL(first.goodputShare, second.goodputShare);
    }

    // Guards against a comparison with values that were changed by writing and reading.
    void reportSurvivesJson()
    {
        Report report { "abc", ~std::uint64_t { 0 }, 0.5, {} };
        report.tables.emplace_back("one", Table { "Title", { "x", "y" }, { { "row", { 1.25, 0 } } } });
        const auto read = fromJson(toJson(report));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(report.seed, read.value().seed);
        CPPUNIT_ASSERT_EQUAL(report.revision, read.value().revision);
        Report doubled = report;
        doubled.tables.at(0).second.rows.at(0).values = { 2.5, 3 };
        const std::vector<Table> ratios = compare(read.value(), doubled);
        CPPUNIT_ASSERT(ratios.at(0).rows.at(0).values == (std::vector<double> { 2, -1 }));
        CPPUNIT_ASSERT(fromJson("[]").error().code == OutputError::Code::NotAReport);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingBenchTest);

} // namespace
