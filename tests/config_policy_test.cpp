// Tests of the typed policy, its schema and the checks between settings.
#include "config/policy.h"

#include <QFile>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace {

using namespace lacewing::config; // NOLINT(google-build-using-namespace)
namespace base = lacewing::base;

ConfigErrors errorsOf(const Files& files)
{
    const auto policy = parseFiles(files);
    return policy.has_error() ? policy.error() : ConfigErrors();
}

class PolicyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PolicyTest);
    CPPUNIT_TEST(defaultsOfSchemaAndStructsAgree);
    CPPUNIT_TEST(everyFieldSurvivesARoundTrip);
    CPPUNIT_TEST(errorsNameTheDecidingFile);
    CPPUNIT_TEST(contradictionsAreReported);
    CPPUNIT_TEST(unknownKeysOfNewerVersionsAreIgnoredOnRequest);
    CPPUNIT_TEST(enumTablesMatchTheSchema);
    CPPUNIT_TEST(selectorCombinesItsConditions);
    CPPUNIT_TEST(unusualPoliciesGiveWarnings);
    CPPUNIT_TEST(examplesAreValid);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against different defaults of a key in the schema and in the structs.
    void defaultsOfSchemaAndStructsAgree()
    {
        const auto policy = parseFiles({});
        CPPUNIT_ASSERT(policy.has_value());
        CPPUNIT_ASSERT(policy.value() == Policy());
        const auto named
            = parseFiles({ { "a.json", "{\"dataCentres\":{\"n\":{}},\"services\":{\"s\":{}},\"teams\":{\"t\":{}}}" } });
        CPPUNIT_ASSERT(named.has_value());
        CPPUNIT_ASSERT(named.value() == PolicyBuilder().dataCentre("n").service("s").team("t").build().value());
        CPPUNIT_ASSERT(named.value().services.at({ "s" }) == ServicePolicy());
        CPPUNIT_ASSERT(named.value().teams.at({ "t" }) == TeamPolicy());
        CPPUNIT_ASSERT(dataCentrePolicy(Policy(), { "n" }) == DataCentrePolicy());
    }

    // Guards against a key that parsePolicy does not read. Every value differs from its default.
    void everyFieldSurvivesARoundTrip()
    {
        ServicePolicy service { Idempotency::Never, base::milliseconds(11), base::milliseconds(22), 3, 4, 5,
            { base::milliseconds(6), 0.7, 0.8 }, { "p-", { "p-1", "p-2" }, { { "south" } } } };
        TeamPolicy team { 1, 2, 3, 4, 5.5 };
        RoutingPolicy routing { RoutingPolicyName::TwoChoices, 2, 3, 4.5, base::milliseconds(500),
            base::milliseconds(600), 0.25, 0.75, base::milliseconds(7), 0.2, 0.03 };
        BatchPolicy batch { 0.9, 0.4, base::milliseconds(1), 0.2, 6, base::milliseconds(3), base::milliseconds(4000), 7,
            base::milliseconds(5000), 8, 9 };
        const auto policy = PolicyBuilder()
                                .dataCentre("south", DataCentreState::Out, 0.5)
                                .service("s", service)
                                .team("t", team)
                                .routing(routing)
                                .batch(batch)
                                .build();
        CPPUNIT_ASSERT(policy.has_value());
        CPPUNIT_ASSERT(policy.value().services.at({ "s" }) == service);
        CPPUNIT_ASSERT(policy.value().teams.at({ "t" }) == team);
        CPPUNIT_ASSERT(policy.value().routing == routing);
        CPPUNIT_ASSERT(policy.value().batch == batch);
        CPPUNIT_ASSERT(isOut(policy.value(), { "south" }));
        CPPUNIT_ASSERT(!isOut(policy.value(), { "north" }));
        CPPUNIT_ASSERT(policy.value().dataCentres.at({ "south" }).weight == 0.5);
    }

    // Guards against an error that gives a position in the merged object instead of the operator's file and line.
    void errorsNameTheDecidingFile()
    {
        const ConfigErrors errors = errorsOf(
            { { "1.json", "{\"dataCentres\":{\"north\":{\"state\":\"in\"}},\n\"teams\":{\"t\":{\"quotas\":{}}}}" },
                { "2.json", "{\"dataCentres\":\n{\"north\":\n{\"state\":\"off\"}}}" } });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), errors.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "2.json:3: dataCentres.north.state: value out of range (value \"off\", accepted one of in, out)"),
            describe(errors[0]));
        CPPUNIT_ASSERT_EQUAL(
            std::string("1.json:2: teams.t.quotas: unknown key, did you mean \"quota\"?"), describe(errors[1]));
    }

    // Guards against accepting values that are valid alone but contradict each other.
    void contradictionsAreReported()
    {
        const auto isContradiction = [](const std::string& text, const std::string& key) {
            const ConfigErrors errors = errorsOf({ { "a.json", text } });
            return errors.size() == 1 && errors[0].code == ConfigError::Code::Contradiction && errors[0].key == key;
        };
        CPPUNIT_ASSERT(isContradiction("{\"batch\":{\"pressureLeave\":0.85}}", "batch.pressureLeave"));
        CPPUNIT_ASSERT(isContradiction("{\"services\":{\"s\":{\"deadlineMs\":40000}}}", "services.s.deadlineMs"));
        CPPUNIT_ASSERT(isContradiction(
            "{\"services\":{\"s\":{\"objectives\":{\"latencyThresholdMs\":30001}}}}", "services.s.objectives"));
        CPPUNIT_ASSERT(
            isContradiction("{\"routing\":{\"ejection\":{\"durationMs\":300001}}}", "routing.ejection.durationMs"));
        CPPUNIT_ASSERT(isContradiction("{\"dataCentres\":{\"north\":{}},\"services\":{\"s\":{\"endpoints\":{"
                                       "\"dataCentres\":[\"north\",\"nroth\"]}}}}",
            "services.s.endpoints.dataCentres[1]"));
        CPPUNIT_ASSERT(errorsOf({ { "a.json", "{\"teams\":{\"a/b\":{}}}" } }).at(0).key == "teams[\"a/b\"]");
        CPPUNIT_ASSERT(errorsOf({ { "a.json", "{\"services\":3}" } }).size() == 1);
        CPPUNIT_ASSERT(
            errorsOf({ { "a.json", "{\"services\":{\"s\":{\"endpoints\":{\"dataCentres\":3}}}}" } }).size() == 1);
    }

    // Guards against an older daemon that keeps using a data centre that was taken out, because it refuses the whole
    // revision for a key that it does not know.
    void unknownKeysOfNewerVersionsAreIgnoredOnRequest()
    {
        const Files files { { "a.json",
            "{\"dataCentres\":{\"n\":{\"state\":\"out\",\"newKey\":1}},\"newSection\":{}}" } };
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), errorsOf(files).size());
        const auto policy = parseFiles(files, UnknownKeys::Ignore);
        CPPUNIT_ASSERT(policy.has_value());
        CPPUNIT_ASSERT(isOut(policy.value(), { "n" }));
        CPPUNIT_ASSERT(parseFiles({ { "a.json", "{\"batch\":{\"attempts\":0}}" } }, UnknownKeys::Ignore).has_error());
    }

    // Guards against a name that the schema accepts but the policy reads as another value.
    void enumTablesMatchTheSchema()
    {
        for (const auto& [value, name] : dataCentreStateNames)
            CPPUNIT_ASSERT(
                PolicyBuilder().dataCentre("n", value).build().value().dataCentres.at({ "n" }).state == value);
        for (const auto& [value, name] : idempotencyNames) {
            ServicePolicy service;
            service.idempotency = value;
            CPPUNIT_ASSERT(PolicyBuilder().service("s", service).build().value().services.at({ "s" }) == service);
        }
        for (const auto& [value, name] : routingPolicyNames) {
            RoutingPolicy routing;
            routing.policy = value;
            CPPUNIT_ASSERT(PolicyBuilder().routing(routing).build().value().routing == routing);
        }
    }

    // Guards against routing a request to an endpoint of another service.
    void selectorCombinesItsConditions()
    {
        const EndpointSelector selector { "quote-", { "quote-1", "other" }, { { "north" } } };
        CPPUNIT_ASSERT(selects(selector, { "quote-1" }, { "north" }));
        CPPUNIT_ASSERT(!selects(selector, { "quote-1" }, { "south" }));
        CPPUNIT_ASSERT(!selects(selector, { "quote-2" }, { "north" }));
        CPPUNIT_ASSERT(!selects(selector, { "other" }, { "north" }));
        CPPUNIT_ASSERT(selects(EndpointSelector(), { "any" }, { "where" }));
    }

    // Guards against a valid file that causes a total outage without a warning.
    void unusualPoliciesGiveWarnings()
    {
        ServicePolicy service;
        service.endpoints.dataCentres = { { "north" } };
        PolicyBuilder builder;
        builder.dataCentre("north", DataCentreState::Out).service("s", service);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), warnings(builder.build().value()).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), warnings(builder.dataCentre("south").build().value()).size());
        CPPUNIT_ASSERT(warnings(Policy()).empty());
    }

    // Guards against invalid examples, which operators copy.
    void examplesAreValid()
    {
        Files files;
        for (const char* name :
            { "10-data-centres.json", "20-services.json", "30-teams.json", "40-routing.json", "90-north-out.json" }) {
            QFile file(QString(LACEWING_SOURCE_DIR "/examples/config/") + name);
            CPPUNIT_ASSERT_MESSAGE(name, file.open(QIODevice::ReadOnly));
            files[name] = file.readAll().toStdString();
        }
        const auto policy = parseFiles(files);
        if (policy.has_error())
            CPPUNIT_FAIL(describe(policy.error().front()));
        CPPUNIT_ASSERT(isOut(policy.value(), { "north" }));
        files.erase("90-north-out.json");
        CPPUNIT_ASSERT(!isOut(parseFiles(files).value(), { "north" }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);

} // namespace
