// Tests of the daemon's settings file.
#include "daemon/settings.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;

const std::string validText = R"({
  "daemon": { "name": "a1", "dataCentre": "dc1" },
  "http": { "port": 8080 },
  "peer": { "port": 9080 },
  "platform": { "storeUrl": "http://127.0.0.1:7000", "instancesUrl": "http://127.0.0.1:7001" }
})";

std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = validText;
    text.replace(text.find(from), from.size(), to);
    return text;
}

class SettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(defaultsEqualTheStruct);
    CPPUNIT_TEST(everyFaultIsReportedWithItsLine);
    CPPUNIT_TEST(contradictionsAreRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a schema default that differs from the documented default of the struct.
    void defaultsEqualTheStruct()
    {
        const auto parsed = daemon::parseSettings(validText, "s.json");
        CPPUNIT_ASSERT(parsed.has_value());
        const daemon::Settings& settings = parsed.value();
        const daemon::Settings defaults;
        CPPUNIT_ASSERT_EQUAL(defaults.http.headerBytes, settings.http.headerBytes);
        CPPUNIT_ASSERT_EQUAL(defaults.http.serviceBodyBytes, settings.http.serviceBodyBytes);
        CPPUNIT_ASSERT_EQUAL(defaults.http.connections, settings.http.connections);
        CPPUNIT_ASSERT_EQUAL(defaults.http.idleTimeoutMs, settings.http.idleTimeoutMs);
        CPPUNIT_ASSERT_EQUAL(defaults.platform.storeWritesPerSecond, settings.platform.storeWritesPerSecond);
        CPPUNIT_ASSERT_EQUAL(defaults.platform.storeReadsPerSecond, settings.platform.storeReadsPerSecond);
        CPPUNIT_ASSERT_EQUAL(defaults.batch.taskLeaseMs, settings.batch.taskLeaseMs);
        CPPUNIT_ASSERT_EQUAL(defaults.batch.ownerSilenceMs, settings.batch.ownerSilenceMs);
        CPPUNIT_ASSERT_EQUAL(defaults.drainTimeoutMs, settings.drainTimeoutMs);
        CPPUNIT_ASSERT_EQUAL(defaults.longestPollMs, settings.longestPollMs);
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), settings.daemon.value);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(9080), settings.peer.port);
    }

    // Guards against a check that stops at the first fault, or does not say where it is.
    void everyFaultIsReportedWithItsLine()
    {
        std::string text = replaced("\"port\": 8080", "\"port\": 80800, \"prot\": 1");
        text.replace(text.find("\"port\": 9080"), 12, "\"port\": \"x\"");
        const auto parsed = daemon::parseSettings(text, "s.json");
        CPPUNIT_ASSERT(parsed.has_error());
        std::string all;
        for (const base::InputError& error : parsed.error())
            all += base::describe(error) + "\n";
        CPPUNIT_ASSERT_MESSAGE(all, all.find("s.json:3: http.port") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(all, all.find("http.prot") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(all, all.find("s.json:4: peer.port") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(all, all.find("1..65535") != std::string::npos);
    }

    // Guards against settings that are valid one by one and cannot work together.
    void contradictionsAreRefused()
    {
        CPPUNIT_ASSERT(daemon::parseSettings(replaced("\"port\": 9080", "\"port\": 8080"), "s.json").has_error());
        CPPUNIT_ASSERT(
            daemon::parseSettings(replaced("http://127.0.0.1:7000", "https://store/x"), "s.json").has_error());
        CPPUNIT_ASSERT(
            daemon::parseSettings(replaced("\"port\": 8080", "\"port\": 8080, \"address\": \"localhost\""), "s.json")
                .has_error());
        CPPUNIT_ASSERT(daemon::readSettings("/nonexistent/settings.json").has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace
