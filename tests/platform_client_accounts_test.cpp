// Tests of the client accounts in the operator's configuration, valid and faulty.
#include "platform/documents.h"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace lacewing;
using namespace lacewing::platform;

struct Decoded {
    scheduler::Configuration configuration;
    std::vector<DocumentFault> faults;

    std::string ownerOf(const QByteArray& key) const
    {
        const auto found = configuration.accountByKey.find(digestOf(key));
        return found == configuration.accountByKey.end() ? std::string() : found->second;
    }

    bool hasFault(const std::string& position) const
    {
        for (const DocumentFault& fault : faults) {
            if (fault.position == position)
                return true;
        }
        return false;
    }
};

Decoded decode(const QByteArray& members)
{
    Decoded result;
    auto configuration = decodeConfiguration(
        R"({"version":1,"routes":[{"name":"q","public":true},{"name":"r"}])" + members + '}', &result.faults);
    CPPUNIT_ASSERT(configuration.has_value());
    result.configuration = std::move(*configuration);
    return result;
}

class PlatformClientAccountsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PlatformClientAccountsTest);
    CPPUNIT_TEST(accountsAreDecoded);
    CPPUNIT_TEST(onlyTenantsMakeKeysNecessary);
    CPPUNIT_TEST(faultsAreToldByPositionAndKeepTheRest);
    CPPUNIT_TEST(keysOfTwoAccountsAreAcceptedForNeither);
    CPPUNIT_TEST(thousandsOfKeysAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void accountsAreDecoded()
    {
        const Decoded decoded = decode(R"(,"tenants":[{"name":"a","api_keys":["k1","k2"],"weight":2.5,"priority":3,
            "cap":{"cpu":64000,"mem_mb":1024,"gpu":2}},{"name":"b","api_keys":[]}])");
        CPPUNIT_ASSERT(decoded.faults.empty());
        const scheduler::Account& account = decoded.configuration.accounts.at("a");
        CPPUNIT_ASSERT(account.name == "a" && account.weight == 2.5 && account.cap.cpuMillicores == 64000);
        CPPUNIT_ASSERT(account.cap.memoryMb == 1024 && account.cap.gpus == 2);
        CPPUNIT_ASSERT_EQUAL(0, decoded.configuration.accounts.at("b").cap.cpuMillicores);
        CPPUNIT_ASSERT(decoded.ownerOf("k1") == "a" && decoded.ownerOf("k2") == "a" && decoded.ownerOf("k3").empty());
        CPPUNIT_ASSERT(decoded.configuration.queues.at(0).isPublic && !decoded.configuration.queues.at(1).isPublic);
    }

    // Guards against a deployment that asks for keys though it has no accounts, and against one that is open to all
    // because its list is empty or of another type.
    void onlyTenantsMakeKeysNecessary()
    {
        CPPUNIT_ASSERT(!decode("").configuration.hasAccounts);
        CPPUNIT_ASSERT(decode(R"(,"tenants":[])").configuration.hasAccounts);
        const Decoded odd = decode(R"(,"tenants":"none")");
        CPPUNIT_ASSERT(odd.configuration.hasAccounts && odd.hasFault("tenants"));
    }

    void faultsAreToldByPositionAndKeepTheRest()
    {
        const Decoded decoded = decode(R"(,"tenants":[
            {"name":"good","api_keys":["k0"]},
            {"name":"weak","api_keys":["k1",""],"weight":0,"cap":{"cpu":-1,"mem_mb":5,"gpu":1.5}},
            {"api_keys":["k2"]}, {"name":"good","api_keys":["k3"],"weight":9}, 7,
            {"name":")"
            + QByteArray(65, 'n') + R"(","api_keys":["k4"]}, {"name":"a\nb","api_keys":["k5"]},
            {"name":"odd","api_keys":"k6","weight":"2","cap":3}, {"name":"last","api_keys":[8,"k7"]}])");
        for (const char* position : { "tenants[1].api_keys[1]", "tenants[1].weight", "tenants[1].cap.cpu",
                 "tenants[1].cap.gpu", "tenants[2]", "tenants[3]", "tenants[4]", "tenants[5]", "tenants[6]",
                 "tenants[7].api_keys", "tenants[7].weight", "tenants[7].cap", "tenants[8].api_keys[0]" })
            CPPUNIT_ASSERT_MESSAGE(position, decoded.hasFault(position));
        CPPUNIT_ASSERT_EQUAL(std::size_t(13), decoded.faults.size());
        CPPUNIT_ASSERT(decoded.ownerOf("k0") == "good" && decoded.ownerOf("k1") == "weak");
        CPPUNIT_ASSERT(decoded.ownerOf("k7") == "last" && decoded.ownerOf("").empty());
        for (const char* key : { "k2", "k3", "k4", "k5", "k6" })
            CPPUNIT_ASSERT_MESSAGE(key, decoded.ownerOf(key).empty());
        CPPUNIT_ASSERT_EQUAL(1.0, decoded.configuration.accounts.at("good").weight);
        CPPUNIT_ASSERT_EQUAL(1.0, decoded.configuration.accounts.at("weak").weight);
        CPPUNIT_ASSERT_EQUAL(5, decoded.configuration.accounts.at("weak").cap.memoryMb);
    }

    // Guards against a caller that acts for another account, also where one of the entries has no effect itself, and
    // against faults that contain a key.
    void keysOfTwoAccountsAreAcceptedForNeither()
    {
        const Decoded decoded = decode(R"(,"tenants":[{"name":"a","api_keys":["shared","own","own","lost"]},
            {"name":"b","api_keys":["shared","other"]},{"api_keys":["lost"]},{"name":"c","api_keys":["shared"]},
            {"name":"a","api_keys":["own"]}])");
        CPPUNIT_ASSERT(decoded.ownerOf("shared").empty() && decoded.ownerOf("lost").empty());
        CPPUNIT_ASSERT(decoded.ownerOf("own") == "a" && decoded.ownerOf("other") == "b");
        for (const char* position : { "tenants[1].api_keys[0]", "tenants[2].api_keys[0]", "tenants[3].api_keys[0]" })
            CPPUNIT_ASSERT_MESSAGE(position, decoded.hasFault(position));
        for (const DocumentFault& fault : decoded.faults)
            CPPUNIT_ASSERT(fault.reason.find("shared") == std::string::npos && fault.reason.find("lost") > 1000);
    }

    void thousandsOfKeysAreFound()
    {
        constexpr int count = 5000;
        QByteArray keys;
        for (int i = 0; i < count; ++i)
            keys += (i == 0 ? "\"key-" : ",\"key-") + QByteArray::number(i) + '"';
        const Decoded decoded = decode(R"(,"tenants":[{"name":"a","api_keys":[)" + keys + "]}]");
        CPPUNIT_ASSERT_EQUAL(std::size_t(count), decoded.configuration.accountByKey.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), decoded.ownerOf("key-4999"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientAccountsTest);

} // namespace
