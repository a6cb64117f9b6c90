// Tests of the daemon's settings: defaults, the deployment template against the schema, and error messages.
#include "daemon/settings.h"

#include <QFile>
#include <QRegularExpression>
#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::daemon;

const std::string minimalSettings = R"({"daemon":{"name":"d1","dataCentre":"dc"},
    "listen":{"callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3"},
    "store":{"address":"127.0.0.1:4"}})";

class DaemonSettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DaemonSettingsTest);
    CPPUNIT_TEST(defaultsAreFilledIn);
    CPPUNIT_TEST(deployTemplateFitsTheSchema);
    CPPUNIT_TEST(thinLinksMakeADaemonWeaker);
    CPPUNIT_TEST(errorsNameFileAndKey);
    CPPUNIT_TEST_SUITE_END();

public:
    void defaultsAreFilledIn()
    {
        const auto settings = parseSettings(minimalSettings, "f");
        CPPUNIT_ASSERT(settings.has_value());
        CPPUNIT_ASSERT_EQUAL(6000, settings.value().bounds.maxLeaseMs);
        CPPUNIT_ASSERT_EQUAL(256, settings.value().limits.memoryMb);
        CPPUNIT_ASSERT_EQUAL(std::string(), settings.value().adminAddress);
    }

    // Guards against a deployment template that daemons reject at start.
    void deployTemplateFitsTheSchema()
    {
        QFile file(LACEWING_SOURCE_DIR "/deploy/settings.json");
        CPPUNIT_ASSERT(file.open(QIODevice::ReadOnly));
        QString text = QString::fromUtf8(file.readAll());
        text.replace("{{ip}}:{{internal_ports.0}}", "127.0.0.1:7720");
        text.replace("{{listen_addrs.control}}", "127.0.0.1:8166");
        text.replace(QRegularExpression(R"(\{\{(listen_addrs|platform)\.[a-z]+\|json\}\})"), "\"127.0.0.1:8161\"");
        text.replace(QRegularExpression(R"(\{\{(node|zone)\|json\}\})"), "\"name\"");
        text.replace("{{limits.cpu_share|json}}", "0.1");
        text.replace("{{#limits.link_mbps}}, \"linkMbps\": {{.|json}}{{/limits.link_mbps}}", ", \"linkMbps\": 20");
        text.replace("{{bounds.grace_s|json}}", "6.5"); // bounds in seconds may have fractions
        text.replace("{{bounds.status_s|json}}", "120");
        text.replace("{{#recommendation}}\"advice\": { \"address\": {{recommendation|json}} },{{/recommendation}}",
            "\"advice\": { \"address\": \"127.0.0.1:8170\" },");
        text.replace("{{#bounds.impact_ms}}\"impactMs\": {{.|json}},{{/bounds.impact_ms}}", "\"impactMs\": 4500,");
        text.replace("{{#bounds.config_apply_ms}}\"configurationMs\": {{.|json}},{{/bounds.config_apply_ms}}",
            "\"configurationMs\": 2500,");
        text.replace("{{#bounds.strict_revoke}}\"revocationMs\": {{bounds.revoke_ms|json}},{{/bounds.strict_revoke}}",
            "\"revocationMs\": 5000,");
        text.replace("{{#limits.memory_mb}}\"memoryMb\": {{.|json}},{{/limits.memory_mb}}", "\"memoryMb\": 160,");
        text.replace("{{#limits.max_fds}}\"descriptors\": {{.|json}},{{/limits.max_fds}}", "\"descriptors\": 4100,");
        text.replace(QRegularExpression(R"(\{\{bounds\.[a-z_]+\|json\}\})"), "1500");
        const auto settings = parseSettings(text.toStdString(), "settings.json");
        if (settings.has_error())
            CPPUNIT_FAIL(base::describe(settings.error().front()));
        CPPUNIT_ASSERT_EQUAL(6500, settings.value().bounds.graceMs);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:8170"), settings.value().adviceAddress);
        CPPUNIT_ASSERT_EQUAL(4500, settings.value().bounds.impactMs);
        CPPUNIT_ASSERT_EQUAL(160, settings.value().limits.memoryMb);
        CPPUNIT_ASSERT_EQUAL(4100, settings.value().limits.descriptors);
        CPPUNIT_ASSERT_EQUAL(2500, settings.value().bounds.configurationMs);
        CPPUNIT_ASSERT_EQUAL(5000, settings.value().bounds.revocationMs);
        CPPUNIT_ASSERT_EQUAL(20.0, settings.value().linkMbps);
    }

    // Guards against a scheduling daemon that is strong by its processor and cannot pass its orders over its link.
    void thinLinksMakeADaemonWeaker()
    {
        Settings settings;
        settings.processorShare = 0.5;
        CPPUNIT_ASSERT_EQUAL(0.5, schedulingShare(settings)); // unknown
        settings.linkMbps = 200;
        CPPUNIT_ASSERT_EQUAL(0.5, schedulingShare(settings));
        settings.linkMbps = 5.3;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, schedulingShare(settings), 1e-9);
    }

    void errorsNameFileAndKey()
    {
        std::string text = minimalSettings;
        text.replace(text.find("127.0.0.1:4"), 11, "store.example");
        const auto settings = parseSettings(text, "daemon.json");
        CPPUNIT_ASSERT(settings.has_error());
        const std::string message = base::describe(settings.error().front());
        CPPUNIT_ASSERT(message.find("daemon.json") != std::string::npos);
        CPPUNIT_ASSERT(message.find("store.address") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);

} // namespace
